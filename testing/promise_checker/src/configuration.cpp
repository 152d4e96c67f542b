#include "model/codec.hpp"
#include "model/keys.hpp"
#include "promises.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace camphorhitch::checker
{

namespace
{

struct accepted
{
    std::int64_t version = 0;
    std::int64_t at_ms = 0;
};

std::vector<accepted> accepted_of(const records& r, verdict& to)
{
    std::vector<accepted> all;
    const auto add = [&](const change& c, const std::string& detail)
    {
        to.breaches.push_back(
            {promise::config_stays, "revision=" + std::to_string(c.revision), c.at_ms, detail});
    };
    for (const auto& c : r.history)
    {
        if (c.key != model::keys::config)
        {
            continue;
        }
        const auto read = model::decode_configuration(c.value, c.key, model::strictness::lenient);
        const auto* good = std::get_if<model::configuration>(&read);
        if (c.deleted || good == nullptr)
        {
            add(c, "the configuration was deleted or damaged");
            continue;
        }
        if (!all.empty() && good->version <= all.back().version)
        {
            add(c,
                "version " + std::to_string(good->version) + " was written over version " +
                    std::to_string(all.back().version));
        }
        all.push_back({good->version, c.at_ms});
    }
    return all;
}

/// \return whether the fault keeps the member from learning of a configuration.
bool holds_up(const fault& f, const std::string& member)
{
    const bool own = f.kind == "kill" || f.kind == "pause" || f.kind == "stop";
    return f.kind == "store_down" || f.kind == "store_slow" || (own && f.member == member);
}

/// \return the time by which the member must have a configuration of \p at_ms, counted anew from
/// the end of each fault that hides it.
std::int64_t due_at(
    const records& r, const limits& l, const std::string& member, std::int64_t at_ms)
{
    std::int64_t due = at_ms + l.in_force_ms;
    for (bool again = true; again;)
    {
        again = false;
        for (const auto& it : r.faults)
        {
            const bool hides = holds_up(it, member) && it.until_ms >= at_ms && it.at_ms <= due;
            if (hides && it.until_ms + l.in_force_ms > due)
            {
                due = it.until_ms + l.in_force_ms;
                again = true;
            }
        }
    }
    return due;
}

void check_lines(const std::string& member, const std::vector<adoption>& lines, verdict& to)
{
    for (std::size_t i = 1; i < lines.size(); ++i)
    {
        if (lines[i].version < lines[i - 1].version)
        {
            to.breaches.push_back({promise::config_stays,
                "member=" + member,
                lines[i].at_ms,
                "it adopted version " + std::to_string(lines[i].version) + " after version " +
                    std::to_string(lines[i - 1].version)});
        }
    }
}

} // namespace

void judge_configuration(const records& r, const limits& l, verdict& to)
{
    const auto versions = accepted_of(r, to);
    to.versions = versions.size();
    to.adoptions = r.adoptions.size();
    std::map<std::string, std::vector<adoption>> by_member;
    for (const auto& it : r.adoptions)
    {
        by_member[it.member].push_back(it);
    }
    for (const auto& [member, lines] : by_member)
    {
        check_lines(member, lines, to);
        for (const auto& it : versions)
        {
            const auto due = due_at(r, l, member, it.at_ms);
            const bool in_time = std::any_of(lines.begin(),
                lines.end(),
                [&](const adoption& a) { return a.version >= it.version && a.at_ms <= due; });
            if (!in_time && due <= r.end_ms)
            {
                to.breaches.push_back({promise::config_stays,
                    "member=" + member + " version=" + std::to_string(it.version),
                    it.at_ms,
                    "not in force there by " + std::to_string(due)});
            }
        }
    }
}

} // namespace camphorhitch::checker
