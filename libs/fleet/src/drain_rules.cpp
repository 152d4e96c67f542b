// Steps of a drain: start, undo, confirmation as drained, hand-over, and the time-out of the
// reboot.
#include "rule_support.hpp"

#include "core/invariant.hpp"

namespace camphorhitch::fleet
{

using core::error_code;
using model::drain_purpose;
using model::host_record;
using model::host_state;
using model::pool_document;

namespace
{

/// \return the command id of the reboot. The id is the same for the same hand-over, whichever
/// member orders the reboot, and the platform carries out a command once only. No later reboot can
/// have the same id, because a host returns from maintenance only with a higher boot_count.
std::string reboot_command(const host_record& h)
{
    return "reboot/" + h.id + "/" + std::to_string(h.ownership) + "/" +
           std::to_string(h.boot_count);
}

} // namespace

rule_result apply_one(pool_document& d, const start_drain& e, const rule_context& c)
{
    auto* h = model::find_host(d, e.host);
    if (h == nullptr)
    {
        return no_such_host(e.host, d);
    }
    if (h->wave == e.wave && is_absent(*h))
    {
        return unchanged(describe(*h));
    }
    if (!is_member(*h) || is_absent(*h) || is_borrowed(*h))
    {
        return refuse(error_code::conflict, describe(*h));
    }
    return start_planned_absence(d,
        *h,
        c,
        [&](host_record& it)
        {
            it.purpose = drain_purpose::maintenance;
            it.wave = e.wave;
            set_state(it, host_state::draining, "wave", e.weighed, c);
        });
}

rule_result apply_one(pool_document& d, const undo_drain& e, const rule_context& c)
{
    auto* h = model::find_host(d, e.host);
    if (h == nullptr)
    {
        return no_such_host(e.host, d);
    }
    if (!is_undoable(*h))
    {
        return unchanged(describe(*h));
    }
    clear_plan(*h);
    set_state(*h, host_state::serving, e.rule, e.weighed, c);
    return changed(describe(*h));
}

rule_result apply_one(pool_document& d, const confirm_drained& e, const rule_context& c)
{
    auto* h = model::find_host(d, e.host);
    if (h == nullptr)
    {
        return no_such_host(e.host, d);
    }
    if (h->state != host_state::draining)
    {
        return unchanged(describe(*h));
    }
    set_state(*h,
        host_state::drained,
        "quiet",
        "nothing in flight, nobody can send; " + h->why.weighed,
        c);
    return changed(describe(*h));
}

rule_result apply_one(pool_document& d, const hand_over& e, const rule_context& c)
{
    auto* h = model::find_host(d, e.host);
    if (h == nullptr)
    {
        return no_such_host(e.host, d);
    }
    if (h->state != host_state::drained || h->purpose != drain_purpose::maintenance)
    {
        return refuse(error_code::conflict, "not to be handed over: " + describe(*h));
    }
    h->command = reboot_command(*h);
    set_state(*h, host_state::rebooting, "handed_over", "order " + h->command, c);
    return changed(describe(*h));
}

rule_result apply_one(pool_document& d, const return_timeout& e, const rule_context& c)
{
    auto* h = model::find_host(d, e.host);
    if (h == nullptr)
    {
        return no_such_host(e.host, d);
    }
    if (h->state != host_state::rebooting || h->command != e.command)
    {
        return unchanged(describe(*h));
    }
    set_state(*h, host_state::failed, "return_timeout", "not back in time from " + h->command, c);
    return changed(describe(*h));
}

} // namespace camphorhitch::fleet
