// Implementation of the plan of requests around a stop.
#include "platform/stop_plan.hpp"

#include <algorithm>
#include <random>

#include <absl/strings/str_cat.h>

namespace mangovane::test
{

namespace
{

struct time_range
{
    milliseconds least;
    milliseconds most;
};

/// Short work, work that ends within a stop, and work that may outlast it.
constexpr std::array<time_range, 3> work_ranges{{{milliseconds{50}, milliseconds{400}},
                                                 {milliseconds{400}, milliseconds{3000}},
                                                 {milliseconds{3000}, milliseconds{11500}}}};

/// Of the last byte, by `sending`.
constexpr std::array<time_range, 3> sending_ranges{{{milliseconds{-2500}, milliseconds{-50}},
                                                    {milliseconds{0}, milliseconds{2400}},
                                                    {milliseconds{2600}, milliseconds{7700}}}};

/// A stated deadline leaves this time beside the work, for a late start on a busy machine.
constexpr milliseconds spare_time{1500};

/// The last stream in front of a request ends so long after the stop signal.
constexpr milliseconds last_earlier_end{7400};

constexpr std::size_t max_filler_bytes = 2000;

class plan_generator
{
public:
    explicit plan_generator(std::uint32_t seed) : random_{seed} {}

    [[nodiscard]] planned_connection make(std::string id,
                                          arrival kind,
                                          sending when,
                                          body_form body_framing,
                                          answer_form answer_framing)
    {
        static constexpr std::array<void (plan_generator::*)(planned_connection&), 4> table{
            &plan_generator::set_fresh, &plan_generator::set_kept, &plan_generator::set_pipelined,
            &plan_generator::set_half_read};
        planned_connection result;
        result.kind = kind;
        result.when = when;
        result.request = make_request(std::move(id), body_framing, answer_framing);
        result.request.sent_at = between(sending_ranges[static_cast<std::size_t>(when)]);
        (this->*table[static_cast<std::size_t>(kind)])(result);
        return result;
    }

private:
    milliseconds between(time_range range)
    {
        return milliseconds{std::uniform_int_distribution<std::int64_t>{
            range.least.count(), range.most.count()}(random_)};
    }

    planned_request make_request(std::string id, body_form body_framing, answer_form answer_framing)
    {
        planned_request result;
        result.id = std::move(id);
        result.body = absl::StrCat("body of ", result.id, " ",
                                   std::string(random_() % max_filler_bytes, 'b'));
        result.body_framing = body_framing;
        result.answer_framing = answer_framing;
        result.work = between(work_ranges[random_() % work_ranges.size()]);
        const bool states_deadline = random_() % 2 == 0;
        result.deadline = states_deadline ? result.work + spare_time : milliseconds{0};
        return result;
    }

    /// A stream from the opening of the connection to `end`, which promises its caller that the
    /// connection is kept.
    void set_earlier(planned_connection& it, milliseconds end)
    {
        const auto form = static_cast<answer_form>(random_() % 3);
        it.opened_at =
            between({-stop_lead_time,
                     std::min({milliseconds{-300}, it.request.sent_at, end}) - milliseconds{100}});
        it.earlier = make_request(it.request.id + "-earlier", body_form::sized, form);
        it.earlier->work = end - it.opened_at;
        it.earlier->deadline = milliseconds{0};
        it.earlier->sent_at = it.opened_at;
    }

    void set_fresh(planned_connection& it)
    {
        it.opened_at = it.request.sent_at;
        if (it.when == sending::draining)
        {
            // The connection is accepted before, and unused connections are closed soon after.
            it.opened_at = between({milliseconds{2000}, milliseconds{2450}});
            it.request.sent_at = between({milliseconds{2550}, milliseconds{3600}});
        }
    }

    void set_kept(planned_connection& it)
    {
        const auto think_time = between({milliseconds{0}, milliseconds{300}});
        set_earlier(it, it.request.sent_at - think_time);
    }

    void set_pipelined(planned_connection& it)
    {
        const auto first_end = std::max(it.request.sent_at, milliseconds{-200});
        const auto end =
            between({std::min(first_end + milliseconds{100}, last_earlier_end), last_earlier_end});
        it.request.sent_at = std::min(it.request.sent_at, end - milliseconds{100});
        set_earlier(it, end);
    }

    void set_half_read(planned_connection& it)
    {
        const auto last = std::min(it.request.sent_at, milliseconds{0}) - milliseconds{50};
        it.opened_at = between({last - milliseconds{900}, last});
        it.first_part = 1 + random_() % (text_of(it.request).size() - 1);
    }

    std::mt19937 random_;
};

std::string chunks_of(std::string_view body)
{
    std::string result;
    constexpr std::size_t chunk_bytes = 300;
    for (; !body.empty(); body.remove_prefix(std::min(body.size(), chunk_bytes)))
    {
        const auto chunk = std::string{body.substr(0, chunk_bytes)};
        absl::StrAppend(&result, absl::Hex(chunk.size()), "\r\n", chunk, "\r\n");
    }
    return result + "0\r\n\r\n";
}

} // namespace

std::vector<planned_connection> make_stop_plan(std::uint32_t seed, std::size_t router_count)
{
    constexpr unsigned combinations = 4 * 3 * 2 * 4;
    plan_generator generator{seed};
    std::vector<planned_connection> result;
    for (std::size_t router = 0; router != router_count; ++router)
    {
        for (unsigned n = 0; n != combinations; ++n)
        {
            result.push_back(
                generator.make(absl::StrCat("r", router, "-", n), static_cast<arrival>(n % 4),
                               static_cast<sending>(n / 4 % 3), static_cast<body_form>(n / 12 % 2),
                               static_cast<answer_form>(n / 24)));
            result.back().router = router;
        }
    }
    return result;
}

std::string route_of(const planned_request& request)
{
    return request.answer_framing == answer_form::whole ? "grant" : "review";
}

std::string text_of(const planned_request& request)
{
    const bool chunked = request.body_framing == body_form::chunked;
    const auto& id = request.id;
    auto result = absl::StrCat(
        "POST /", route_of(request), "/7 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: ", id,
        "\r\nAuthorization: Bearer key-1\r\nX-Prefix-Hash: ", id, ":100\r\n");
    if (request.deadline != milliseconds{0})
    {
        absl::StrAppend(&result, "X-Deadline-Ms: ", request.deadline.count(), "\r\n");
    }
    if (chunked)
    {
        return absl::StrCat(result, "Transfer-Encoding: chunked\r\n\r\n", chunks_of(request.body));
    }
    return absl::StrCat(result, "Content-Length: ", request.body.size(), "\r\n\r\n", request.body);
}

std::string answer_part(const std::string& id, const std::string& body, int n)
{
    return absl::StrCat("id: ", n, "\ndata: ", id, "-", n, n == 1 ? " to " + body : "", "\n\n");
}

std::string answer_to(const std::string& id, const std::string& body)
{
    std::string result;
    for (int n = 1; n <= answer_part_count; ++n)
    {
        result += answer_part(id, body, n);
    }
    return result;
}

} // namespace mangovane::test
