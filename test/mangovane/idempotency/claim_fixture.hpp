// Claim writers of several instances on one fake table.
#ifndef MANGOVANE_TEST_IDEMPOTENCY_CLAIM_FIXTURE_HPP
#define MANGOVANE_TEST_IDEMPOTENCY_CLAIM_FIXTURE_HPP

#include <memory>
#include <optional>
#include <string>

#include "mangovane/idempotency/claim_codec.hpp"
#include "mangovane/idempotency/claim_writer.hpp"
#include "mangovane/idempotency/fake_table.hpp"

namespace mangovane::test
{

using claim_answer = std::optional<absl::StatusOr<claim_result>>;

struct claim_fixture
{
    fake_table table;
    std::vector<std::unique_ptr<claim_writer>> writers;
    std::uint64_t attempts{0};

    explicit claim_fixture(std::size_t instances = 2)
    {
        for (std::size_t n = 0; n != instances; ++n)
        {
            writers.push_back(std::make_unique<claim_writer>(table));
        }
    }

    /// Simulated time in Unix milliseconds.
    [[nodiscard]] std::uint64_t unix_ms() const
    {
        return static_cast<std::uint64_t>(table.now().time_since_epoch() / milliseconds{1});
    }

    [[nodiscard]] claim make(const std::string& key, std::uint64_t fingerprint = 1)
    {
        claim value;
        value.account = account_id::of("cordillera");
        value.service = service_id::of("dictamen");
        value.key = key;
        value.fingerprint = fingerprint;
        value.attempt = {instance_id::of("i"), 1, ++attempts};
        value.claimed_unix_ms = unix_ms();
        value.expires_unix_ms = unix_ms() + 86'400'000;
        return value;
    }

    void run(milliseconds time)
    {
        for (const auto end = table.now() + time; table.now() < end;)
        {
            const auto next = table.now() + milliseconds{1};
            while (table.step(next))
            {}
            for (const auto& it : writers)
            {
                it->tick(table.now());
            }
        }
    }

    /// Claims a key and runs until the deadline; no value if the handler was not called.
    claim_answer
    claim_at(std::size_t instance, const claim& wanted, milliseconds time = milliseconds{500})
    {
        const auto answer = std::make_shared<claim_answer>();
        writers.at(instance)->claim_key(wanted, table.now(), table.now() + time,
                                        [answer](const auto& result) { *answer = result; });
        run(time + milliseconds{5});
        return *answer;
    }

    /// Settles a claim and runs until the deadline; no value if the handler was not called.
    std::optional<absl::Status> settle_at(std::size_t instance,
                                          claim held,
                                          claim_state state,
                                          milliseconds time = milliseconds{500})
    {
        held.state = state;
        const auto answer = std::make_shared<std::optional<absl::Status>>();
        writers.at(instance)->settle(held, table.now(), table.now() + time,
                                     [answer](const absl::Status& status) { *answer = status; });
        run(time + milliseconds{5});
        return *answer;
    }

    /// The stored claim of a key, whose row must exist.
    [[nodiscard]] claim stored(const std::string& key) const
    {
        const auto row =
            claim_row_key(account_id::of("cordillera"), service_id::of("dictamen"), key);
        return *decode_claim(table.rows.at(row).value);
    }
};

[[nodiscard]] inline bool acquired(const claim_answer& answer)
{
    return answer && answer->ok() && (*answer)->acquired;
}

[[nodiscard]] inline std::optional<error_kind> refusal(const claim_answer& answer)
{
    return answer && answer->ok() ? (*answer)->duplicate.refusal : std::nullopt;
}

} // namespace mangovane::test

#endif
