#include "job_fakes/member.hpp"

#include "jobs/submit.hpp"

#include <algorithm>

namespace camphorhitch::job_fakes
{

namespace
{

void execute(member& m, pool_environment& env, const jobs::start_task& it)
{
    ports::platform_status end = ports::platform_status::ok;
    if (env.order_fault)
    {
        end = env.order_fault(it.order);
    }
    else
    {
        end = start(env.platform, it.order, env.now);
    }
    jobs::record_order_result(m.jobs, it.order.task, end);
}

void execute(member& m, pool_environment& env, const jobs::command_tasks& it)
{
    if (env.command_lost && env.command_lost(it))
    {
        jobs::record_command_result(m.jobs, it.tasks, it.what, ports::platform_status::unknown);
        return;
    }
    const auto end = apply_action(env.platform, it.host, it.tasks, it.what, env.now);
    jobs::record_command_result(m.jobs, it.tasks, it.what, end);
}

void execute(member& m, pool_environment& env, const jobs::poll_host& it)
{
    jobs::record_reports(m.jobs, it.host, read_tasks(env.platform, it.host, env.now), env.now);
}

void execute(member& m, pool_environment& env, const jobs::quota_request& it)
{
    const auto team = std::find_if(
        env.teams.begin(), env.teams.end(), [&](const auto& t) { return t.name == it.team; });
    if (team == env.teams.end())
    {
        return;
    }
    jobs::quota_document& d = env.quotas[it.team];
    d.team = it.team;
    jobs::adjust_grant(d, it, {team->processors, team->memory_gb, team->accelerators});
    if (const auto granted = jobs::find_grant(d, it); granted && !env.quota_requests_unanswered)
    {
        jobs::record_grant(m.jobs, it, *granted);
        m.repeat_round = true;
    }
}

void execute(member&, pool_environment&, const jobs::worker_health_changed&)
{
}

void write_document(member& m, pool_environment& env, const jobs::due_write& it)
{
    const auto n = static_cast<std::size_t>(it.bucket);
    const write_answer answer = put_if(env.kv, it.bucket, *it.document, m.revisions[n]);
    jobs::record_write_result(m.jobs, it.bucket, answer.how);
    if (answer.how == jobs::write_result::stored)
    {
        m.revisions[n] = answer.revision;
        m.uncertain_revisions[n] = 0;
        m.repeat_round = true;
        return;
    }
    m.must_read[n] = true;
    if (answer.how == jobs::write_result::unknown)
    {
        m.uncertain_revisions[n] = m.revisions[n];
    }
}

} // namespace

core::wall_time wall_now(const pool_environment& env)
{
    const auto ms = std::chrono::duration_cast<core::millis>(env.now.time_since_epoch());
    return core::from_unix_ms(env.wall_base_ms + ms.count());
}

member make_member(const std::string& pool,
    std::uint64_t epoch,
    const std::string& incarnation,
    core::mono_time now)
{
    member m;
    m.jobs = jobs::make_pool_jobs(pool, {epoch, incarnation}, now);
    m.must_read.fill(true);
    m.revisions.fill(-1);
    m.uncertain_revisions.fill(-1);
    return m;
}

namespace
{

void read_documents(member& m, pool_environment& env, bool include_newer_owners)
{
    for (std::size_t i = 0; i < m.revisions.size(); ++i)
    {
        const store::entry& it = env.kv.entries[i];
        const bool unchanged = !m.must_read[i] && it.revision == m.revisions[i];
        if (unchanged || (!include_newer_owners && it.document.token.epoch > m.jobs.token.epoch))
        {
            continue;
        }
        const auto cause = it.revision == m.uncertain_revisions[i] ? jobs::read_cause::same
                                                                   : jobs::read_cause::newer;
        if (jobs::apply_document(m.jobs, static_cast<int>(i), it.document, cause, env.now))
        {
            m.revisions[i] = it.revision;
            m.must_read[i] = false;
        }
    }
}

} // namespace

void read_changes(member& m, pool_environment& env)
{
    read_documents(m, env, true);
}

void read_changes_except_newer_owner(member& m, pool_environment& env)
{
    read_documents(m, env, false);
}

void poll(member& m, pool_environment& env)
{
    for (const auto& it : env.hosts.hosts)
    {
        jobs::record_reports(m.jobs, it.id, read_tasks(env.platform, it.id, env.now), env.now);
    }
    m.polled = env.now;
}

namespace
{

std::vector<jobs::action> timed_round(member& m, pool_environment& env, const jobs::round_input& in)
{
    if (env.before_round)
    {
        env.before_round();
    }
    auto actions = jobs::decide_round(m.jobs, in);
    if (env.after_round)
    {
        env.after_round();
    }
    return actions;
}

void step_with(member& m, pool_environment& env, bool starts_only)
{
    const jobs::round_input in{
        env.hosts, env.teams, env.leaving_in, env.rules, env.now, wall_now(env)};
    for (int i = 0; i < env.rounds_per_step; ++i)
    {
        m.repeat_round = false;
        for (const auto& it : timed_round(m, env, in))
        {
            if (env.on_action)
            {
                env.on_action(it);
            }
            if (!starts_only || std::holds_alternative<jobs::start_task>(it))
            {
                std::visit([&](const auto& a) { execute(m, env, a); }, it);
            }
        }
        for (const auto& it : jobs::begin_due_writes(m.jobs, env.rules, env.now))
        {
            write_document(m, env, it);
        }
        if (!m.repeat_round)
        {
            return;
        }
    }
}

} // namespace

void step(member& m, pool_environment& env)
{
    step_with(m, env, false);
}

void step_starts_only(member& m, pool_environment& env)
{
    step_with(m, env, true);
}

std::vector<std::optional<jobs::submit_outcome>> submit(
    pool_environment& env, const std::vector<jobs::submission>& all)
{
    std::vector<std::optional<jobs::submit_outcome>> outcomes(all.size());
    std::map<int, std::vector<std::size_t>> by_bucket;
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        by_bucket[jobs::bucket_of(all[i].id)].push_back(i);
    }
    for (const auto& it : by_bucket)
    {
        store::entry& entry = env.kv.entries.at(static_cast<std::size_t>(it.first));
        jobs::job_document d = entry.document;
        std::vector<jobs::submission> batch;
        for (const std::size_t n : it.second)
        {
            batch.push_back(all[n]);
        }
        const auto outcome_list =
            jobs::submit(d, batch, {env.hosts, env.teams, env.rules, wall_now(env)});
        if (put_if(env.kv, it.first, d, entry.revision).how != jobs::write_result::stored)
        {
            continue;
        }
        for (std::size_t n = 0; n < outcome_list.size(); ++n)
        {
            outcomes[it.second[n]] = outcome_list[n];
        }
    }
    return outcomes;
}

void cancel(pool_environment& env, const std::vector<std::string>& ids)
{
    std::map<int, std::vector<std::string>> by_bucket;
    for (const auto& it : ids)
    {
        by_bucket[jobs::bucket_of(it)].push_back(it);
    }
    for (const auto& it : by_bucket)
    {
        store::entry& entry = env.kv.entries.at(static_cast<std::size_t>(it.first));
        jobs::job_document d = entry.document;
        jobs::cancel(d, it.second, "cancel", wall_now(env));
        put_if(env.kv, it.first, d, entry.revision);
    }
}

const jobs::job* stored_job(const pool_environment& env, const std::string& id)
{
    const auto& it = env.kv.entries.at(static_cast<std::size_t>(jobs::bucket_of(id)));
    return jobs::find_job(it.document, id);
}

} // namespace camphorhitch::job_fakes
