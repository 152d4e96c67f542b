#include "model/codec.hpp"
#include "model/keys.hpp"
#include "promises.hpp"

#include <map>

namespace camphorhitch::checker
{

namespace
{

using model::host_record;
using model::host_state;
using model::pool_document;

bool is_leaving(const host_record& h)
{
    return h.state == host_state::draining || h.state == host_state::drained ||
           h.state == host_state::rebooting;
}

/// A period in which a host must get no new requests.
struct leaving_period
{
    std::int64_t begin_ms = 0;
    std::int64_t end_ms = 0; ///< 0 if the period has not ended
};

using leaving_periods = std::map<std::string, std::vector<leaving_period>>;

void record_leaving_state(std::vector<leaving_period>& all, bool leaving, std::int64_t at_ms)
{
    const bool open = !all.empty() && all.back().end_ms == 0;
    if (leaving && !open)
    {
        all.push_back({at_ms, 0});
    }
    if (!leaving && open)
    {
        all.back().end_ms = at_ms;
    }
}

leaving_periods find_leaving_periods(const records& r)
{
    leaving_periods all;
    std::map<std::string, std::int64_t> ownership;
    for (const auto& c : r.history)
    {
        if (c.deleted || c.key.rfind(model::keys::pools, 0) != 0)
        {
            continue;
        }
        const auto read = model::decode_pool(c.value, c.key, model::strictness::lenient);
        const auto* d = std::get_if<pool_document>(&read);
        for (std::size_t i = 0; d != nullptr && i < d->hosts.size(); ++i)
        {
            const auto& it = d->hosts[i];
            if (it.ownership > 0 && it.ownership >= ownership[it.id])
            {
                ownership[it.id] = it.ownership;
                record_leaving_state(all[it.id], is_leaving(it), c.at_ms);
            }
        }
    }
    for (const auto& it : r.faults)
    {
        for (std::size_t i = 0; it.kind == "leaving" && i < it.hosts.size(); ++i)
        {
            all[it.hosts[i]].push_back({it.at_ms, it.until_ms});
        }
    }
    return all;
}

} // namespace

void check_leaving_hosts(const records& r, const limits& l, verdict& to)
{
    const auto periods = find_leaving_periods(r);
    for (const auto& [id, runs] : r.runs)
    {
        for (const auto& one : runs)
        {
            const auto found = periods.find(one.host);
            for (std::size_t i = 0; found != periods.end() && i < found->second.size(); ++i)
            {
                const auto& it = found->second[i];
                const bool has_ended = it.end_ms != 0 && one.at_ms >= it.end_ms;
                if (!has_ended && one.at_ms > it.begin_ms + l.leaving_ms)
                {
                    to.breaches.push_back({promise::no_requests_when_leaving,
                        "id=" + id + " host=" + one.host,
                        one.at_ms,
                        "it ran " + std::to_string(one.at_ms - it.begin_ms) +
                            " ms after its target began to leave"});
                }
            }
        }
    }
}

} // namespace camphorhitch::checker
