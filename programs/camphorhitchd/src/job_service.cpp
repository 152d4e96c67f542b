#include "job_service.hpp"

#include "jobs/codec.hpp"
#include "model/keys.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace camphorhitch::daemon
{

namespace
{

constexpr core::millis poll_interval{2000};
constexpr core::millis leave_immediately{0};

bool has_prefix(const std::string& key, const std::string& prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

job_service::job_service(context& c,
    membership_service& members,
    permit_service& permits,
    fleet_service& fleet,
    jobs::settings rules)
    : context_(c), members_(members), permits_(permits), fleet_(fleet), rules_(rules)
{
}

void job_service::start()
{
    context_.run_every(context_.timing.jobs_interval,
        [this]
        {
            on_roster(); // also takes over pools that are new in the configuration
            std::vector<std::string> pools;
            for (const auto& [pool, o] : owned_)
            {
                pools.push_back(pool);
            }
            for (const auto& pool : pools)
            {
                run_round(pool);
            }
        });
}

job_service::owned_pool* job_service::find_owned(const std::string& pool)
{
    const auto it = owned_.find(pool);
    return it == owned_.end() ? nullptr : &it->second;
}

void job_service::on_roster()
{
    for (const auto& pool : fleet_.config().pools)
    {
        const bool mine = permits_.owns(pool.name);
        if (!mine)
        {
            owned_.erase(pool.name);
        }
        else if (owned_.count(pool.name) == 0 || owned_.at(pool.name).jobs.superseded)
        {
            take_over(pool.name);
        }
    }
}

void job_service::take_over(const std::string& pool)
{
    if (!context_.documents->loaded())
    {
        return;
    }
    const auto token_text = context_.self.incarnation + "/" + std::to_string(++takeover_count_);
    owned_pool fresh;
    fresh.jobs =
        jobs::make_pool_jobs(pool, {members_.roster().epoch, token_text}, context_.scheduler.now());
    fresh.stored_revisions.fill(-1);
    fresh.uncertain_revisions.fill(-1);
    auto& o = owned_[pool] = std::move(fresh);
    for (int bucket = 0; bucket < jobs::buckets_per_pool; ++bucket)
    {
        load_bucket(o, bucket);
    }
}

/// Passes the stored document to the pool's jobs when it is newer than their copy.
void job_service::load_bucket(owned_pool& o, int bucket)
{
    const auto n = static_cast<std::size_t>(bucket);
    const auto key = jobs::document_key(o.jobs.pool, bucket);
    const auto* entry = context_.documents->find(key);
    const ports::revision revision = entry == nullptr ? 0 : entry->modified;
    if (revision <= o.stored_revisions[n] && o.stored_revisions[n] >= 0 &&
        revision != o.uncertain_revisions[n])
    {
        return;
    }
    jobs::job_document stored;
    stored.pool = o.jobs.pool;
    stored.bucket = bucket;
    const auto it = stored_.find(key);
    if (it != stored_.end())
    {
        stored = it->second;
    }
    const auto cause =
        revision == o.uncertain_revisions[n] ? jobs::read_cause::same : jobs::read_cause::newer;
    if (jobs::apply_document(o.jobs, bucket, std::move(stored), cause, context_.scheduler.now()))
    {
        o.stored_revisions[n] = revision;
        o.uncertain_revisions[n] = -1;
    }
}

void job_service::on_document(const ports::kv_entry& entry)
{
    if (!has_prefix(entry.key, model::keys::jobs))
    {
        return;
    }
    if (entry.modified == 0)
    {
        stored_.erase(entry.key);
        return;
    }
    auto decoded = jobs::decode_jobs(entry.value, entry.key);
    if (const auto* findings = std::get_if<core::findings>(&decoded))
    {
        context_.log(ports::log_level::error,
            "job_document_damaged",
            {{"key", entry.key}, {"findings", core::to_text(*findings)}});
        return;
    }
    auto& stored = stored_[entry.key] = std::get<jobs::job_document>(std::move(decoded));
    if (auto* o = find_owned(stored.pool))
    {
        load_bucket(*o, stored.bucket);
    }
}

std::map<std::string, core::millis> job_service::leaving_hosts(const std::string& pool) const
{
    std::map<std::string, core::millis> all;
    const auto requested = evacuation_requests_.find(pool);
    if (requested != evacuation_requests_.end())
    {
        all = requested->second;
    }
    for (const auto& it : fleet_.live().hosts)
    {
        if (it.state == ports::live_state::leaving)
        {
            all[it.id] = leave_immediately;
        }
    }
    return all;
}

void job_service::run_round(const std::string& pool)
{
    auto* o = find_owned(pool);
    const auto* hosts = fleet_.find_pool(pool);
    if (o == nullptr || hosts == nullptr || !members_.fresh())
    {
        return;
    }
    const auto now = context_.scheduler.now();
    const auto stopped = members_.older_epochs_stopped_at();
    if (stopped <= now && !o->jobs.predecessor_stopped_at)
    {
        o->jobs.predecessor_stopped_at = stopped;
    }
    for (int bucket = 0; bucket < jobs::buckets_per_pool; ++bucket)
    {
        if (!o->jobs.buckets[static_cast<std::size_t>(bucket)].loaded ||
            o->uncertain_revisions[static_cast<std::size_t>(bucket)] >= 0)
        {
            load_bucket(*o, bucket);
        }
    }
    if (now - o->last_poll_at > poll_interval)
    {
        o->last_poll_at = now;
        for (const auto& it : jobs::hosts_to_poll(o->jobs))
        {
            poll(pool, it);
        }
    }
    const auto leaving = leaving_hosts(pool);
    const jobs::round_input in{hosts->document,
        fleet_.config().teams,
        leaving,
        rules_,
        now,
        context_.scheduler.wall_now()};
    for (const auto& action : jobs::decide_round(o->jobs, in))
    {
        std::visit([&](const auto& it) { execute(pool, it); }, action);
    }
    write_due_documents(pool);
}

void job_service::write_due_documents(const std::string& pool)
{
    auto* o = find_owned(pool);
    if (o == nullptr || o->jobs.superseded)
    {
        return;
    }
    for (const auto& due : jobs::begin_due_writes(o->jobs, rules_, context_.scheduler.now()))
    {
        const auto text = jobs::encode(*due.document);
        const auto n = static_cast<std::size_t>(due.bucket);
        context_.store.put_if(jobs::document_key(pool, due.bucket),
            text,
            std::max<ports::revision>(o->stored_revisions[n], 0),
            0,
            [this, pool, bucket = due.bucket, text, token = o->jobs.token](
                const ports::kv_write& reply)
            {
                auto* still = find_owned(pool);
                if (still != nullptr && still->jobs.token == token)
                {
                    on_written(pool, bucket, text, reply);
                }
            });
    }
}

void job_service::on_written(
    const std::string& pool, int bucket, const std::string& text, const ports::kv_write& reply)
{
    auto& o = *find_owned(pool);
    const auto n = static_cast<std::size_t>(bucket);
    const auto key = jobs::document_key(pool, bucket);
    switch (reply.status)
    {
    case ports::kv_status::ok:
        o.stored_revisions[n] = reply.modified;
        o.uncertain_revisions[n] = -1;
        jobs::record_write_result(o.jobs, bucket, jobs::write_result::stored);
        context_.documents->apply_entry({key, text, reply.modified, 0});
        run_round(pool);
        return;
    case ports::kv_status::conflict:
        jobs::record_write_result(o.jobs, bucket, jobs::write_result::conflict);
        if (!reply.current.key.empty())
        {
            context_.documents->apply_entry(reply.current);
        }
        load_bucket(o, bucket);
        return;
    default:
        // The effect of the write is unknown: the document must be read again before the next
        // write.
        jobs::record_write_result(o.jobs, bucket, jobs::write_result::unknown);
        o.uncertain_revisions[n] = o.stored_revisions[n];
        context_.documents->refresh();
        return;
    }
}

void job_service::poll(const std::string& pool, const std::string& host)
{
    auto* o = find_owned(pool);
    if (o == nullptr || !o->polls_in_flight.insert(host).second)
    {
        return;
    }
    context_.platform.read_tasks(host,
        [this, pool, host](const ports::task_reports& reports)
        {
            if (auto* still = find_owned(pool))
            {
                still->polls_in_flight.erase(host);
                jobs::record_reports(still->jobs, host, reports, context_.scheduler.now());
            }
        });
}

void job_service::execute(const std::string& pool, const jobs::start_task& it)
{
    context_.log(ports::log_level::info,
        "task_ordered",
        {{"pool", pool}, {"host", it.order.host}, {"task", it.order.task}});
    context_.platform.start_task(it.order,
        [this, pool, task = it.order.task](ports::platform_status status)
        {
            if (auto* o = find_owned(pool))
            {
                jobs::record_order_result(o->jobs, task, status);
            }
        });
}

void job_service::execute(const std::string& pool, const jobs::command_tasks& it)
{
    context_.platform.act_on_tasks(it.host,
        it.tasks,
        it.what,
        [this, pool, it](ports::platform_status status)
        {
            if (auto* o = find_owned(pool))
            {
                jobs::record_command_result(o->jobs, it.tasks, it.what, status);
            }
        });
}

void job_service::execute(const std::string& pool, const jobs::poll_host& it)
{
    poll(pool, it.host);
}

void job_service::execute(const std::string& pool, const jobs::quota_request& it)
{
    const auto& teams = fleet_.config().teams;
    const auto team = std::find_if(
        teams.begin(), teams.end(), [&](const auto& one) { return one.name == it.team; });
    if (team == teams.end() || !quota_updates_in_flight_.insert(it.team + '/' + pool).second)
    {
        return;
    }
    const jobs::resources quota{team->processors, team->memory_gb, team->accelerators};
    // The grant after the update, whether the update had to write or not.
    const auto granted = std::make_shared<std::optional<jobs::resources>>();
    update_document(
        context_.document_updater(),
        jobs::quota_key(it.team),
        [it, quota, granted](const std::string* current) -> change_result
        {
            jobs::quota_document document;
            document.team = it.team;
            if (current != nullptr)
            {
                auto decoded = jobs::decode_quota(*current, it.team);
                if (auto* known = std::get_if<jobs::quota_document>(&decoded))
                {
                    document = std::move(*known);
                }
            }
            const bool changed = jobs::adjust_grant(document, it, quota);
            *granted = jobs::find_grant(document, it);
            if (!changed)
            {
                return std::optional<std::string>{};
            }
            return std::optional<std::string>{jobs::encode(document)};
        },
        [this, pool, it, granted](const core::result<core::done>& end)
        {
            quota_updates_in_flight_.erase(it.team + '/' + pool);
            auto* o = find_owned(pool);
            if (o != nullptr && core::is_ok(end) && *granted)
            {
                jobs::record_grant(o->jobs, it, **granted);
                run_round(pool);
            }
        });
}

void job_service::execute(const std::string& pool, const jobs::worker_health_changed& it)
{
    context_.log(it.set_aside ? ports::log_level::warning : ports::log_level::info,
        it.set_aside ? "worker_set_aside" : "worker_back",
        {{"pool", pool}, {"host", it.host}, {"why", it.reason}});
}

std::optional<int> job_service::tasks_on(const std::string& pool, const std::string& host) const
{
    const auto it = owned_.find(pool);
    if (it == owned_.end() || !jobs::has_complete_task_count(it->second.jobs))
    {
        return std::nullopt;
    }
    return jobs::count_tasks_on(it->second.jobs, host);
}

void job_service::move_off(const std::string& pool, const std::string& host, core::millis time_left)
{
    evacuation_requests_[pool][host] = time_left;
}

std::map<std::string, std::vector<const jobs::job*>> job_service::all_jobs() const
{
    std::map<std::string, std::vector<const jobs::job*>> all;
    for (const auto& [key, document] : stored_)
    {
        for (const auto& it : document.jobs)
        {
            all[document.pool].push_back(&it);
        }
    }
    return all;
}

const jobs::job* job_service::find(const std::string& id, std::string& pool) const
{
    for (const auto& [key, document] : stored_)
    {
        if (const auto* it = jobs::find_job(document, id))
        {
            pool = document.pool;
            return it;
        }
    }
    return nullptr;
}

} // namespace camphorhitch::daemon
