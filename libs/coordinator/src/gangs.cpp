#include "bookkeeping.hpp"
#include "starts.hpp"

#include <algorithm>
#include <map>

namespace camphorhitch::coordinator
{

namespace
{

/// Number of gang members for one host.
struct member_share
{
    host_entry* host = nullptr;
    int members = 0;
};

/// \return how many of \p most members the host can take at the same time.
int max_members(const host_entry& h, const workflow::step& s, int most)
{
    auto filled = h;
    const auto need = required_resources(s);
    int n = 0;
    while (n < most && fits(filled, need) && (s.max_per_host == 0 || n < s.max_per_host))
    {
        filled.used.cpu += need.cpu;
        filled.used.memory_mb += need.memory_mb;
        filled.used.gpus += need.gpus;
        ++n;
    }
    return n;
}

/// \return the hosts of a complete gang; empty when the hosts can't take all members.
std::vector<member_share> place_members(
    const std::vector<host_entry*>& hosts, const workflow::step& s)
{
    std::vector<member_share> out;
    int left = s.tasks;
    for (auto* const h : hosts)
    {
        const int n = has_label(*h, s.required_label) ? max_members(*h, s, left) : 0;
        if (n > 0)
        {
            out.push_back({h, n});
            left -= n;
        }
    }
    return left == 0 ? out : std::vector<member_share>{};
}

/// Prefers one rack if the step does; several racks are slower for some gangs, but better than
/// waiting for a rack that may never have the capacity.
std::vector<member_share> place_members_by_rack(
    const std::vector<host_entry*>& hosts, const workflow::step& s)
{
    std::map<std::string, std::vector<host_entry*>> racks;
    for (auto* const h : hosts)
    {
        racks[h->rack].push_back(h);
    }
    for (const auto& [rack, rack_hosts] : racks)
    {
        auto out = s.prefers_one_rack ? place_members(rack_hosts, s) : std::vector<member_share>{};
        if (!out.empty())
        {
            return out;
        }
    }
    return place_members(hosts, s);
}

} // namespace

std::int64_t next_gang_run_number(fleet& f, const waiting_step& w, int tasks)
{
    std::int64_t number = 0;
    for (int i = 0; i < tasks; ++i)
    {
        const auto& t = *find_task(f, {w.job->spec.id, w.occurrence, w.step, i});
        number = std::max(number, next_run_number(t));
    }
    return number;
}

void start_gang(fleet& f,
    const waiting_step& w,
    const std::vector<host_entry*>& hosts,
    core::mono_time now,
    plan& to,
    task_events& out)
{
    auto& j = *w.job;
    const auto& s = j.spec.steps[static_cast<std::size_t>(w.step)];
    if (step_of(j, w.occurrence, w.step).idle < s.tasks)
    {
        return; // the end of some member of an earlier run is not certain
    }
    if (!fits_cap(f, j, s.need, s.tasks))
    {
        record_capped_step(f, j);
        return;
    }
    if (!share_permits_start(f, j, s, s.tasks))
    {
        return;
    }
    if (to.remaining_orders <= 0)
    {
        to.truncated = true;
        return;
    }
    auto allowed = hosts;
    std::erase_if(allowed,
        [&](const auto* h) { return !has_required_ticket(*h, j, w.occurrence, w.step, now); });
    const auto number = next_gang_run_number(f, w, s.tasks);
    int index = 0;
    for (const auto& it : place_members_by_rack(allowed, s))
    {
        for (int i = 0; i < it.members; ++i)
        {
            const workflow::task_name name{j.spec.id, w.occurrence, w.step, index++};
            order_start(f, *it.host, j, name, number, now, to, out);
        }
    }
}

} // namespace camphorhitch::coordinator
