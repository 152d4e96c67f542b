#include "explanations.hpp"

#include "fleet/budget.hpp"
#include "fleet/wave_rules.hpp"
#include "membership/owners.hpp"

#include <algorithm>

namespace camphorhitch::daemon
{

namespace
{

std::string decision_line(const model::decision_record& why)
{
    return why.rule.empty() ? std::string{"  no decision recorded\n"}
                            : "  rule " + why.rule + ": " + why.weighed + "\n";
}

std::optional<std::string> explain_host(const std::string& id, const service_refs& services)
{
    const auto owner = fleet::owner_of(id, services.fleet.pools());
    const auto* pool = services.fleet.find_pool(owner.pool);
    const auto* host = pool == nullptr ? nullptr : model::find_host(pool->document, id);
    if (host == nullptr)
    {
        return owner.pool.empty()
                   ? std::nullopt
                   : std::optional("host " + id + " is on its way to pool " + owner.pool + "\n");
    }
    std::string out = "host " + id + " of pool " + owner.pool + " is " +
                      std::string(core::name_of(model::host_state_names, host->state)) + "\n" +
                      decision_line(host->why);
    if (const auto* wave = fleet::assigned_wave(id, services.fleet.waves()))
    {
        out += "  wave " + wave->id + " is to maintain it" +
               (fleet::admits(*wave, id)
                       ? ", and has admitted it\n"
                       : ", and has not admitted it yet: " + wave->why.weighed + "\n");
    }
    out += "  pool: " +
           fleet::describe_absences(
               pool->document, fleet::budget_of(services.config.current(), owner.pool)) +
           "\n";
    const auto tasks = services.jobs.tasks_on(owner.pool, id);
    out += tasks ? "  tasks: " + std::to_string(*tasks) + "\n" : "  tasks: not known here\n";
    if (const auto use = services.permits.usage_of_host(owner.pool, id))
    {
        out += "  in flight: " + std::to_string(use->permits) + " requests" +
               (use->uncounted ? ", and others may hold permits of a former owner\n" : "\n");
    }
    return out;
}

std::optional<std::string> explain_pool(const std::string& id, const service_refs& services)
{
    const auto* pool = services.fleet.find_pool(id);
    if (pool == nullptr)
    {
        return std::nullopt;
    }
    const auto* owner = membership::owner_of_pool(services.members.roster(), id);
    std::string out =
        "pool " + id + " is decided by " + (owner == nullptr ? "nobody" : owner->id) +
        "\n  absences: " +
        fleet::describe_absences(pool->document, fleet::budget_of(services.config.current(), id)) +
        "\n";
    const auto& all = services.permits.dispatchers();
    const auto it = all.find(id);
    if (it != all.end())
    {
        const auto& c = it->second.counters;
        out += "  permits here: granted " + std::to_string(c.granted) + ", refused " +
               std::to_string(c.refused) + ", targets ejected " + std::to_string(c.ejections) +
               "\n";
    }
    for (const auto& host : pool->document.hosts)
    {
        if (host.state != model::host_state::serving)
        {
            out += "  " + host.id + " " +
                   std::string(core::name_of(model::host_state_names, host.state)) + ":" +
                   decision_line(host.why).substr(1);
        }
    }
    return out;
}

std::optional<std::string> explain_wave(const std::string& id, const service_refs& services)
{
    for (const auto& it : services.fleet.waves())
    {
        const auto& d = it.document;
        if (d.id != id)
        {
            continue;
        }
        const auto sum = fleet::summarize(d, services.fleet.pools());
        std::string out = "wave " + id + " is " +
                          std::string(core::name_of(model::wave_phase_names, d.phase)) + ": " +
                          std::to_string(sum.done) + " of " + std::to_string(sum.hosts) +
                          " hosts done, " + std::to_string(sum.in_progress) + " in progress, " +
                          std::to_string(sum.failed) + " failed\n" + decision_line(d.why);
        for (const auto& host : fleet::failed_in_wave(d, services.fleet.pools()))
        {
            out += "  failed: " + host + "\n";
        }
        return out;
    }
    return std::nullopt;
}

std::optional<std::string> explain_job(const std::string& id, const service_refs& services)
{
    std::string pool;
    const auto* job = services.jobs.find(id, pool);
    if (job == nullptr)
    {
        return std::nullopt;
    }
    std::string out = "job " + id + " of pool " + pool + "\n";
    for (const auto& line : jobs::explain(*job))
    {
        out += "  " + line + "\n";
    }
    return out;
}

std::optional<std::string> explain_request(const std::string& id, const service_refs& services)
{
    const auto lines = services.requests.explain(id);
    if (lines.empty())
    {
        return std::nullopt;
    }
    std::string out = "request " + id + " here\n";
    for (const auto& line : lines)
    {
        out += "  " + line + "\n";
    }
    return out;
}

} // namespace

std::optional<std::string> explain(
    language::subject_kind kind, const std::string& id, const service_refs& services)
{
    switch (kind)
    {
    case language::subject_kind::host:
        return explain_host(id, services);
    case language::subject_kind::pool:
        return explain_pool(id, services);
    case language::subject_kind::wave:
        return explain_wave(id, services);
    case language::subject_kind::job:
        return explain_job(id, services);
    case language::subject_kind::request:
        return explain_request(id, services);
    }
    return std::nullopt;
}

} // namespace camphorhitch::daemon
