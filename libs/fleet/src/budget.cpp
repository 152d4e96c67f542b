#include "fleet/budget.hpp"

#include <algorithm>

namespace camphorhitch::fleet
{

using model::drain_purpose;
using model::host_record;
using model::host_state;

bool is_member(const host_record& h)
{
    return h.ownership > 0;
}

bool is_absent(const host_record& h)
{
    return h.state != host_state::serving && h.state != host_state::held;
}

bool is_borrowed(const host_record& h)
{
    return !h.lent_by.empty();
}

bool accepts_work(const host_record& h)
{
    return is_member(h) && h.state == host_state::serving;
}

bool is_pending_removal(const host_record& h)
{
    return h.state == host_state::failed && h.purpose == drain_purpose::leaving;
}

int count_serving_borrowed(const model::pool_document& d)
{
    return static_cast<int>(std::count_if(d.hosts.begin(),
        d.hosts.end(),
        [](const host_record& h) { return is_borrowed(h) && accepts_work(h); }));
}

bool is_undoable(const host_record& h)
{
    const bool before_hand_over = h.state == host_state::draining || h.state == host_state::drained;
    const bool taken_by_platform = h.purpose == drain_purpose::leaving && h.command.empty();
    return before_hand_over && !taken_by_platform;
}

absences count_absences(const model::pool_document& d)
{
    std::map<std::string, int> balance;
    int total = 0;
    for (const auto& it : d.hosts)
    {
        const int absent = is_member(it) && !is_borrowed(it) && is_absent(it) ? 1 : 0;
        const int covering = is_borrowed(it) && accepts_work(it) ? 1 : 0;
        balance[it.zone] += absent - covering;
        total += absent - covering;
    }
    absences out;
    out.missing = std::max(0, total);
    for (const auto& [zone, n] : balance)
    {
        out.by_zone[zone] = std::max(0, n);
    }
    return out;
}

bool is_within_budget(const absences& a, const model::availability_budget& b)
{
    const auto fits = [&](const auto& it)
    {
        return it.second <= b.absent_per_zone;
    };
    return a.missing <= b.absent && std::all_of(a.by_zone.begin(), a.by_zone.end(), fits);
}

std::string describe_absences(
    const model::pool_document& d, const std::optional<model::availability_budget>& b)
{
    std::string text = "pool " + d.pool + ": ";
    text += b ? "budget " + std::to_string(b->absent) + ", " + std::to_string(b->absent_per_zone) +
                    " per zone; absent:"
              : "not configured; absent:";
    bool any = false;
    for (const auto& it : d.hosts)
    {
        if (!is_member(it) || !is_absent(it))
        {
            continue;
        }
        any = true;
        text += " " + it.id + " (" + std::string{name_of(model::host_state_names, it.state)};
        text += it.purpose == drain_purpose::none
                    ? ""
                    : " for " + std::string{name_of(model::drain_purpose_names, it.purpose)};
        text += ", zone " + it.zone + ")";
    }
    return any ? text : text + " none";
}

std::optional<model::availability_budget> budget_of(
    const model::configuration& c, const std::string& pool)
{
    const auto* found = model::find_pool(c, pool);
    return found ? std::optional{found->budget} : std::nullopt;
}

} // namespace camphorhitch::fleet
