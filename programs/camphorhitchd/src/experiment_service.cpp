#include "experiment_service.hpp"

#include "experiment/codec.hpp"
#include "experiment/report.hpp"
#include "fleet/budget.hpp"
#include "membership/owners.hpp"
#include "model/codec.hpp"
#include "model/keys.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::daemon
{

namespace
{

constexpr core::millis round_interval{500};
constexpr core::millis sample_interval{10000};
constexpr double ms_per_hour = 3600000.0;

change_result change_document(const std::string* current,
    const std::string& id,
    const std::function<bool(experiment::experiment_document&)>& change)
{
    if (current == nullptr)
    {
        return core::error{core::error_code::not_found, "no experiment named " + id};
    }
    auto decoded = experiment::decode_experiment(*current, id);
    if (const auto* findings = std::get_if<core::findings>(&decoded))
    {
        return core::error{core::error_code::unavailable, core::to_text(*findings)};
    }
    auto& document = std::get<experiment::experiment_document>(decoded);
    if (!change(document))
    {
        return std::optional<std::string>{};
    }
    return std::optional<std::string>{experiment::encode(document)};
}

int count_held_hosts(const model::pool_document& d)
{
    return static_cast<int>(std::count_if(d.hosts.begin(),
        d.hosts.end(),
        [](const auto& it) { return it.state == model::host_state::held; }));
}

bool host_failed_in(const model::wave_document& w, const model::host_record& host)
{
    return host.state == model::host_state::failed && (host.wave == w.id || host.last_wave == w.id);
}

} // namespace

experiment_service::experiment_service(
    context& c, membership_service& members, fleet_service& fleet, job_service& jobs)
    : context_(c), members_(members), fleet_(fleet), jobs_(jobs)
{
}

void experiment_service::start()
{
    context_.run_every(round_interval, [this] { run_round(); });
}

void experiment_service::on_document(const ports::kv_entry& entry)
{
    const auto& prefix = model::keys::experiments;
    if (entry.key.compare(0, prefix.size(), prefix) != 0)
    {
        return;
    }
    const auto id = entry.key.substr(prefix.size());
    if (entry.modified == 0)
    {
        documents_.erase(id);
        return;
    }
    auto decoded = experiment::decode_experiment(entry.value, entry.key);
    if (auto* it = std::get_if<experiment::experiment_document>(&decoded))
    {
        documents_[id] = std::move(*it);
        return;
    }
    context_.log(ports::log_level::error,
        "experiment_document_damaged",
        {{"experiment", id}, {"findings", core::to_text(std::get<core::findings>(decoded))}});
}

const experiment::experiment_document* experiment_service::find(const std::string& id) const
{
    const auto it = documents_.find(id);
    return it == documents_.end() ? nullptr : &it->second;
}

std::optional<std::string> experiment_service::report(const std::string& id) const
{
    const auto* it = find(id);
    return it == nullptr ? std::nullopt
                         : std::optional(experiment::report_text(*it, experiment::outcome_of(*it)));
}

void experiment_service::start_experiment(
    const experiment::start_request& request, std::function<void(core::result<std::string>)> done)
{
    std::map<std::string, int> hosts;
    for (const auto& it : fleet_.pools())
    {
        hosts[it.document.pool] = static_cast<int>(it.document.hosts.size());
    }
    auto created =
        experiment::start(request, fleet_.config(), hosts, context_.scheduler.wall_now());
    if (const auto* findings = std::get_if<core::findings>(&created))
    {
        done(core::error{core::error_code::invalid, core::to_text(*findings)});
        return;
    }
    const auto& document = std::get<experiment::experiment_document>(created);
    update_document(
        context_.document_updater(),
        model::keys::experiments + request.id,
        [text = experiment::encode(document), request](const std::string* current) -> change_result
        {
            if (current == nullptr)
            {
                return std::optional<std::string>{text};
            }
            auto decoded = experiment::decode_experiment(*current, request.id);
            const auto* known = std::get_if<experiment::experiment_document>(&decoded);
            const bool repeat = known != nullptr && std::find(known->commands.begin(),
                                                        known->commands.end(),
                                                        request.command) != known->commands.end();
            if (repeat)
            {
                return std::optional<std::string>{};
            }
            return core::error{
                core::error_code::conflict, "there is an experiment " + request.id + " already"};
        },
        [id = request.id, done = std::move(done)](const core::result<core::done>& end)
        {
            if (core::is_ok(end))
            {
                done("experiment " + id + " accepted\n");
            }
            else
            {
                done(core::failure(end));
            }
        });
}

void experiment_service::stop_experiment(const std::string& id,
    const std::string& command,
    std::function<void(core::result<core::done>)> done)
{
    const auto now = context_.scheduler.wall_now();
    update_document(
        context_.document_updater(),
        model::keys::experiments + id,
        [id, command, now](const std::string* current)
        {
            return change_document(current,
                id,
                [&](experiment::experiment_document& d)
                { return experiment::stop(d, command, now); });
        },
        std::move(done));
}

void experiment_service::run_round()
{
    if (!members_.fresh() || !context_.documents->loaded())
    {
        return;
    }
    for (const auto& [id, d] : std::map<std::string, experiment::experiment_document>(documents_))
    {
        const auto* owner = membership::owner_of_experiment(members_.roster(), id);
        if (owner == nullptr || !membership::same_process(*owner, context_.self) ||
            d.state == experiment::experiment_state::ended)
        {
            sampling_states_.erase(id);
            continue;
        }
        run_next_step(d);
        if (d.state == experiment::experiment_state::running)
        {
            take_sample(d);
        }
    }
}

void experiment_service::run_next_step(const experiment::experiment_document& d)
{
    const auto now = context_.scheduler.wall_now();
    const auto next = experiment::next_step(d, fleet_.config(), now);
    if (const auto* config = std::get_if<experiment::write_configuration>(&next))
    {
        const auto* known = context_.documents->find(model::keys::config);
        write(model::keys::config,
            model::encode(config->next),
            known == nullptr ? 0 : known->modified);
    }
    else if (const auto* own = std::get_if<experiment::write_experiment>(&next))
    {
        const auto key = model::keys::experiments + d.id;
        const auto* known = context_.documents->find(key);
        write(key, experiment::encode(own->next), known == nullptr ? 0 : known->modified);
    }
}

void experiment_service::write(
    const std::string& key, const std::string& text, ports::revision expected)
{
    if (!writes_in_flight_.insert(key).second)
    {
        return;
    }
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
            else
            {
                context_.documents->refresh();
            }
        });
}

experiment::pool_sample experiment_service::make_pool_sample(
    const std::string& pool, sampling_state& s) const
{
    experiment::pool_sample out;
    out.pool = pool;
    const auto* view = fleet_.find_pool(pool);
    const auto budget = fleet::budget_of(fleet_.config(), pool);
    if (view == nullptr || !budget)
    {
        return out;
    }
    const auto& d = view->document;
    const auto absent = fleet::count_absences(d);
    out.hosts = static_cast<int>(d.hosts.size());
    out.spare_hosts = count_held_hosts(d);
    out.absent = absent.missing;
    out.absent_budget = budget->absent;
    for (const auto& [zone, n] : absent.by_zone)
    {
        out.zone_at_limit = out.zone_at_limit || n >= budget->absent_per_zone;
        out.zone_over_budget = out.zone_over_budget || n > budget->absent_per_zone;
    }
    auto& previous = s.pools[pool];
    for (const auto& host : d.hosts)
    {
        const auto known = previous.ownership.find(host.id);
        const bool moved = known == previous.ownership.end() || known->second != host.ownership;
        out.host_moves += !previous.ownership.empty() && moved ? 1 : 0;
    }
    previous.ownership.clear();
    for (const auto& host : d.hosts)
    {
        previous.ownership[host.id] = host.ownership;
    }
    int job_moves = 0;
    const auto all = jobs_.all_jobs();
    const auto list = all.find(pool);
    if (list != all.end())
    {
        for (const auto* it : list->second)
        {
            job_moves += it->moves + it->preemptions;
        }
    }
    out.job_moves = std::max(0, job_moves - previous.job_moves);
    previous.job_moves = job_moves;
    return out;
}

void experiment_service::take_sample(const experiment::experiment_document& d)
{
    const auto now = context_.scheduler.now();
    auto& s = sampling_states_[d.id];
    const bool first = s.last == core::mono_time{};
    if (!first && now - s.last < sample_interval)
    {
        return;
    }
    experiment::sample next;
    next.id = context_.self.incarnation + "/" + std::to_string(++s.number);
    next.elapsed = std::chrono::duration_cast<core::millis>(now - s.last);
    s.last = now;
    for (const auto& it : d.pools)
    {
        next.pools.push_back(make_pool_sample(it.pool, s));
    }
    for (const auto& wave : fleet_.waves())
    {
        const auto& w = wave.document;
        const bool ended = w.ended_ms > 0 && s.ended_waves.insert(w.id).second;
        const bool halted =
            w.phase == model::wave_phase::halted && s.halted_waves.insert(w.id).second;
        for (auto& it : next.pools)
        {
            const auto* view = fleet_.find_pool(it.pool);
            const bool touches = view != nullptr &&
                                 std::any_of(view->document.hosts.begin(),
                                     view->document.hosts.end(),
                                     [&](const auto& host) { return fleet::selects(w, host.id); });
            if (touches && ended && !first)
            {
                it.rollouts.push_back(static_cast<double>(w.ended_ms - w.started_ms) / ms_per_hour);
            }
            // A wave halts because of the hosts that failed in it. A pool that the wave only
            // selects hosts of is not counted.
            const bool failed_here =
                view != nullptr && std::any_of(view->document.hosts.begin(),
                                       view->document.hosts.end(),
                                       [&](const auto& host) { return host_failed_in(w, host); });
            it.halted_waves += failed_here && halted && !first ? 1 : 0;
        }
    }
    if (first)
    {
        return; // events before this member owned the experiment belong to no sample
    }
    const auto wall = context_.scheduler.wall_now();
    update_document(
        context_.document_updater(),
        model::keys::experiments + d.id,
        [id = d.id, next, wall](const std::string* current)
        {
            return change_document(current,
                id,
                [&](experiment::experiment_document& it)
                { return experiment::add_sample(it, next, wall); });
        },
        [](const core::result<core::done>&) {});
}

language::table experiment_service::make_table() const
{
    language::table t;
    t.columns = {{"id", language::value_kind::text},
        {"state", language::value_kind::text},
        {"end", language::value_kind::text},
        {"arms", language::value_kind::text},
        {"pools", language::value_kind::integer},
        {"observed", language::value_kind::duration},
        {"duration", language::value_kind::duration}};
    for (const auto& [id, d] : documents_)
    {
        std::string arms;
        for (const auto& it : d.arms)
        {
            arms += (arms.empty() ? "" : ",") + it.name + "=" + it.policy;
        }
        t.rows.push_back({id,
            std::string(core::name_of(experiment::experiment_state_names, d.state)),
            std::string(core::name_of(experiment::end_reason_names, d.reason)),
            arms,
            static_cast<std::int64_t>(d.pools.size()),
            core::millis{d.observed_ms},
            core::millis{d.duration_ms}});
    }
    return t;
}

} // namespace camphorhitch::daemon
