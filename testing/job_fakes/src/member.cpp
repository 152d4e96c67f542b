#include "job_fakes/member.hpp"

#include "jobs/submit.hpp"

#include <algorithm>

namespace camphorhitch::job_fakes
{

namespace
{

void carry_out(member& m, world& w, const jobs::start_task& it)
{
    ports::platform_status end = ports::platform_status::ok;
    if (w.order_fault)
    {
        end = w.order_fault(it.order);
    }
    else
    {
        end = start(w.platform, it.order, w.now);
    }
    jobs::record_order_result(m.jobs, it.order.task, end);
}

void carry_out(member& m, world& w, const jobs::command_tasks& it)
{
    if (w.command_lost && w.command_lost(it))
    {
        jobs::record_command_result(m.jobs, it.tasks, it.what, ports::platform_status::unknown);
        return;
    }
    const auto end = act(w.platform, it.host, it.tasks, it.what, w.now);
    jobs::record_command_result(m.jobs, it.tasks, it.what, end);
}

void carry_out(member& m, world& w, const jobs::poll_host& it)
{
    jobs::record_reports(m.jobs, it.host, read_tasks(w.platform, it.host, w.now), w.now);
}

void carry_out(member& m, world& w, const jobs::quota_request& it)
{
    const auto team = std::find_if(
        w.teams.begin(), w.teams.end(), [&](const auto& t) { return t.name == it.team; });
    if (team == w.teams.end())
    {
        return;
    }
    jobs::quota_document& d = w.quotas[it.team];
    d.team = it.team;
    jobs::adjust_grant(d, it, {team->processors, team->memory_gb, team->accelerators});
    if (const auto granted = jobs::find_grant(d, it); granted && !w.wishes_unanswered)
    {
        jobs::record_grant(m.jobs, it, *granted);
        m.again = true;
    }
}

void carry_out(member&, world&, const jobs::worker_health_changed&)
{
}

void write_one(member& m, world& w, const jobs::due_write& it)
{
    const auto n = static_cast<std::size_t>(it.bucket);
    const write_answer answer = put_if(w.kv, it.bucket, *it.document, m.revisions[n]);
    jobs::record_write_result(m.jobs, it.bucket, answer.how);
    if (answer.how == jobs::write_result::stored)
    {
        m.revisions[n] = answer.revision;
        m.tried[n] = 0;
        m.again = true;
        return;
    }
    m.must_read[n] = true;
    if (answer.how == jobs::write_result::unknown)
    {
        m.tried[n] = m.revisions[n];
    }
}

} // namespace

core::wall_time wall_now(const world& w)
{
    const auto ms = std::chrono::duration_cast<core::millis>(w.now.time_since_epoch());
    return core::from_unix_ms(w.wall_base_ms + ms.count());
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
    m.tried.fill(-1);
    return m;
}

namespace
{

void read_documents(member& m, world& w, bool newer_marks)
{
    for (std::size_t i = 0; i < m.revisions.size(); ++i)
    {
        const store::entry& it = w.kv.entries[i];
        const bool unchanged = !m.must_read[i] && it.revision == m.revisions[i];
        if (unchanged || (!newer_marks && it.document.token.epoch > m.jobs.token.epoch))
        {
            continue;
        }
        const auto cause =
            it.revision == m.tried[i] ? jobs::read_cause::same : jobs::read_cause::newer;
        if (jobs::apply_document(m.jobs, static_cast<int>(i), it.document, cause, w.now))
        {
            m.revisions[i] = it.revision;
            m.must_read[i] = false;
        }
    }
}

} // namespace

void read_changes(member& m, world& w)
{
    read_documents(m, w, true);
}

void read_changes_but_marks(member& m, world& w)
{
    read_documents(m, w, false);
}

void poll(member& m, world& w)
{
    for (const auto& it : w.hosts.hosts)
    {
        jobs::record_reports(m.jobs, it.id, read_tasks(w.platform, it.id, w.now), w.now);
    }
    m.polled = w.now;
}

namespace
{

std::vector<jobs::action> timed_round(member& m, world& w, const jobs::round_input& in)
{
    if (w.before_round)
    {
        w.before_round();
    }
    auto actions = jobs::decide_round(m.jobs, in);
    if (w.after_round)
    {
        w.after_round();
    }
    return actions;
}

void step_with(member& m, world& w, bool starts_only)
{
    const jobs::round_input in{w.hosts, w.teams, w.leaving_in, w.rules, w.now, wall_now(w)};
    for (int i = 0; i < w.rounds_per_step; ++i)
    {
        m.again = false;
        for (const auto& it : timed_round(m, w, in))
        {
            if (w.on_action)
            {
                w.on_action(it);
            }
            if (!starts_only || std::holds_alternative<jobs::start_task>(it))
            {
                std::visit([&](const auto& a) { carry_out(m, w, a); }, it);
            }
        }
        for (const auto& it : jobs::begin_due_writes(m.jobs, w.rules, w.now))
        {
            write_one(m, w, it);
        }
        if (!m.again)
        {
            return;
        }
    }
}

} // namespace

void step(member& m, world& w)
{
    step_with(m, w, false);
}

void step_starts_only(member& m, world& w)
{
    step_with(m, w, true);
}

std::vector<std::optional<jobs::submit_outcome>> submit(
    world& w, const std::vector<jobs::submission>& all)
{
    std::vector<std::optional<jobs::submit_outcome>> outcomes(all.size());
    std::map<int, std::vector<std::size_t>> by_bucket;
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        by_bucket[jobs::bucket_of(all[i].id)].push_back(i);
    }
    for (const auto& it : by_bucket)
    {
        store::entry& entry = w.kv.entries.at(static_cast<std::size_t>(it.first));
        jobs::job_document d = entry.document;
        std::vector<jobs::submission> batch;
        for (const std::size_t n : it.second)
        {
            batch.push_back(all[n]);
        }
        const auto made = jobs::submit(d, batch, {w.hosts, w.teams, w.rules, wall_now(w)});
        if (put_if(w.kv, it.first, d, entry.revision).how != jobs::write_result::stored)
        {
            continue;
        }
        for (std::size_t n = 0; n < made.size(); ++n)
        {
            outcomes[it.second[n]] = made[n];
        }
    }
    return outcomes;
}

void cancel(world& w, const std::vector<std::string>& ids)
{
    std::map<int, std::vector<std::string>> by_bucket;
    for (const auto& it : ids)
    {
        by_bucket[jobs::bucket_of(it)].push_back(it);
    }
    for (const auto& it : by_bucket)
    {
        store::entry& entry = w.kv.entries.at(static_cast<std::size_t>(it.first));
        jobs::job_document d = entry.document;
        jobs::cancel(d, it.second, "cancel", wall_now(w));
        put_if(w.kv, it.first, d, entry.revision);
    }
}

const jobs::job* stored_job(const world& w, const std::string& id)
{
    const auto& it = w.kv.entries.at(static_cast<std::size_t>(jobs::bucket_of(id)));
    return jobs::find_job(it.document, id);
}

} // namespace camphorhitch::job_fakes
