// Tests of the fair queue: fairness between classes and between client accounts. Guards against one
// account, or one class, that holds up all others by flooding the queue.
#include "mangovane/queue/fair_queue.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

/// A queue with its own clock; accounts are small numbers.
struct queue_fixture
{
    waiting_request make(std::uint64_t account, request_class priority = request_class::standard)
    {
        waiting_request result;
        result.holder = instance_id{1};
        result.request.attempt = attempt_id{instance_id{1}, 1, ++sequence};
        result.request.account = account_id{account};
        result.request.priority = priority;
        result.request.wait_until = now + seconds{60};
        result.request.deadline = now + seconds{60};
        return result;
    }

    bool push(std::uint64_t account, request_class priority = request_class::standard)
    {
        return queue.push(limits, make(account, priority));
    }

    void fill(int n, std::uint64_t account, request_class priority = request_class::standard)
    {
        for (; n != 0; --n)
        {
            REQUIRE(push(account, priority));
        }
    }

    /// Number of requests of the account among the next `n` served; a request like `refill` is
    /// queued before each.
    int served(int n, std::uint64_t account, std::optional<waiting_request> refill = std::nullopt)
    {
        int result = 0;
        for (; n != 0; --n)
        {
            if (refill)
            {
                refill->request.attempt.sequence = ++sequence;
                static_cast<void>(queue.push(limits, *refill));
            }
            result += queue.pop(limits)->request.account == account_id{account} ? 1 : 0;
        }
        return result;
    }

    time_point now{seconds{1000}};
    std::uint64_t sequence{0};
    queue_limits limits;
    fair_queue queue;
};

/// Simulates ten accounts that use an engine with 8 slots; times in seconds. Account 0 sends
/// `surge` times its normal rate.
class engine_simulation
{
public:
    engine_simulation(double load, double surge) : surge_{surge}, gap_{accounts / (8.0 * load)} {}

    /// 99th percentile of the wait of accounts 1 to 9, in seconds.
    double wait_p99()
    {
        for (std::uint64_t n = 0; n != accounts; ++n)
        {
            events_.push({draw(gap_of(n)), n});
        }
        while (waits_.size() < 50000)
        {
            step();
        }
        const auto nth = waits_.begin() + static_cast<std::ptrdiff_t>(waits_.size() * 99 / 100);
        std::nth_element(waits_.begin(), nth, waits_.end());
        return *nth;
    }

private:
    struct event
    {
        double at;
        std::uint64_t account; ///< The constant `accounts`, one above the last account, marks the
                               ///< end of a request.

        auto operator<=>(const event&) const = default;
    };

    void step()
    {
        const auto next = events_.top();
        events_.pop();
        busy_ -= next.account == accounts ? 1 : 0;
        if (next.account != accounts)
        {
            events_.push({next.at + draw(gap_of(next.account)), next.account});
            auto entry = fixture_.make(next.account);
            arrivals_.resize(entry.request.attempt.sequence + 1, next.at);
            static_cast<void>(fixture_.queue.push(fixture_.limits, entry));
        }
        while (busy_ != 8 && !fixture_.queue.empty())
        {
            const auto chosen = fixture_.queue.pop(fixture_.limits)->request;
            ++busy_;
            events_.push({next.at + draw(1.0), accounts});
            if (chosen.account.value() != 0)
            {
                waits_.push_back(next.at - arrivals_[chosen.attempt.sequence]);
            }
        }
    }

    [[nodiscard]] double gap_of(std::uint64_t account) const
    {
        return account == 0 ? gap_ / surge_ : gap_;
    }

    double draw(double mean)
    {
        return -mean * std::log((static_cast<double>(random_() >> 11U) + 1) * 0x1p-53);
    }

    static constexpr std::uint64_t accounts = 10;
    double surge_;
    double gap_;
    std::mt19937_64 random_{20261204};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<double> arrivals_; ///< Indexed by the sequence number of the attempt.
    std::vector<double> waits_;
    std::uint32_t busy_{0};
    queue_fixture fixture_;
};

} // namespace

TEST_CASE_FIXTURE(queue_fixture, "accounts that share a class")
{
    SUBCASE("are served in turn, so that a flood from one does not block the other")
    {
        fill(50, 1);
        queue.pop(limits);
        fill(1, 2);
        CHECK(served(1, 2) == 1);
    }

    SUBCASE("keep the order of arrival inside an account")
    {
        fill(10, 1);
        for (std::uint64_t n = 1; n <= 10; ++n)
        {
            CHECK(queue.pop(limits)->request.attempt.sequence == n);
        }
    }

    SUBCASE("are served in proportion to their weights")
    {
        auto heavy = make(1);
        heavy.request.weight = 3;
        fill(60, 2);
        const auto n = served(40, 1, heavy);
        CHECK(n >= 29);
        CHECK(n <= 31);
    }

    SUBCASE("get no advantage by sending one request at a time")
    {
        fill(50, 1);
        int alternate = 0;
        bool waits = false;
        for (int n = 0; n != 40; ++n)
        {
            waits = waits || push(2);
            const bool taken = served(1, 2) == 1;
            alternate += taken ? 1 : 0;
            waits = !taken;
        }
        CHECK(alternate >= 19);
        CHECK(alternate <= 21);
    }

    SUBCASE("are limited to their own part of the queue")
    {
        fill(64, 1);
        CHECK_FALSE(push(1));
        CHECK_FALSE(push(1, request_class::interactive));
        CHECK(push(2));
    }
}

TEST_CASE("an account that surges to 20 times its rate")
{
    SUBCASE("raises the p99 wait of the others by at most a quarter")
    {
        for (const auto load : {0.70, 0.80, 0.90, 0.95})
        {
            const auto steady = engine_simulation{load, 1}.wait_p99();
            const auto surging = engine_simulation{load, 20}.wait_p99();
            MESSAGE("load " << load << ": p99 wait " << steady << " s, in the surge " << surging
                            << " s");
            CHECK(surging <= 1.25 * steady);
        }
    }
}

TEST_CASE_FIXTURE(queue_fixture, "overnight requests under steady interactive load")
{
    fill(30, 1, request_class::overnight);
    const auto interactive = make(2, request_class::interactive);

    SUBCASE("all finish, although interactive requests are always waiting")
    {
        CHECK(served(300, 1, interactive) == 30);
    }

    SUBCASE("take only their share while interactive requests wait")
    {
        fill(60, 2, request_class::interactive);
        CHECK(served(40, 1) == 5);
    }

    SUBCASE("make progress even with a share of zero")
    {
        limits.class_shares = {100, 0, 0};
        CHECK(served(250, 1, interactive) >= 2);
    }
}

TEST_CASE_FIXTURE(queue_fixture, "requests that may not be granted now")
{
    REQUIRE(push(1));
    auto returning = make(1);
    returning.request.purpose = slot_purpose::returning_chat;
    REQUIRE(queue.push(limits, returning));
    const auto only_returning = [](const slot_request& it)
    { return it.purpose == slot_purpose::returning_chat; };

    SUBCASE("do not block those behind them, and keep their position")
    {
        CHECK(queue.pop(limits, only_returning)->request.attempt == returning.request.attempt);
        CHECK_FALSE(queue.pop(limits, only_returning));
        CHECK(queue.size() == 1);
        CHECK(queue.pop(limits)->request.attempt.sequence == 1);
    }

    SUBCASE("leave the queue when their wait ends, when removed and when drained")
    {
        CHECK(queue.remove(returning.request.attempt));
        CHECK_FALSE(queue.remove(returning.request.attempt));
        CHECK(queue.expire(now).empty());
        REQUIRE(push(2));
        CHECK(queue.drain().size() == 2);
        REQUIRE(push(3));
        CHECK(queue.expire(now + seconds{60}).size() == 1);
        CHECK(queue.empty());
    }
}

TEST_CASE_FIXTURE(queue_fixture, "the expected position of a request")
{
    fill(40, 1);

    SUBCASE("does not count the whole queue when another account floods it")
    {
        CHECK(queue.position_of(limits, make(2).request) == 1);
        CHECK(queue.position_of(limits, make(1).request) == 40);
    }

    SUBCASE("counts the turns of other classes by their shares")
    {
        CHECK(queue.position_of(limits, make(2, request_class::interactive).request) == 0);
        CHECK(queue.position_of(limits, make(2, request_class::overnight).request) == 2);
    }
}
