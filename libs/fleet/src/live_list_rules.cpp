// Changes in the live list. The list lags, so an entry with an older boot_count is outdated.
#include "rule_support.hpp"

namespace camphorhitch::fleet
{

using model::drain_purpose;
using model::host_record;
using model::host_state;
using model::pool_document;

namespace
{

rule_result stale(const host_record& h, std::int64_t boot_count)
{
    return unchanged("boot " + std::to_string(boot_count) + " of host " + h.id + " is history, " +
                     std::to_string(h.boot_count) + " was seen");
}

rule_result record_return(host_record& h, const host_live& e, const rule_context& c)
{
    const bool was_maintained = reboot_pending(h);
    const std::string weighed = "boot " + std::to_string(h.boot_count) + " before, " +
                                std::to_string(e.boot_count) + " now";
    if (was_maintained && !h.wave.empty())
    {
        h.last_wave = h.wave;
    }
    clear_plan(h);
    h.boot_count = e.boot_count;
    set_state(h, host_state::serving, was_maintained ? "returned" : "back", weighed, c);
    return changed(describe(h));
}

/// A reboot that the document records may still be to come, and it would cut off requests that are
/// sent before it. So the host serves again only once the reboot has been seen. The live list may
/// show a higher boot_count because of an earlier crash; to rule that out, the list counts only
/// when its lag has passed since the platform acknowledged the reboot order.
rule_result live_after_reboot(host_record& h, const host_live& e, const rule_context& c)
{
    if (e.boot_count <= h.boot_count)
    {
        return unchanged("host " + h.id + " has not rebooted yet");
    }
    if (!e.reboot_certain)
    {
        return unchanged("the boot of host " + h.id + " may be an earlier one");
    }
    return record_return(h, e, c);
}

} // namespace

bool reboot_pending(const host_record& h)
{
    const bool after_hand_over = h.state == host_state::rebooting || h.state == host_state::failed;
    return after_hand_over && h.purpose == drain_purpose::maintenance;
}

rule_result apply_one(pool_document& d, const host_down& e, const rule_context& c)
{
    auto* h = model::find_host(d, e.host);
    if (h == nullptr)
    {
        return no_such_host(e.host, d);
    }
    if (e.boot_count < h->boot_count)
    {
        return stale(*h, e.boot_count);
    }
    if (!is_member(*h) || h->state == host_state::rebooting || h->state == host_state::failed)
    {
        return unchanged(describe(*h));
    }
    const std::string weighed =
        "the live list has it down at boot " + std::to_string(e.boot_count) + "; " + describe(*h);
    // The host keeps its wave, because the wave counts the failures among its hosts.
    const std::string wave = h->wave;
    clear_plan(*h);
    h->wave = wave;
    h->boot_count = e.boot_count;
    set_state(*h, host_state::failed, "down", weighed, c);
    return changed(describe(*h));
}

rule_result apply_one(pool_document& d, const host_live& e, const rule_context& c)
{
    auto* h = model::find_host(d, e.host);
    if (h == nullptr)
    {
        return no_such_host(e.host, d);
    }
    if (e.boot_count < h->boot_count)
    {
        return stale(*h, e.boot_count);
    }
    if (reboot_pending(*h))
    {
        return live_after_reboot(*h, e, c);
    }
    if (is_pending_removal(*h))
    {
        return unchanged(describe(*h));
    }
    const bool taken_by_platform = h->purpose == drain_purpose::leaving && h->command.empty();
    const bool stays = taken_by_platform && is_absent(*h);
    if (is_member(*h) && (h->state == host_state::failed || stays))
    {
        return record_return(*h, e, c);
    }
    if (e.boot_count > h->boot_count)
    {
        h->boot_count = e.boot_count;
        return changed("host " + h->id + " rebooted by itself");
    }
    return unchanged(describe(*h));
}

rule_result apply_one(pool_document& d, const host_leaving& e, const rule_context& c)
{
    auto* h = model::find_host(d, e.host);
    if (h == nullptr)
    {
        return no_such_host(e.host, d);
    }
    if (e.boot_count < h->boot_count)
    {
        return stale(*h, e.boot_count);
    }
    const bool already_away = h->state == host_state::rebooting || h->state == host_state::failed;
    if (!is_member(*h) || already_away || h->purpose == drain_purpose::leaving)
    {
        return unchanged(describe(*h));
    }
    // The platform takes the host regardless of the budget, so this is an unplanned absence.
    const std::string weighed = "the live list has it leaving; " + describe(*h);
    const auto next = h->state == host_state::drained ? host_state::drained : host_state::draining;
    clear_plan(*h);
    h->purpose = drain_purpose::leaving;
    set_state(*h, next, "leaving", weighed, c);
    return changed(describe(*h));
}

} // namespace camphorhitch::fleet
