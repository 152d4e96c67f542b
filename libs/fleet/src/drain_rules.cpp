// Steps of a drain: start, undo, quiet, hand-over, and the reboot that does not come back.
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

/// The same id for the same turn, whoever orders it: the platform does a command once only. No
/// later turn can have it, as a host returns from maintenance with a higher boot_count only.
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
    if (!is_member(*h) || is_absent(*h) || is_guest(*h))
    {
        return refuse(error_code::conflict, describe(*h));
    }
    return start_planned(d,
        *h,
        c,
        [&](host_record& it)
        {
            it.purpose = drain_purpose::maintenance;
            it.wave = e.wave;
            enter(it, host_state::draining, "wave", e.weighed, c);
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
    enter(*h, host_state::serving, e.rule, e.weighed, c);
    return changed(describe(*h));
}

rule_result apply_one(pool_document& d, const confirm_quiet& e, const rule_context& c)
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
    enter(*h,
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
    enter(*h, host_state::rebooting, "handed_over", "order " + h->command, c);
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
    enter(*h, host_state::failed, "return_timeout", "not back in time from " + h->command, c);
    return changed(describe(*h));
}

} // namespace camphorhitch::fleet
