#include "fleet_service.hpp"

#include "membership/owners.hpp"
#include "model/codec.hpp"
#include "model/keys.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::daemon
{

namespace
{

template <class View, class Match>
void replace_or_add(std::vector<View>& all, View next, Match same)
{
    const auto it = std::find_if(all.begin(), all.end(), same);
    if (it != all.end())
    {
        *it = std::move(next);
    }
    else
    {
        all.push_back(std::move(next));
    }
}

std::string suffix_after(const std::string& key, const std::string& prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0 ? key.substr(prefix.size()) : std::string{};
}

} // namespace

fleet_service::fleet_service(context& c, membership_service& members, permit_service& permits)
    : context_(c), members_(members), permits_(permits)
{
}

void fleet_service::set_job_hooks(job_hooks hooks)
{
    job_hooks_ = std::move(hooks);
}

void fleet_service::start()
{
    context_.run_every(context_.timing.live_list_interval, [this] { read_live_list(); });
    context_.run_every(context_.timing.fleet_interval, [this] { run_round(); });
}

void fleet_service::on_config(const model::configuration& config)
{
    config_ = config;
    // A pool without a document needs decisions too: a host may have been released to the pool and
    // belongs to no other pool until this pool adopts the host.
    for (const auto& it : config.pools)
    {
        if (find_pool(it.name) == nullptr)
        {
            pools_.push_back({model::pool_document{it.name, {}, {}, {}}, 0});
        }
    }
}

void fleet_service::on_roster()
{
    for (auto it = pool_timers_.begin(); it != pool_timers_.end();)
    {
        it = permits_.owns(it->first) ? std::next(it) : pool_timers_.erase(it);
    }
}

const std::vector<fleet::pool_view>& fleet_service::pools() const
{
    return pools_;
}

const std::vector<fleet::wave_view>& fleet_service::waves() const
{
    return waves_;
}

const ports::live_list& fleet_service::live() const
{
    return live_;
}

const model::configuration& fleet_service::config() const
{
    return config_;
}

const fleet::pool_view* fleet_service::find_pool(const std::string& pool) const
{
    const auto it = std::find_if(
        pools_.begin(), pools_.end(), [&](const auto& one) { return one.document.pool == pool; });
    return it == pools_.end() ? nullptr : &*it;
}

void fleet_service::on_document(const ports::kv_entry& entry)
{
    if (const auto pool = suffix_after(entry.key, model::keys::pools); !pool.empty())
    {
        apply_pool_document(entry, pool);
    }
    else if (const auto wave = suffix_after(entry.key, model::keys::waves); !wave.empty())
    {
        apply_wave_document(entry, wave);
    }
}

void fleet_service::apply_pool_document(const ports::kv_entry& entry, const std::string& name)
{
    fleet::pool_view next;
    next.document.pool = name;
    next.revision = entry.modified;
    if (entry.modified > 0)
    {
        auto decoded = model::decode_pool(entry.value, entry.key, model::strictness::lenient);
        if (const auto* findings = std::get_if<core::findings>(&decoded))
        {
            context_.log(ports::log_level::error,
                "pool_document_damaged",
                {{"pool", name}, {"findings", core::to_text(*findings)}});
            return;
        }
        next.document = std::get<model::pool_document>(std::move(decoded));
    }
    permits_.on_pool_document(next.document);
    replace_or_add(
        pools_, std::move(next), [&](const auto& it) { return it.document.pool == name; });
}

void fleet_service::apply_wave_document(const ports::kv_entry& entry, const std::string& id)
{
    const auto same = [&](const auto& it)
    {
        return it.document.id == id;
    };
    if (entry.modified == 0)
    {
        waves_.erase(std::remove_if(waves_.begin(), waves_.end(), same), waves_.end());
        return;
    }
    auto decoded = model::decode_wave(entry.value, entry.key, model::strictness::lenient);
    if (const auto* findings = std::get_if<core::findings>(&decoded))
    {
        context_.log(ports::log_level::error,
            "wave_document_damaged",
            {{"wave", id}, {"findings", core::to_text(*findings)}});
        return;
    }
    fleet::wave_view next{std::get<model::wave_document>(std::move(decoded)), entry.modified};
    replace_or_add(waves_, std::move(next), same);
}

void fleet_service::read_live_list()
{
    if (reading_live_list_)
    {
        return;
    }
    reading_live_list_ = true;
    context_.platform.read_live_list(
        [this](ports::live_list it)
        {
            reading_live_list_ = false;
            // The last list stays in use when the list can't be read: hosts must not count as down
            // because the list is unavailable.
            if (it.known)
            {
                live_ = std::move(it);
                permits_.on_live_list(live_);
            }
        });
}

void fleet_service::run_round()
{
    if (!members_.fresh() || !context_.documents->loaded())
    {
        return;
    }
    for (const auto& it : std::vector<fleet::pool_view>(pools_))
    {
        if (permits_.owns(it.document.pool))
        {
            decide(it);
        }
    }
    for (const auto& it : std::vector<fleet::wave_view>(waves_))
    {
        const auto* owner = membership::owner_of_wave(members_.roster(), it.document.id);
        if (owner != nullptr && membership::same_process(*owner, context_.self))
        {
            decide(it);
        }
    }
}

std::vector<fleet::host_activity> fleet_service::make_host_activities(
    const fleet::pool_view& own) const
{
    std::vector<fleet::host_activity> all;
    const bool ready = permits_.ready(own.document.pool);
    for (const auto& host : own.document.hosts)
    {
        fleet::host_activity it;
        it.host = host.id;
        const auto use = permits_.usage_of_host(own.document.pool, host.id);
        const auto tasks = job_hooks_.tasks_on ? job_hooks_.tasks_on(own.document.pool, host.id)
                                               : std::optional<int>(0);
        // The dispatcher received this document before this decision is made from it.
        it.stopped = ready;
        it.certain = ready && use.has_value() && !use->uncounted && tasks.has_value();
        it.requests = use ? use->permits + use->reserved : 0;
        it.jobs = tasks.value_or(0);
        all.push_back(std::move(it));
    }
    return all;
}

void fleet_service::decide(const fleet::pool_view& own)
{
    const auto& pool = own.document.pool;
    if (writes_in_flight_.count(model::keys::pools + pool) > 0)
    {
        return;
    }
    const auto activity = make_host_activities(own);
    fleet::fleet_settings rules;
    rules.live_list_lag = context_.timing.max_live_list_age;
    const fleet::pool_inputs in{own,
        config_,
        waves_,
        context_.documents->loaded(),
        {pools_, context_.documents->read_revision()},
        live_,
        activity,
        rules,
        context_.scheduler.now(),
        context_.scheduler.wall_now()};
    for (const auto& action : fleet::decide_pool(in, pool_timers_[pool]))
    {
        std::visit([&](const auto& it) { execute(pool, it); }, action);
    }
}

void fleet_service::decide(const fleet::wave_view& own)
{
    const auto key = model::keys::waves + own.document.id;
    if (writes_in_flight_.count(key) > 0)
    {
        return;
    }
    const fleet::wave_inputs in{
        own, config_, pools_, context_.documents->loaded(), waves_, context_.scheduler.wall_now()};
    if (const auto next = fleet::decide_wave(in))
    {
        context_.log(
            ports::log_level::info, "wave_step", {{"wave", own.document.id}, {"note", next->note}});
        write(key, model::encode(next->document), next->expected);
    }
}

void fleet_service::execute(const std::string& pool, const fleet::write_pool& it)
{
    for (const auto& note : it.notes)
    {
        context_.log(ports::log_level::info, "pool_step", {{"pool", pool}, {"note", note}});
    }
    write(model::keys::pools + pool, model::encode(it.document), it.expected);
}

void fleet_service::write(const std::string& key, const std::string& text, ports::revision expected)
{
    writes_in_flight_.insert(key);
    context_.store.put_if(key,
        text,
        expected,
        0,
        [this, key, text](const ports::kv_write& reply)
        {
            writes_in_flight_.erase(key);
            if (reply.status == ports::kv_status::ok)
            {
                context_.documents->apply_entry({key, text, reply.modified, 0});
            }
            else if (reply.status == ports::kv_status::conflict && !reply.current.key.empty())
            {
                context_.documents->apply_entry(reply.current);
            }
            else
            {
                context_.documents->refresh();
            }
        });
}

void fleet_service::execute(const std::string& pool, const fleet::order_reboot& it)
{
    if (!reboots_in_flight_.insert(it.command).second)
    {
        return;
    }
    context_.log(ports::log_level::info,
        "reboot_ordered",
        {{"pool", pool}, {"host", it.host}, {"command", it.command}});
    context_.platform.reboot(it.host,
        it.command,
        [this, pool, it](ports::platform_status status)
        {
            reboots_in_flight_.erase(it.command);
            if (status == ports::platform_status::ok)
            {
                fleet::record_reboot_acknowledged(
                    pool_timers_[pool], it.host, it.command, context_.scheduler.now());
            }
        });
}

void fleet_service::execute(const std::string& /*pool*/, const fleet::stop_host& /*it*/)
{
    // No action is needed: the dispatcher follows the document and the live list itself, and
    // received both before this decision was made from them.
}

void fleet_service::execute(const std::string& pool, const fleet::move_jobs_off& it)
{
    if (job_hooks_.move_off)
    {
        job_hooks_.move_off(pool, it.host, it.time_left);
    }
}

void fleet_service::execute(const std::string& pool, const fleet::report_slow_drain& it)
{
    context_.log(ports::log_level::warning,
        "drain_slow",
        {{"pool", pool}, {"host", it.host}, {"text", it.text}});
}

} // namespace camphorhitch::daemon
