#include "jobs/submit.hpp"

#include "checked_json/rules.hpp"
#include "core/rendezvous.hpp"
#include "text.hpp"

#include <algorithm>
#include <array>
#include <unordered_map>

namespace camphorhitch::jobs
{

namespace
{

/// Maximum length of the field names, punctuation, numbers and times of one job.
constexpr std::size_t fixed_job_bytes = 600;

/// Maximum length of the fields that only a placed job has.
constexpr std::size_t placed_job_bytes = 260;

/// Length reserved for the texts that a job gets when it is placed: host, incarnation of the owner,
/// checkpoint, reasons.
constexpr std::size_t placement_text_bytes = 400;
constexpr std::size_t fixed_document_bytes = 256;
constexpr std::size_t failure_bytes = 40;

void check_name(core::findings& all, const std::string& text, const char* pointer)
{
    const std::string wrong = checked_json::check_name(text);
    if (!wrong.empty())
    {
        all.push_back({{"submission", pointer, 0, 0}, wrong, ""});
    }
}

void expect(core::findings& all, bool holds, const char* pointer, const std::string& text)
{
    if (!holds)
    {
        all.push_back({{"submission", pointer, 0, 0}, text, ""});
    }
}

/// The numbers are hashed in their binary form, so that every bit of a size counts.
std::uint64_t hash_of(const resources& a)
{
    const std::array<double, 3> numbers{
        a.processors, a.memory_gb, static_cast<double>(a.accelerators)};
    return core::stable_hash({reinterpret_cast<const char*>(numbers.data()), sizeof(numbers)});
}

std::uint64_t hash_of(const submission& s)
{
    std::string text =
        s.team + '\n' + s.kind + '\n' + std::string{core::name_of(job_class_names, s.klass)} +
        '\n' + std::to_string(hash_of(s.declared)) + '\n' + std::to_string(s.run_time.count()) +
        '\n' + (s.idempotent ? "1" : "0") + '\n';
    return core::stable_hash(s.payload, core::stable_hash(text));
}

job to_job(const submission& s, std::uint64_t hash, std::int64_t now_ms)
{
    job j;
    j.id = s.id;
    j.team = s.team;
    j.kind = s.kind;
    j.klass = s.klass;
    j.declared = s.declared;
    j.run_time = s.run_time;
    j.idempotent = s.idempotent;
    j.payload = s.payload;
    j.body_hash = hash;
    j.submitted_ms = now_ms;
    enter_state(j, job_state::waiting, now_ms, "submitted", "waits for a placement round");
    return j;
}

/// \return the length as a JSON string: an escaped character takes two or six characters.
std::size_t json_length(const std::string& text)
{
    std::size_t n = text.size();
    for (const unsigned char c : text)
    {
        if (c == '"' || c == '\\')
        {
            n += 1;
        }
        else if (c < ' ')
        {
            n += 5;
        }
    }
    return n;
}

const model::team_config* find_team(
    const std::vector<model::team_config>& teams, const std::string& name)
{
    const auto it = std::find_if(
        teams.begin(), teams.end(), [&](const auto& team) { return team.name == name; });
    return it == teams.end() ? nullptr : &*it;
}

std::string describe_unknown_team(
    const std::string& name, const std::vector<model::team_config>& teams)
{
    std::vector<std::string> names;
    names.reserve(teams.size());
    for (const auto& it : teams)
    {
        names.push_back(it.name);
    }
    const std::string near_miss = core::nearest_name(name, names);
    const std::string text = "team '" + name + "' has no quota in the configuration";
    return near_miss.empty() ? text : text + " (did you mean '" + near_miss + "'?)";
}

/// \return how far a host falls short: the sum of the missing resources, each relative to the need.
double shortfall(const resources& need, const resources& available)
{
    const auto part = [](double want, double have)
    {
        return want > have ? (want - have) / want : 0.0;
    };
    return part(need.processors, available.processors) + part(need.memory_gb, available.memory_gb) +
           part(need.accelerators, available.accelerators);
}

std::string describe_missing_host(const resources& need, const model::pool_document& hosts)
{
    const model::host_record* nearest = nullptr;
    double smallest_shortfall = 0;
    for (const auto& it : hosts.hosts)
    {
        const resources available{it.processors, it.memory_gb, it.accelerators};
        if (fits(need, available))
        {
            return {};
        }
        const double lack = shortfall(need, available);
        if (nearest == nullptr || lack < smallest_shortfall)
        {
            nearest = &it;
            smallest_shortfall = lack;
        }
    }
    if (nearest == nullptr)
    {
        return "pool '" + hosts.pool + "' has no host";
    }
    const resources available{nearest->processors, nearest->memory_gb, nearest->accelerators};
    return "needs " + to_text(need) + "; no host of pool '" + hosts.pool +
           "' has that; the nearest is " + nearest->id + " with " + to_text(available) +
           ", short of " + shortfall_text(need, available);
}

struct document_size
{
    std::size_t jobs = 0;
    std::size_t bytes = 0;
};

bool fits_document(const document_size& b, const settings& rules, std::size_t more)
{
    return b.jobs < rules.max_jobs && b.bytes + more <= rules.max_document_bytes;
}

submit_outcome submit_one(job_document& d,
    std::unordered_map<std::string, std::size_t>& by_id,
    document_size& current,
    const submission& s,
    const submit_input& in)
{
    core::findings wrong = check(s, in.rules);
    if (!wrong.empty())
    {
        return wrong;
    }
    const std::uint64_t hash = hash_of(s);
    if (const auto it = by_id.find(s.id); it != by_id.end())
    {
        const job& before = d.jobs[it->second];
        if (before.body_hash != hash)
        {
            return other_body{};
        }
        return accepted{true, before.state};
    }
    std::string why = impossibility_reason(s.declared, s.team, in.hosts, in.teams);
    if (!why.empty())
    {
        return never_fits{std::move(why)};
    }
    job made = to_job(s, hash, core::to_unix_ms(in.now));
    const std::size_t n = max_encoded_size(made);
    if (!fits_document(current, in.rules, n))
    {
        return document_full{};
    }
    current.jobs += 1;
    current.bytes += n;
    by_id.emplace(made.id, d.jobs.size());
    d.jobs.push_back(std::move(made));
    return accepted{};
}

cancel_outcome cancel_one(job* j, const std::string& command, std::int64_t now_ms)
{
    if (j == nullptr)
    {
        return cancel_outcome::not_found;
    }
    if (j->state == job_state::cancelled)
    {
        return j->host.empty() ? cancel_outcome::cancelled : cancel_outcome::stopping;
    }
    if (j->state == job_state::finished || j->state == job_state::failed)
    {
        return cancel_outcome::was_over;
    }
    const bool may_run = may_occupy_host(*j);
    if (!may_run)
    {
        j->host.clear();
    }
    const bool may_have_run = j->state == job_state::unknown;
    enter_state(*j,
        job_state::cancelled,
        now_ms,
        "cancelled_by_command",
        command + (may_run ? "; its task is being stopped and may have run in part"
                           : (may_have_run ? "; it may have run" : "; it held no host")));
    j->releasing = release_reason::none;
    return may_run ? cancel_outcome::stopping : cancel_outcome::cancelled;
}

} // namespace

core::findings check(const submission& s, const settings& rules)
{
    core::findings all;
    check_name(all, s.id, "/id");
    check_name(all, s.team, "/team");
    if (!s.kind.empty())
    {
        check_name(all, s.kind, "/kind");
    }
    expect(all, s.declared.processors > 0, "/processors", "must be above 0");
    expect(all, s.declared.memory_gb > 0, "/memory_gb", "must be above 0");
    expect(all, s.declared.accelerators >= 0, "/accelerators", "must not be negative");
    expect(all, s.run_time.count() > 0, "/run_time_ms", "must be above 0");
    expect(all,
        s.payload.size() <= rules.max_payload_bytes,
        "/payload",
        "is longer than " + std::to_string(rules.max_payload_bytes) + " bytes");
    return all;
}

std::string impossibility_reason(const resources& declared,
    const std::string& team,
    const model::pool_document& hosts,
    const std::vector<model::team_config>& teams)
{
    const model::team_config* quota = find_team(teams, team);
    if (quota == nullptr)
    {
        return describe_unknown_team(team, teams);
    }
    const resources limit{quota->processors, quota->memory_gb, quota->accelerators};
    if (!fits(declared, limit))
    {
        return "needs " + to_text(declared) + "; the quota of team '" + team + "' is " +
               to_text(limit) + ", short of " + shortfall_text(declared, limit);
    }
    return describe_missing_host(declared, hosts);
}

std::vector<submit_outcome> submit(
    job_document& d, const std::vector<submission>& all, const submit_input& in)
{
    remove_expired_jobs(d, in.rules, in.now);
    std::unordered_map<std::string, std::size_t> by_id;
    for (std::size_t i = 0; i < d.jobs.size(); ++i)
    {
        by_id.emplace(d.jobs[i].id, i);
    }
    document_size current{d.jobs.size(), max_encoded_size(d)};
    std::vector<submit_outcome> outcomes;
    outcomes.reserve(all.size());
    for (const auto& it : all)
    {
        outcomes.push_back(submit_one(d, by_id, current, it, in));
    }
    return outcomes;
}

std::vector<cancel_outcome> cancel(job_document& d,
    const std::vector<std::string>& ids,
    const std::string& command,
    core::wall_time now)
{
    std::unordered_map<std::string, job*> by_id;
    for (auto& it : d.jobs)
    {
        by_id.emplace(it.id, &it);
    }
    std::vector<cancel_outcome> outcomes;
    outcomes.reserve(ids.size());
    for (const auto& it : ids)
    {
        const auto found = by_id.find(it);
        outcomes.push_back(cancel_one(
            found == by_id.end() ? nullptr : found->second, command, core::to_unix_ms(now)));
    }
    return outcomes;
}

std::size_t remove_expired_jobs(job_document& d, const settings& rules, core::wall_time now)
{
    const auto terminal_jobs =
        static_cast<std::size_t>(std::count_if(d.jobs.begin(), d.jobs.end(), is_terminal));
    const bool is_crowded = terminal_jobs > rules.max_terminal_jobs;
    const core::millis kept =
        is_crowded ? rules.min_terminal_job_retention : rules.terminal_job_retention;
    const std::int64_t oldest = core::to_unix_ms(now) - kept.count();
    return std::erase_if(d.jobs,
        [&](const job& j)
        { return is_terminal(j) && !may_occupy_host(j) && j.state_since_ms < oldest; });
}

std::size_t max_encoded_size(const job& j)
{
    std::size_t n = fixed_job_bytes + json_length(j.payload);
    n += j.id.size() + j.team.size() + json_length(j.kind) + json_length(j.moved_by_wave);
    std::size_t texts =
        json_length(j.host) + json_length(j.recorded_by) + json_length(j.checkpoint);
    texts += json_length(j.decision.weighed) + j.decision.rule.size();
    for (const auto& it : j.failures)
    {
        texts += failure_bytes + it.host.size();
    }
    const bool placed = j.lease_ttl.count() != 0 || !j.reserved.empty();
    const bool changes = !is_terminal(j) || may_occupy_host(j);
    n += changes ? std::max(texts, placement_text_bytes) : texts;
    return n + (placed || changes ? placed_job_bytes : 0);
}

std::size_t max_encoded_size(const job_document& d)
{
    std::size_t n = fixed_document_bytes + d.pool.size() + d.token.incarnation.size();
    for (const auto& it : d.jobs)
    {
        n += max_encoded_size(it);
    }
    return n;
}

} // namespace camphorhitch::jobs
