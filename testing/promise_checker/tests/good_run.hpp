/// \file
/// Records of a small run without a breach. Each test changes them so that one promise is broken.
#pragma once

#include "model/codec.hpp"
#include "model/keys.hpp"
#include "records.hpp"

namespace camphorhitch::checker
{

constexpr std::int64_t begin_of_run = 1'764'700'000'000; // ms since 1970

inline model::host_record host(const std::string& id, const std::string& zone)
{
    model::host_record out;
    out.id = id;
    out.zone = zone;
    return out;
}

inline model::host_record in_state(model::host_record h, model::host_state state)
{
    h.state = state;
    h.purpose = model::drain_purpose::maintenance;
    return h;
}

inline model::configuration config_of(std::int64_t version, int absent)
{
    model::configuration out;
    out.version = version;
    out.policies = {{}};
    out.policies[0].name = "steady";
    for (const auto* name : {"quotes", "holds"})
    {
        model::pool_config pool;
        pool.name = name;
        pool.services = {name};
        pool.policy = "steady";
        pool.budget = {absent, 1};
        out.pools.push_back(pool);
    }
    return out;
}

inline model::pool_document pool(const std::string& name, std::vector<model::host_record> hosts)
{
    return {name, std::move(hosts), {}, {}};
}

/// Appends a write that takes place \p after_ms after the start of the run.
template <class Document>
void write(records& r, const std::string& key, const Document& d, std::int64_t after_ms)
{
    const auto revision = r.history.empty() ? 2 : r.history.back().revision + 1;
    r.history.push_back({key, revision, begin_of_run + after_ms, false, model::encode(d)});
}

inline void write(records& r, const model::pool_document& d, std::int64_t after_ms)
{
    write(r, model::keys::pools + d.pool, d, after_ms);
}

inline call call_of(const std::string& id, bool keyed, std::int64_t after_ms)
{
    call out;
    out.id = id;
    out.entry = "127.0.0.1:1001";
    out.keyed = keyed;
    out.status = 200;
    out.outcome = "answered";
    out.begin_ms = begin_of_run + after_ms;
    out.end_ms = out.begin_ms + 20;
    return out;
}

/// Writes the history: h1 (zone a) is in maintenance from 1000 to 3000 ms, and h3 moves to the pool
/// "holds" at 4000 ms.
inline void add_fleet(records& r)
{
    using model::host_state;
    const auto h1 = host("h1", "a");
    const auto h2 = host("h2", "b");
    const auto h3 = host("h3", "a");
    write(r, model::keys::config, config_of(1, 1), 0);
    write(r, pool("quotes", {h1, h2, h3}), 100);
    write(r, pool("holds", {host("h4", "a")}), 100);
    write(r, pool("quotes", {in_state(h1, host_state::draining), h2, h3}), 1000);
    write(r, pool("quotes", {in_state(h1, host_state::rebooting), h2, h3}), 2000);
    write(r, pool("quotes", {h1, h2, h3}), 3000);
    auto source = pool("quotes", {h1, h2});
    auto moved = h3;
    moved.ownership = 2;
    source.released = {{moved, "holds"}};
    write(r, source, 4000);
    write(r, pool("holds", {host("h4", "a"), moved}), 4100);
    write(r, pool("quotes", {h1, h2}), 4200);
    write(r, model::keys::config, config_of(2, 2), 5000);
}

inline records good_run()
{
    records r;
    add_fleet(r);
    r.calls = {call_of("r1", false, 500), call_of("r2", true, 600), call_of("r3", true, 700)};
    r.calls[2].outcome = "not-run";
    r.runs = {{"r1", {{"h1", begin_of_run + 505}}}, {"r2", {{"h2", begin_of_run + 605}}}};
    r.targets = {{"h1", 1, 0, 0}, {"h2", 1, 1, 0}};
    r.jobs = {{"j1", false}, {"j2", true}};
    r.starts = {{"j1/1.1", "h2", begin_of_run + 800, begin_of_run + 900, "finished"},
        {"j2/1.1", "h2", begin_of_run + 800, begin_of_run + 7000, "lost"},
        {"j2/1.2", "h4", begin_of_run + 7100, begin_of_run + 7200, "finished"}};
    r.faults = {
        {"hosts_failed", "", "", {"h2"}, begin_of_run + 7000, begin_of_run + 8000},
        {"kill", "entry-1", "127.0.0.1:1001", {}, begin_of_run + 9000, begin_of_run + 10000},
        {"stop", "entry-2", "127.0.0.1:1002", {}, begin_of_run + 9000, begin_of_run + 10000},
    };
    r.adoptions = {{"entry-1", 1, begin_of_run + 100},
        {"entry-1", 2, begin_of_run + 5100},
        {"entry-2", 1, begin_of_run + 100},
        {"entry-2", 2, begin_of_run + 5100}};
    r.end_ms = begin_of_run + 60000;
    return r;
}

} // namespace camphorhitch::checker
