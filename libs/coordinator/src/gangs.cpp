#include "bookkeeping.hpp"
#include "starts.hpp"

#include <algorithm>
#include <map>

namespace camphorhitch::coordinator
{

namespace
{

/// How many members go to a host.
struct share
{
    host_entry* host = nullptr;
    int members = 0;
};

/// \return how many of \p most members the host can take at once.
int room_for(const host_entry& h, const workflow::step& s, int most)
{
    auto trial = h;
    const auto room = room_of(s);
    int n = 0;
    while (n < most && fits(trial, room) && (s.max_per_host == 0 || n < s.max_per_host))
    {
        trial.used.cpu += room.cpu;
        trial.used.memory_mb += room.memory_mb;
        trial.used.gpus += room.gpus;
        ++n;
    }
    return n;
}

/// \return the shares of a whole gang, or none when the hosts can't take all of it.
std::vector<share> divide(const std::vector<host_entry*>& hosts, const workflow::step& s)
{
    std::vector<share> out;
    int left = s.tasks;
    for (auto* const h : hosts)
    {
        const int n = has_label(*h, s.required_label) ? room_for(*h, s, left) : 0;
        if (n > 0)
        {
            out.push_back({h, n});
            left -= n;
        }
    }
    return left == 0 ? out : std::vector<share>{};
}

/// Several racks are slower for some gangs, but better than never.
std::vector<share> divide_by_rack(const std::vector<host_entry*>& hosts, const workflow::step& s)
{
    std::map<std::string, std::vector<host_entry*>> racks;
    for (auto* const h : hosts)
    {
        racks[h->rack].push_back(h);
    }
    for (const auto& [rack, its] : racks)
    {
        auto out = s.prefers_one_rack ? divide(its, s) : std::vector<share>{};
        if (!out.empty())
        {
            return out;
        }
    }
    return divide(hosts, s);
}

} // namespace

std::int64_t gang_number(fleet& f, const waiting_step& w, int tasks)
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
        return; // some member of an earlier run is not certainly over
    }
    if (to.room <= 0)
    {
        to.cut = true;
        return;
    }
    auto allowed = hosts;
    std::erase_if(
        allowed, [&](const auto* h) { return !is_advised(*h, j, w.occurrence, w.step, now); });
    const auto number = gang_number(f, w, s.tasks);
    int index = 0;
    for (const auto& it : divide_by_rack(allowed, s))
    {
        for (int i = 0; i < it.members; ++i)
        {
            const workflow::task_name name{j.spec.id, w.occurrence, w.step, index++};
            order_start(f, *it.host, j, name, number, now, to, out);
        }
    }
}

} // namespace camphorhitch::coordinator
