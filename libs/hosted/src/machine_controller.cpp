#include "machine_controller.hpp"

#include "coordinator/arriving_capacity.hpp"
#include "coordinator/intake.hpp"
#include "core_seconds.hpp"
#include "demand_record.hpp"
#include "hosted/keys.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

namespace
{

/// A longer gap between two plans counts as a time without planning. Plans follow each other within
/// a tenth of a second, and within this time on a node that is behind.
constexpr core::millis max_planning_gap{1000};
constexpr core::millis need_metric_interval{500};

void publish_need(
    const ports::telemetry& tel, const std::string& pool, const workflow::resources& need)
{
    constexpr double milli = 1000.0;
    const auto set = [&](const char* resource, double value)
    {
        tel.gauge("camphorhitch_pool_need", {{"pool", pool}, {"resource", resource}}, value);
    };
    set("cores", static_cast<double>(need.cpu) / milli);
    set("memory_mb", static_cast<double>(need.memory_mb));
    set("gpus", static_cast<double>(need.gpus));
}

void publish_hosts(
    const ports::telemetry& tel, const std::string& pool, const coordinator::pool_hosts& hosts)
{
    const std::pair<const char*, int> rows[] = {{"wanted", hosts.wanted},
        {"floor", hosts.floor},
        {"have", hosts.have},
        {"target", hosts.target}};
    for (const auto& [kind, value] : rows)
    {
        tel.gauge("camphorhitch_pool_hosts",
            {{"pool", pool}, {"kind", kind}},
            static_cast<double>(value));
    }
}

} // namespace

machine_controller::machine_controller(term& t) : term_(t), last_planned_at_(t.now())
{
    moves_.settings = t.settings.rebalance;
    demand_.settings = t.settings.demand;
}

/// A node that no longer coordinates reports no need and no use.
machine_controller::~machine_controller()
{
    for (const auto& [pool, need] : moves_.needs)
    {
        publish_need(term_.ctx.tel, pool, {});
    }
    for (const auto& level : coordinator::share_level_names)
    {
        for (const auto& [name, a] :
            term_.fleet.shares.accounts[static_cast<std::size_t>(level.value)])
        {
            publish_share(level.name, name, 0);
        }
    }
    for (const auto& [pool, hosts] : reported_hosts_)
    {
        publish_hosts(term_.ctx.tel, pool, {});
    }
}

void machine_controller::start(std::function<void()> on_list, std::function<bool()> has_open_wave)
{
    on_list_ = std::move(on_list);
    has_open_wave_ = std::move(has_open_wave);
    read_list();
    if (term_.settings.publishes_forecast)
    {
        refused_ = std::make_unique<refused_work_reader>(term_,
            [this](const std::string& pool, double core_seconds)
            { record_refused(pool, core_seconds); });
        refused_->start();
    }
}

void machine_controller::set_pools(const std::vector<pool_settings>& pools)
{
    pools_.clear();
    for (const auto& it : pools)
    {
        pools_.push_back({it.name, it.standby});
    }
    auto& standby = term_.fleet.shares.standby_pools;
    standby.clear();
    for (const auto& it : pools)
    {
        if (it.standby)
        {
            standby.insert(it.name);
        }
    }
}

void machine_controller::record_job(const workflow::job& j, core::mono_time at)
{
    const auto accepted = term_.fleet.jobs.at(j.id)->accepted_revision;
    if (accepted <= inherited_through_)
    {
        return; // the previous coordinator has counted this job
    }
    counted_through_ = std::max(counted_through_, accepted);
    const auto work = batch_core_seconds(term_.fleet.run_time_estimates, j);
    coordinator::record_arrival(demand_, j.pool, work, at);
}

/// Refused work is demand too; otherwise a pool would never get hosts for it.
void machine_controller::record_refused(const std::string& pool, double core_seconds)
{
    coordinator::record_arrival(demand_, pool, core_seconds, term_.now());
}

std::string machine_controller::demand_record() const
{
    return write_demand(demand_,
        term_.fleet.run_time_estimates,
        counted_through_,
        term_.now(),
        core::to_unix_ms(term_.ctx.time.wall_now()),
        coordinator::share_rows(term_.fleet, term_.now()));
}

void machine_controller::restore_demand(const ports::stored_item& record)
{
    inherited_through_ = read_demand(record.value,
        record.modified,
        demand_,
        term_.fleet.run_time_estimates,
        term_.now(),
        core::to_unix_ms(term_.ctx.time.wall_now()));
    counted_through_ = inherited_through_;
    term_.log(ports::log_level::info,
        "demand_read",
        {{"revision", std::to_string(record.modified)},
            {"through", std::to_string(inherited_through_)},
            {"pools", std::to_string(demand_.pools.size())},
            {"images", std::to_string(term_.fleet.run_time_estimates.images.size())}});
    restore_shares(record);
}

/// With a damaged record, all accounts start at zero.
void machine_controller::restore_shares(const ports::stored_item& record)
{
    if (term_.fleet.settings.placement.shares != coordinator::share_rule::work)
    {
        return;
    }
    const auto unix_ms = core::to_unix_ms(term_.ctx.time.wall_now());
    if (const auto read = read_shares(record.value, term_.now(), unix_ms))
    {
        coordinator::restore_shares(term_.fleet, read->rows, read->at);
        return;
    }
    term_.log(ports::log_level::warning,
        "demand_damaged",
        {{"key", demand_key}, {"revision", std::to_string(record.modified)}});
}

/// The series are bounded by the operators' lists of workspaces and queues, and by the zones.
void machine_controller::report_shares() const
{
    const auto now = term_.now();
    for (const auto& level : coordinator::share_level_names)
    {
        for (const auto& [name, used] : coordinator::share_ratios(term_.fleet, level.value, now))
        {
            publish_share(level.name, name, used);
        }
    }
}

void machine_controller::publish_share(
    std::string_view level, const std::string& name, double used) const
{
    term_.ctx.tel.gauge(
        "camphorhitch_share_used", {{"level", std::string{level}}, {"name", name}}, used);
}

void machine_controller::read_list()
{
    const auto sent_at = term_.now();
    term_.ctx.machines.list(term_.guarded(
        [this, sent_at](const ports::machine_list& list) { handle_list(sent_at, list); }));
}

void machine_controller::handle_list(core::mono_time sent_at, const ports::machine_list& list)
{
    if (list.known)
    {
        table_.known = true;
        table_.requested_at = sent_at;
        table_.machines.clear();
        for (const auto& it : list.machines)
        {
            table_.machines[it.id] = it;
        }
        coordinator::task_events out;
        coordinator::apply_machine_list(
            term_.fleet, table_, term_.settings.waves.list_lag, term_.now(), out);
        term_.log(out);
        coordinator::forget_busy_machines(moves_, table_);
        coordinator::remove_completed_moves(moves_, table_, term_.settings.waves.list_lag);
        on_list_();
        term_.request_plan();
    }
    schedule_read(sent_at);
}

/// Checks at machine_list_interval whether a read is due, since needs_frequent_reads() may change
/// at any time.
void machine_controller::schedule_read(core::mono_time last)
{
    term_.ctx.time.after(term_.settings.machine_list_interval,
        term_.guarded(
            [this, last]
            {
                const bool due = term_.now() - last >= term_.settings.idle_machine_list_interval;
                if (due || needs_frequent_reads())
                {
                    read_list();
                }
                else
                {
                    schedule_read(last);
                }
            }));
}

bool machine_controller::needs_frequent_reads() const
{
    return has_open_wave_() || !moves_.moves.empty() ||
           coordinator::needs_machine_list(term_.fleet) || !term_.fleet.uncertain_losses.empty() ||
           !coordinator::find_unseen_run_pools(term_.fleet, term_.now()).pools.empty();
}

void machine_controller::resume()
{
    coordinator::resume_demand(demand_, term_.now());
    coordinator::reset_surplus_timers(moves_, term_.now());
}

/// A coordinator that cannot reach the store plans nothing, however long that takes; its next plan
/// then follows after a gap.
void machine_controller::record_plan()
{
    const auto now = term_.now();
    if (now - last_planned_at_ > max_planning_gap)
    {
        resume();
    }
    last_planned_at_ = now;
}

void machine_controller::publish_needs()
{
    if (term_.now() - needs_published_at_ < need_metric_interval)
    {
        return;
    }
    needs_published_at_ = term_.now();
    for (const auto& [pool, need] : moves_.needs)
    {
        publish_need(term_.ctx.tel, pool, need.total);
    }
}

/// Reports the pools whose hosts have changed, and 0 for those that are configured no longer.
void machine_controller::report_hosts()
{
    for (auto& [pool, hosts] : reported_hosts_)
    {
        if (!moves_.hosts.contains(pool))
        {
            hosts = {};
            publish_hosts(term_.ctx.tel, pool, hosts);
        }
    }
    for (const auto& [pool, hosts] : moves_.hosts)
    {
        const auto [it, added] = reported_hosts_.try_emplace(pool, hosts);
        if (added || it->second != hosts)
        {
            it->second = hosts;
            publish_hosts(term_.ctx.tel, pool, hosts);
        }
    }
}

void machine_controller::plan(const std::set<std::string>& held_machines)
{
    record_plan();
    coordinator::task_events out;
    coordinator::update_demand(demand_, term_.now());
    if (!term_.settings.moves_machines)
    {
        return;
    }
    const auto orders = coordinator::plan_moves(
        term_.fleet, moves_, demand_, table_, pools_, held_machines, term_.now(), out);
    term_.fleet.arriving_capacity =
        coordinator::arriving_capacity(term_.fleet, moves_, demand_.settings);
    publish_needs();
    report_hosts();
    table_.pools_without_spare = coordinator::pools_without_spare(moves_);
    table_.moving.clear();
    for (const auto& [machine, move] : moves_.moves)
    {
        table_.moving.insert(machine);
    }
    term_.log(out);
    for (const auto& it : orders)
    {
        send_move(it);
    }
}

void machine_controller::send_move(const coordinator::move_action& a)
{
    if (!term_.lead->holds_lease())
    {
        // The order is not sent; the move is ordered again once a renewal of the lease is answered.
        coordinator::task_events out;
        coordinator::handle_move_answer(term_.fleet,
            moves_,
            table_,
            a.machine,
            ports::machine_verdict::unknown,
            term_.now(),
            out);
        term_.log(out);
        return;
    }
    term_.ctx.machines.move(a.machine,
        a.pool,
        term_.token,
        term_.guarded(
            [this, a](ports::machine_verdict verdict)
            {
                term_.log(ports::log_level::info,
                    "move_ordered",
                    {{"machine", a.machine},
                        {"to", a.pool},
                        {"answer",
                            std::string{core::name_of(ports::machine_verdict_names, verdict)}}});
                coordinator::task_events out;
                coordinator::handle_move_answer(
                    term_.fleet, moves_, table_, a.machine, verdict, term_.now(), out);
                term_.log(out);
                if (verdict == ports::machine_verdict::fenced)
                {
                    term_.step_down_fenced("the machines' service");
                }
                term_.request_plan();
            }));
}

} // namespace camphorhitch::hosted
