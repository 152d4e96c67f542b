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

struct accepted_version
{
    std::int64_t version = 0;
    std::int64_t at_ms = 0;
};

std::vector<accepted_version> accepted_versions(const records& r, verdict& to)
{
    std::vector<accepted_version> all;
    const auto add = [&](const change& c, const std::string& detail)
    {
        to.breaches.push_back({promise::config_adopted_and_kept,
            "revision=" + std::to_string(c.revision),
            c.at_ms,
            detail});
    };
    for (const auto& c : r.history)
    {
        if (c.key != model::keys::config)
        {
            continue;
        }
        const auto read = model::decode_configuration(c.value, c.key, model::strictness::lenient);
        const auto* parsed = std::get_if<model::configuration>(&read);
        if (c.deleted || parsed == nullptr)
        {
            add(c, "the configuration was deleted or damaged");
            continue;
        }
        if (!all.empty() && parsed->version <= all.back().version)
        {
            add(c,
                "version " + std::to_string(parsed->version) + " was written over version " +
                    std::to_string(all.back().version));
        }
        all.push_back({parsed->version, c.at_ms});
    }
    return all;
}

/// \return whether the fault delays the member's adoption of a configuration.
bool delays_adoption(const fault& f, const std::string& member)
{
    const bool own = f.kind == "kill" || f.kind == "pause" || f.kind == "stop";
    return f.kind == "store_down" || f.kind == "store_slow" || (own && f.member == member);
}

/// \return the time by which the member must have adopted a configuration written at \p at_ms. The
/// limit restarts at the end of each fault that hides the configuration from the member.
std::int64_t adoption_deadline(
    const records& r, const limits& l, const std::string& member, std::int64_t at_ms)
{
    std::int64_t due = at_ms + l.in_force_ms;
    for (bool extended = true; extended;)
    {
        extended = false;
        for (const auto& it : r.faults)
        {
            const bool hides =
                delays_adoption(it, member) && it.until_ms >= at_ms && it.at_ms <= due;
            if (hides && it.until_ms + l.in_force_ms > due)
            {
                due = it.until_ms + l.in_force_ms;
                extended = true;
            }
        }
    }
    return due;
}

void check_adoption_order(
    const std::string& member, const std::vector<adoption>& lines, verdict& to)
{
    for (std::size_t i = 1; i < lines.size(); ++i)
    {
        if (lines[i].version < lines[i - 1].version)
        {
            to.breaches.push_back({promise::config_adopted_and_kept,
                "member=" + member,
                lines[i].at_ms,
                "it adopted version " + std::to_string(lines[i].version) + " after version " +
                    std::to_string(lines[i - 1].version)});
        }
    }
}

} // namespace

void check_configuration(const records& r, const limits& l, verdict& to)
{
    const auto versions = accepted_versions(r, to);
    to.versions = versions.size();
    to.adoptions = r.adoptions.size();
    std::map<std::string, std::vector<adoption>> by_member;
    for (const auto& it : r.adoptions)
    {
        by_member[it.member].push_back(it);
    }
    for (const auto& [member, lines] : by_member)
    {
        check_adoption_order(member, lines, to);
        for (const auto& it : versions)
        {
            const auto due = adoption_deadline(r, l, member, it.at_ms);
            const bool in_time = std::any_of(lines.begin(),
                lines.end(),
                [&](const adoption& a) { return a.version >= it.version && a.at_ms <= due; });
            if (!in_time && due <= r.end_ms)
            {
                to.breaches.push_back({promise::config_adopted_and_kept,
                    "member=" + member + " version=" + std::to_string(it.version),
                    it.at_ms,
                    "not in force there by " + std::to_string(due)});
            }
        }
    }
}

} // namespace camphorhitch::checker
