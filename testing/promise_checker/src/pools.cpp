// Budgets and ownership are counted from the pools' documents by code that is independent of the
// system's own, so that a counting error in the system is not repeated here.
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

using model::host_record;
using model::host_state;
using model::pool_document;

/// An accepted configuration and the time of its write.
struct config_at
{
    std::int64_t at_ms = 0;
    model::configuration config;
};

/// One document's claim to a host: an entry of the pool's hosts, or a release to another pool.
struct ownership_claim
{
    std::string pool;
    std::int64_t ownership = 0;
    /// Whether the host is in the pool's hosts; else it is released to the pool.
    bool is_kept = false;
};

bool is_absent(const host_record& h)
{
    return h.state == host_state::draining || h.state == host_state::drained ||
           h.state == host_state::rebooting || h.state == host_state::failed;
}

bool is_new_planned_absence(const pool_document& before, const host_record& h)
{
    const auto* old = model::find_host(before, h.id);
    return old != nullptr && !is_absent(*old) && is_absent(h) && h.state != host_state::failed &&
           h.purpose != model::drain_purpose::leaving;
}

/// \return the number of hosts missing in a zone, or in the whole pool when \p zone is empty. Each
/// borrowed host that serves compensates for one missing host.
int count_missing(const pool_document& d, const std::string& zone)
{
    int n = 0;
    for (const auto& it : d.hosts)
    {
        const bool counts = it.ownership > 0 && (zone.empty() || it.zone == zone);
        const bool borrowed = !it.lent_by.empty();
        n += counts && !borrowed && is_absent(it) ? 1 : 0;
        n -= counts && borrowed && it.state == host_state::serving ? 1 : 0;
    }
    return n;
}

class pool_checker
{
public:
    pool_checker(const limits& l, verdict& to) : limits_(l), to_(to)
    {
    }

    void apply_change(const change& c)
    {
        if (c.key == model::keys::config && !c.deleted)
        {
            auto read = model::decode_configuration(c.value, c.key, model::strictness::lenient);
            if (auto* parsed = std::get_if<model::configuration>(&read))
            {
                configs_.push_back({c.at_ms, std::move(*parsed)});
            }
            return;
        }
        if (c.key.rfind(model::keys::pools, 0) != 0)
        {
            return;
        }
        auto& before = pools_[c.key];
        pool_document after;
        if (!c.deleted)
        {
            auto read = model::decode_pool(c.value, c.key, model::strictness::lenient);
            if (const auto* wrong = std::get_if<core::findings>(&read))
            {
                add(promise::one_pool, "key=" + c.key, c, core::to_text(*wrong));
                return;
            }
            after = std::get<pool_document>(std::move(read));
        }
        check_budget(before, after, c);
        before = std::move(after);
        check_owners(c);
    }

private:
    void add(promise which, std::string subject, const change& c, const std::string& detail)
    {
        to_.breaches.push_back({which,
            std::move(subject),
            c.at_ms,
            detail + " (revision " + std::to_string(c.revision) + ")"});
    }

    /// \return whether the planned absence of \p h is allowed by a configuration on which a
    /// decision at \p at_ms may have been based: the current one, or one replaced within
    /// old_config_ms.
    bool is_allowed(const pool_document& d, const host_record& h, std::int64_t at_ms) const
    {
        for (std::size_t i = configs_.size(); i > 0; --i)
        {
            const auto& it = configs_[i - 1];
            const auto* found = model::find_pool(it.config, d.pool);
            if (found != nullptr && count_missing(d, "") <= found->budget.absent &&
                count_missing(d, h.zone) <= found->budget.absent_per_zone)
            {
                return true;
            }
            if (it.at_ms + limits_.old_config_ms < at_ms)
            {
                return false;
            }
        }
        return configs_.empty();
    }

    void check_budget(const pool_document& before, const pool_document& after, const change& c)
    {
        for (const auto& it : after.hosts)
        {
            const auto* old = model::find_host(before, it.id);
            const bool handed_over = it.state == host_state::rebooting && old != nullptr &&
                                     old->state != host_state::rebooting;
            to_.reboots += handed_over ? 1 : 0;
            if (!is_new_planned_absence(before, it))
            {
                continue;
            }
            ++to_.drains;
            if (!is_allowed(after, it, c.at_ms))
            {
                add(promise::budget,
                    "host=" + it.id + " pool=" + after.pool,
                    c,
                    "its planned absence began with " + std::to_string(count_missing(after, "")) +
                        " absent in the pool, " + std::to_string(count_missing(after, it.zone)) +
                        " in zone " + it.zone);
            }
        }
    }

    std::map<std::string, std::vector<ownership_claim>> ownership_claims() const
    {
        std::map<std::string, std::vector<ownership_claim>> out;
        for (const auto& [key, d] : pools_)
        {
            for (const auto& it : d.hosts)
            {
                if (it.ownership > 0)
                {
                    out[it.id].push_back({d.pool, it.ownership, true});
                }
            }
            for (const auto& it : d.released)
            {
                out[it.host.id].push_back({it.to, it.host.ownership, false});
            }
        }
        return out;
    }

    void check_owners(const change& c)
    {
        const auto now = ownership_claims();
        for (const auto& [host, list] : now)
        {
            check_one_owner(host, list, c);
        }
        for (const auto& [host, owner] : owners_)
        {
            if (now.count(host) == 0)
            {
                add(promise::one_pool, "host=" + host, c, "it belongs to no pool any more");
            }
        }
        std::erase_if(owners_, [&](const auto& it) { return now.count(it.first) == 0; });
    }

    void check_one_owner(
        const std::string& host, const std::vector<ownership_claim>& list, const change& c)
    {
        const auto kept_count = std::count_if(
            list.begin(), list.end(), [](const ownership_claim& it) { return it.is_kept; });
        if (kept_count > 1)
        {
            add(promise::one_pool, "host=" + host, c, "it stands in the hosts of two pools");
        }
        const auto top = std::max_element(list.begin(),
            list.end(),
            [](const ownership_claim& a, const ownership_claim& b)
            { return a.ownership < b.ownership; });
        std::set<std::string> owners;
        for (const auto& it : list)
        {
            if (it.ownership == top->ownership)
            {
                owners.insert(it.pool);
            }
        }
        if (owners.size() > 1)
        {
            add(promise::one_pool, "host=" + host, c, "two pools own it by the same number");
        }
        auto& known = owners_[host];
        if (top->ownership < known.ownership)
        {
            add(promise::one_pool, "host=" + host, c, "its ownership number went down");
        }
        const bool moved = !known.pool.empty() && known.pool != top->pool;
        if (moved && top->ownership == known.ownership)
        {
            add(promise::one_pool, "host=" + host, c, "it changed its pool without a new number");
        }
        to_.moves += moved ? 1 : 0;
        known = *top;
    }

    limits limits_;
    verdict& to_;
    std::vector<config_at> configs_;
    std::map<std::string, pool_document> pools_;
    std::map<std::string, ownership_claim> owners_;
};

} // namespace

void check_pools(const records& r, const limits& l, verdict& to)
{
    pool_checker checks(l, to);
    for (const auto& it : r.history)
    {
        checks.apply_change(it);
    }
}

} // namespace camphorhitch::checker
