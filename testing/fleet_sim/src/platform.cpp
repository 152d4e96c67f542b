#include "fleet_sim/platform.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::fleet_sim
{

namespace
{

void record_live_state(sim_platform& p, sim_host& h)
{
    const auto fit = h.leaving ? ports::live_state::leaving : ports::live_state::live;
    const auto state = h.up ? fit : ports::live_state::down;
    h.history.push_back({p.now_ms, {h.id, state, h.boot_count}});
    // live_list() reads the newest entry that is older than the lag. Entries before that one are
    // not needed any more.
    const auto old = [&](const live_change& it)
    {
        return it.at_ms <= p.now_ms - p.lag_ms;
    };
    while (h.history.size() > 1 && old(h.history[1]))
    {
        h.history.erase(h.history.begin());
    }
}

void go_down(sim_platform& p, sim_host& h, std::optional<std::int64_t> up_at_ms)
{
    h.up = false;
    h.up_at_ms = up_at_ms;
    h.requests.clear();
    h.jobs.clear();
    record_live_state(p, h);
}

void come_up(sim_platform& p, sim_host& h)
{
    h.up = true;
    h.leaving = false;
    h.up_at_ms.reset();
    ++h.boot_count;
    record_live_state(p, h);
}

void remove_ended(std::vector<std::int64_t>& ends, std::int64_t now_ms)
{
    const auto ended = [&](std::int64_t it)
    {
        return it <= now_ms;
    };
    ends.erase(std::remove_if(ends.begin(), ends.end(), ended), ends.end());
}

} // namespace

void add_host(sim_platform& p, std::string id, std::string zone, std::string rack)
{
    sim_host h;
    h.id = std::move(id);
    h.zone = std::move(zone);
    h.rack = std::move(rack);
    auto& placed = p.hosts[h.id] = h;
    record_live_state(p, placed);
}

void reboot(sim_platform& p, const std::string& host, const std::string& command)
{
    const auto it = p.hosts.find(host);
    if (it == p.hosts.end() || !it->second.reboots.insert(command).second)
    {
        return;
    }
    auto& h = it->second;
    p.cut_off += static_cast<std::int64_t>(h.requests.size() + h.jobs.size());
    if (p.on_reboot)
    {
        p.on_reboot(h, command);
    }
    const bool returns = std::exchange(h.returns, true);
    go_down(p, h, returns ? std::optional{p.now_ms + p.reboot_ms} : std::nullopt);
}

void crash(sim_platform& p, const std::string& host, std::int64_t back_after_ms)
{
    auto& h = p.hosts.at(host);
    go_down(p, h, back_after_ms > 0 ? std::optional{p.now_ms + back_after_ms} : std::nullopt);
}

void repair(sim_platform& p, const std::string& host)
{
    auto& h = p.hosts.at(host);
    if (!h.up && !h.up_at_ms)
    {
        come_up(p, h);
    }
}

void set_leaving(sim_platform& p, const std::string& host, bool leaving)
{
    auto& h = p.hosts.at(host);
    h.leaving = leaving;
    record_live_state(p, h);
}

void advance(sim_platform& p, std::int64_t ms)
{
    p.now_ms += ms;
    for (auto& [id, h] : p.hosts)
    {
        remove_ended(h.requests, p.now_ms);
        remove_ended(h.jobs, p.now_ms);
        if (!h.up && h.up_at_ms && *h.up_at_ms <= p.now_ms)
        {
            come_up(p, h);
        }
    }
}

ports::live_list live_list(const sim_platform& p)
{
    ports::live_list out;
    out.known = true;
    for (const auto& [id, h] : p.hosts)
    {
        const auto seen = [&](const live_change& it)
        {
            return it.at_ms <= p.now_ms - p.lag_ms;
        };
        const auto it = std::find_if(h.history.rbegin(), h.history.rend(), seen);
        out.hosts.push_back(it == h.history.rend() ? h.history.front().entry : it->entry);
    }
    return out;
}

} // namespace camphorhitch::fleet_sim
