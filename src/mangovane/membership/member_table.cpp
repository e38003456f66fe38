// Implementation of the member table.
#include "mangovane/membership/member_table.hpp"

#include <utility>

#include "mangovane/membership/failure_detector.hpp"

namespace mangovane
{

member_table::member_table(member self, detector_timing timing, std::uint64_t seed)
    : detector_{std::make_unique<internal::failure_detector>(std::move(self), timing, seed)}
{}

member_table::~member_table() = default;

std::vector<outgoing_message>
member_table::on_probe(instance_id from, const probe& msg, time_point now)
{
    const std::lock_guard lock{mutex_};
    return detector_->on_probe(from, msg, now);
}

std::vector<outgoing_message>
member_table::on_probe_ack(instance_id from, const probe_ack& msg, time_point now)
{
    const std::lock_guard lock{mutex_};
    return detector_->on_probe_ack(from, msg, now);
}

std::vector<outgoing_message>
member_table::on_probe_request(instance_id from, const probe_request& msg, time_point now)
{
    const std::lock_guard lock{mutex_};
    return detector_->on_probe_request(from, msg, now);
}

void member_table::on_platform_list(const std::vector<listed_instance>& list, time_point now)
{
    const std::lock_guard lock{mutex_};
    detector_->on_platform_list(list, now);
}

std::vector<outgoing_message> member_table::tick(time_point now)
{
    const std::lock_guard lock{mutex_};
    return detector_->tick(now);
}

std::vector<outgoing_message> member_table::leave(time_point now)
{
    const std::lock_guard lock{mutex_};
    return detector_->leave(now);
}

void member_table::set_settings_stamp(settings_stamp stamp)
{
    const std::lock_guard lock{mutex_};
    detector_->set_settings_stamp(stamp);
}

view_ptr member_table::view() const
{
    const std::lock_guard lock{mutex_};
    return detector_->view();
}

settings_stamp member_table::newest_settings_stamp(instance_id& holder) const
{
    const std::lock_guard lock{mutex_};
    return detector_->newest_settings_stamp(holder);
}

} // namespace mangovane
