#include "stop_sequence.hpp"

#include <utility>

namespace camphorhitch::daemon
{

namespace
{

constexpr core::millis check_interval{50};
constexpr core::millis lease_revoke_timeout{1000};

} // namespace

stop_sequence::stop_sequence(
    context& c, membership_service& members, claim_service& claims, request_service& requests)
    : context_(c), members_(members), claims_(claims), requests_(requests)
{
}

void stop_sequence::begin(std::function<void()> ended)
{
    if (std::exchange(started_, true))
    {
        return;
    }
    ended_ = std::move(ended);
    context_.scheduler.after(context_.timing.max_stop_time, [this] { finish("bound_passed"); });
    requests_.stop([this] { leave(); });
}

void stop_sequence::leave()
{
    context_.log(ports::log_level::info, "requests_finished", {});
    if (!members_.in_roster())
    {
        wait_for_handover();
        return;
    }
    members_.leave([this] { wait_for_handover(); });
}

/// Waits until the new holders have a copy of this member's slots. An earlier end would leave one
/// copy of each slot, and the loss of one more member would then put the slot's keys into
/// quarantine.
void stop_sequence::wait_for_handover()
{
    if (finished_)
    {
        return;
    }
    if (claims_.handover_complete())
    {
        finish("handed_over");
        return;
    }
    context_.scheduler.after(check_interval, [this] { wait_for_handover(); });
}

void stop_sequence::finish(const char* why)
{
    if (std::exchange(finished_, true))
    {
        return;
    }
    context_.log(ports::log_level::info, "stop_ended", {{"why", why}});
    context_.scheduler.after(lease_revoke_timeout, [this] { drain_connections(); });
    members_.revoke_own_lease([this] { drain_connections(); });
}

void stop_sequence::drain_connections()
{
    if (!std::exchange(draining_connections_, true))
    {
        requests_.drain_connections([this] { std::exchange(ended_, [] {})(); });
    }
}

} // namespace camphorhitch::daemon
