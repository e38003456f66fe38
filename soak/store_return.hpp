// Lets the store come back from an older copy, and writes again what operators and endpoints have
// written since that copy, as they do.
#ifndef MANGOVANE_SOAK_STORE_RETURN_HPP
#define MANGOVANE_SOAK_STORE_RETURN_HPP

#include <cstdint>
#include <vector>

#include "soak/deployment.hpp"
#include "soak/store_backups.hpp"

namespace mangovane::soak
{

class store_return
{
public:
    /// `fleet` and `recorder` must outlive the object.
    store_return(deployment& fleet, observation_recorder& recorder)
        : fleet_{fleet}, recorder_{recorder}
    {}

    /// Keeps copies of the store, and writes the rows that are due.
    void advance(time_point now);

    /// Replaces the contents of the store by those of a copy that was taken 0.5 to 5 s before
    /// `down_since`. The rows that it lacks are written again within two seconds, in a drawn order.
    void come_back(time_point down_since, std::uint64_t random_value, time_point now);

    /// Whether rows are still to be written.
    [[nodiscard]] bool pending() const noexcept { return !rows_.empty(); }

private:
    struct pending_row
    {
        row_key key;
        time_point written_by{}; ///< A later write makes this one unnecessary.
        time_point due{};

        auto operator<=>(const pending_row&) const = default;
    };

    deployment& fleet_;
    observation_recorder& recorder_;
    store_backups backups_;
    std::vector<pending_row> rows_;
};

} // namespace mangovane::soak

#endif
