#include "promises.hpp"

#include <algorithm>

namespace camphorhitch::checker
{

namespace
{

/// Tolerance between the timestamps of a fault and of its effects, which two processes on one
/// machine write.
constexpr std::int64_t timestamp_tolerance_ms = 100;

bool fails_host(const fault& f, const std::string& host)
{
    return f.kind == "hosts_failed" &&
           std::find(f.hosts.begin(), f.hosts.end(), host) != f.hosts.end();
}

bool overlaps(const fault& f, std::int64_t begin_ms, std::int64_t end_ms)
{
    return begin_ms <= f.until_ms + timestamp_tolerance_ms &&
           end_ms >= f.at_ms - timestamp_tolerance_ms;
}

/// \return whether the fault explains why the call broke.
bool explains_failure(const fault& f, const call& c)
{
    if (f.address != c.entry || !overlaps(f, c.begin_ms, c.end_ms))
    {
        return false;
    }
    if (f.kind == "kill" || f.kind == "pause")
    {
        return true;
    }
    // A refused connection has no request in flight, so a planned stop may refuse it.
    return f.kind == "stop" && c.reason == "Couldn't connect to server";
}

void check_targets(const records& r, verdict& to)
{
    for (const auto& it : r.targets)
    {
        const bool failed = std::any_of(r.faults.begin(),
            r.faults.end(),
            [&](const fault& f) { return fails_host(f, it.host); });
        const auto unplanned = it.cut_off - it.cut_off_planned;
        if (it.cut_off_planned > 0 || (unplanned > 0 && !failed))
        {
            to.breaches.push_back({promise::graceful_stop,
                "host=" + it.host,
                0,
                std::to_string(it.cut_off_planned) + " requests cut off by planned stops, " +
                    std::to_string(unplanned) + " without a plan" +
                    (failed ? "" : " and without a fault of the host")});
        }
    }
}

void check_tasks(const records& r, verdict& to)
{
    for (const auto& it : r.starts)
    {
        const bool failed = std::any_of(r.faults.begin(),
            r.faults.end(),
            [&](const fault& f)
            { return fails_host(f, it.host) && overlaps(f, it.ended_ms, it.ended_ms); });
        if (it.end == "lost" && !failed)
        {
            to.breaches.push_back({promise::graceful_stop,
                "task=" + it.task + " host=" + it.host,
                it.ended_ms,
                "a planned reboot took its host away while it ran"});
        }
    }
}

} // namespace

void check_planned_stops(const records& r, verdict& to)
{
    check_targets(r, to);
    check_tasks(r, to);
    for (const auto& it : r.calls)
    {
        const bool excused = std::any_of(r.faults.begin(),
            r.faults.end(),
            [&](const fault& f) { return explains_failure(f, it); });
        if (it.outcome == "broken" && !excused)
        {
            to.breaches.push_back({promise::graceful_stop,
                "id=" + it.id,
                it.begin_ms,
                "the call through " + it.entry + " broke at " + std::to_string(it.end_ms) + ": " +
                    it.reason});
        }
    }
}

} // namespace camphorhitch::checker
