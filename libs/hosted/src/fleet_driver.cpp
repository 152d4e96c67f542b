#include "hosted/fleet_driver.hpp"

#include "cadence.hpp"
#include "coordinator/explain.hpp"
#include "coordinator/intake.hpp"
#include "coordinator/placement.hpp"
#include "finished_job_cleaner.hpp"
#include "forecast_digest.hpp"
#include "forecast_report.hpp"
#include "handover_policy.hpp"
#include "host_reader.hpp"
#include "hosted/keys.hpp"
#include "job_reader.hpp"
#include "load_monitor.hpp"
#include "machine_controller.hpp"
#include "pending_count_logger.hpp"
#include "pending_record.hpp"
#include "progress_writer.hpp"
#include "runner_controller.hpp"
#include "takeover_lease_renewer.hpp"
#include "term.hpp"
#include "wave_controller.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace camphorhitch::hosted
{

struct driver_parts
{
    std::shared_ptr<term> active_term;
    std::unique_ptr<job_reader> jobs;
    std::unique_ptr<host_reader> hosts;
    std::unique_ptr<takeover_lease_renewer> takeover_renewer;
    std::unique_ptr<runner_controller> runners;
    std::unique_ptr<progress_writer> writer;
    std::unique_ptr<machine_controller> machines;
    std::unique_ptr<wave_controller> waves;
    std::unique_ptr<finished_job_cleaner> cleaner;
    std::unique_ptr<load_monitor> monitor;
    std::unique_ptr<pending_count_logger> pending_logger;
    bool plan_scheduled = false;
    bool jobs_loaded = false;
    bool runner_record_loaded = false;
    /// Counts of waiting jobs in the last record; empty if its write failed.
    std::optional<std::map<std::string, int>> last_stored_pending;
    core::mono_time pending_stored_at; ///< when these counts were made
    std::map<std::string, coordinator::forecast_error_counts> reported_forecast_errors;
    int pages_at_last_check = 0; ///< pages of jobs that were read at the last check of progress
    core::mono_time hosts_planned_at; ///< when waves, moves and throttling were last planned

    void schedule_plan();
    void plan();
    void report_capped_steps() const;
    void tick();
    void tick_pending();
    void store_pending();
    void hand_over_if_unread(core::mono_time term_started);
    void read_demand(const std::function<void()>& then);
};

void driver_parts::schedule_plan()
{
    if (!plan_scheduled)
    {
        plan_scheduled = true;
        active_term->ctx.time.after(
            active_term->settings.plan_delay, active_term->guarded([this] { plan(); }));
    }
}

void driver_parts::plan()
{
    plan_scheduled = false;
    auto& t = *active_term;
    if (!jobs_loaded || !runner_record_loaded || !t.lead->holds_lease())
    {
        return;
    }
    const auto started = t.now();
    ++t.load.counts.plans;
    coordinator::task_events out;
    t.expire_hosts(out);
    const auto interval =
        scaled_scan_interval(t.settings, t.settings.host_plan_interval, t.fleet.hosts.size());
    if (started >= hosts_planned_at + interval)
    {
        hosts_planned_at = started;
        coordinator::evacuate_draining_hosts(t.fleet, started, out);
        waves->plan();
        machines->plan(waves->held_machines());
        if (t.settings.throttles_best_effort)
        {
            runners->send_throttles(
                coordinator::plan_throttling(t.fleet, t.settings.throttling, started, out));
        }
    }
    const auto unix_ms = core::to_unix_ms(t.ctx.time.wall_now());
    const auto orders =
        coordinator::make_plan(t.fleet, started, unix_ms, true, out, runners->available_orders());
    t.log(out);
    report_capped_steps();
    if (t.settings.rules.placement.forecasts)
    {
        report_forecasts(t.fleet, reported_forecast_errors, t.ctx.tel);
    }
    machines->report_shares();
    runners->send(orders);
    if (!t.fleet.dirty_jobs.empty())
    {
        writer->request();
    }
    t.ctx.tel.observe(
        "camphorhitch_plan_seconds", {}, std::chrono::duration<double>(t.now() - started).count());
}

/// Counts the plans in which tasks waited for a cap. The series are bounded by the operators' list
/// of workspaces.
void driver_parts::report_capped_steps() const
{
    const auto& t = *active_term;
    for (const auto& [name, w] : t.fleet.workspaces.entries)
    {
        if (w.capped_steps > 0 && !w.settings.name.empty())
        {
            t.ctx.tel.count(
                "camphorhitch_capped_steps_total", {{"workspace", name}}, w.capped_steps);
        }
    }
}

void driver_parts::tick()
{
    active_term->ctx.time.after(
        active_term->settings.plan_interval, active_term->guarded([this] { tick(); }));
    if (!jobs_loaded || !runner_record_loaded)
    {
        return;
    }
    runners->poll_all();
    schedule_plan();
    writer->request_if_due();
}

/// Reads the stored demand, before the jobs are read: their arrivals are added to it.
void driver_parts::read_demand(const std::function<void()>& then)
{
    auto& t = *active_term;
    t.ctx.store.get(demand_key,
        ports::read_freshness::newest,
        t.guarded(
            [this, then](const ports::item_read& read)
            {
                if (read.status != ports::kv_status::ok)
                {
                    active_term->ctx.time.after(active_term->settings.store_retry_delay,
                        active_term->guarded([this, then] { read_demand(then); }));
                    return;
                }
                if (read.item)
                {
                    machines->restore_demand(*read.item);
                }
                then();
            }));
}

void driver_parts::tick_pending()
{
    active_term->ctx.time.after(active_term->settings.pending_record_interval,
        active_term->guarded([this] { tick_pending(); }));
    if (jobs_loaded)
    {
        store_pending();
    }
}

/// A coordinator that cannot read the jobs or the record of runners starts nothing, while its
/// lease, which small calls renew, keeps other nodes from leading: accepted jobs of all queues
/// would wait for ever. Handing over costs the successor's reading; if this is the only node, it
/// leads again and has more time.
void driver_parts::hand_over_if_unread(core::mono_time term_started)
{
    if (jobs_loaded && runner_record_loaded)
    {
        return;
    }
    auto& t = *active_term;
    const bool advances =
        jobs->pages_read() > std::exchange(pages_at_last_check, jobs->pages_read());
    if (reads_in_parts(t.settings.link_mbps) && advances && runner_record_loaded)
    {
        // A successor with the same link would begin anew.
        t.ctx.time.after(max_job_read_time(0),
            t.guarded([this, term_started] { hand_over_if_unread(term_started); }));
        return;
    }
    const auto unread = std::chrono::duration_cast<core::millis>(t.now() - term_started);
    t.ctx.tel.log(ports::log_level::warning,
        "leadership_handed_over",
        {{"reason", "jobs_unread"},
            {"unread_ms", std::to_string(unread.count())},
            {"pages", std::to_string(jobs->pages_read())},
            {"runners_read", runner_record_loaded ? "1" : "0"},
            {"hand_overs", std::to_string(t.lead->recent_handovers())},
            {"token", std::to_string(t.token)}});
    t.lead->hand_over("the jobs could not be read in time");
}

void driver_parts::store_pending()
{
    auto& t = *active_term;
    if (!t.lead->holds_lease())
    {
        return;
    }
    auto basis = pending_logger->current_basis(coordinator::pending_jobs(t.fleet));
    const bool idle = t.fleet.open_jobs.empty() && basis.by_queue == last_stored_pending;
    if (idle && t.now() < pending_stored_at + t.settings.idle_pending_record_interval)
    {
        return; // no job waits and no count has changed
    }
    ports::store_transaction change;
    // A successor's mark among the jobs ends this term only after the loop iteration in which it
    // was read. A record made in between would state as read the jobs that came with the mark and
    // were dropped. The mark and the leader key changed in one write, so this condition keeps such
    // a record from being stored.
    change.conditions = {{leader_key, t.token}};
    change.puts = {{pending_key, write_pending({basis.intake_revision, basis.by_queue}), 0},
        {demand_key, machines->demand_record(), 0}};
    if (t.settings.publishes_forecast)
    {
        change.puts.push_back({forecast_key,
            write_forecast_digest(t.fleet.forecasts, t.fleet.run_time_estimates),
            0});
    }
    t.ctx.store.commit(std::move(change),
        t.guarded(
            [this, basis = std::move(basis)](const ports::commit_result& result)
            {
                const bool ok = result.status == ports::kv_status::ok;
                last_stored_pending = ok ? std::optional{basis.by_queue} : std::nullopt;
                pending_stored_at = basis.counted_at;
                pending_logger->log_write_result(basis, result);
                active_term->lost_leadership(result);
            }));
}

fleet_driver::fleet_driver(
    context c, const formats& text_formats, driver_settings s, leadership& lead)
    : ctx_(std::move(c)), text_formats_(text_formats), settings_(s), lead_(lead)
{
}

fleet_driver::~fleet_driver() = default;

void fleet_driver::begin_term(std::int64_t number, ports::revision token)
{
    parts_ = std::make_unique<driver_parts>();
    auto& p = *parts_;
    p.active_term = std::make_shared<term>();
    auto& t = *p.active_term;
    t.ctx = ctx_;
    t.text_formats = &text_formats_;
    t.settings = settings_;
    t.lead = &lead_;
    t.token = token;
    t.fleet.settings = settings_.rules;
    // After damage of its record, the term number continues from a store revision, which may be far
    // above the number of terms.
    t.fleet.term = std::min(number, coordinator::max_term(settings_.rules));
    t.fleet.term_start_revision = token;
    t.record_own_writes(); // before the parts take the store's port
    if (workspaces_)
    {
        coordinator::set_workspaces(t.fleet, *workspaces_);
    }
    t.request_plan = [&p]
    {
        p.schedule_plan();
    };
    t.request_store_write = [&p]
    {
        p.writer->request();
    };
    t.last_job_answer_at = [&p]
    {
        return p.jobs->last_job_answer_at();
    };
    t.update_runner_record = [&p](const std::string& host)
    {
        p.hosts->update_record(host);
    };
    p.jobs = std::make_unique<job_reader>(t);
    p.pending_logger = std::make_unique<pending_count_logger>(t, *p.jobs);
    p.hosts = std::make_unique<host_reader>(t);
    p.takeover_renewer = std::make_unique<takeover_lease_renewer>(t);
    p.runners = std::make_unique<runner_controller>(t);
    p.writer = std::make_unique<progress_writer>(t);
    p.machines = std::make_unique<machine_controller>(t);
    p.waves = std::make_unique<wave_controller>(t, p.machines->table());
    p.cleaner = std::make_unique<finished_job_cleaner>(t);
    p.monitor = std::make_unique<load_monitor>(
        t, [&p](core::micros late_by) { p.runners->record_loop_delay(late_by); });
    t.on_job_accepted = [&p](const workflow::job& j, core::mono_time at)
    {
        p.machines->record_job(j, at);
        if (p.jobs_loaded)
        {
            p.runners->expect_work(j.pool);
        }
    };
    const auto read_jobs = [&p]
    {
        p.jobs->start(
            [&p]
            {
                p.jobs_loaded = true;
                p.machines->resume();
                p.takeover_renewer->stop();
                p.active_term->log(ports::log_level::info,
                    "jobs_read",
                    {{"jobs", std::to_string(p.active_term->fleet.jobs.size())}});
                p.runners->poll_all();
                p.schedule_plan();
                // Written at once: leaders that follow each other quickly would otherwise store no
                // record at all.
                p.store_pending();
            });
    };
    p.read_demand(read_jobs);
    p.hosts->start(
        [&p]
        {
            p.runner_record_loaded = true;
            p.active_term->log(ports::log_level::info,
                "runners_read",
                {{"prior", std::to_string(p.active_term->fleet.hosts.size())}});
            if (!p.jobs_loaded)
            {
                p.takeover_renewer->start();
            }
        });
    p.machines->set_pools(pools_);
    p.hosts->set_pools(pools_);
    p.machines->start(
        [&p] { p.waves->apply_machine_list(); }, [&p] { return p.waves->has_open_wave(); });
    p.waves->set_waves(waves_);
    t.ctx.time.after(max_job_read_time(lead_.recent_handovers()),
        t.guarded([&p, term_started = t.now()] { p.hand_over_if_unread(term_started); }));
    p.tick();
    p.tick_pending();
    p.cleaner->start();
    p.monitor->start();
}

void fleet_driver::end_term()
{
    parts_.reset();
}

void fleet_driver::set_waves(std::vector<wave_request> all)
{
    waves_ = std::move(all);
    if (parts_ != nullptr)
    {
        parts_->waves->set_waves(waves_);
    }
}

void fleet_driver::set_pools(std::vector<pool_settings> all)
{
    pools_ = std::move(all);
    if (parts_ != nullptr)
    {
        parts_->machines->set_pools(pools_);
        parts_->hosts->set_pools(pools_);
    }
}

/// A node that was paused past its lease still has the old state of its fleet, while a successor
/// may have moved all of it: reported as present, that state would mislead. Callers get the stored
/// state then.
std::vector<std::string> fleet_driver::explain_job(const std::string& id) const
{
    if (parts_ == nullptr || !lead_.holds_lease())
    {
        return {};
    }
    const auto unix_ms = core::to_unix_ms(ctx_.time.wall_now());
    return coordinator::explain_job(parts_->active_term->fleet, id, ctx_.time.now(), unix_ms);
}

void fleet_driver::set_workspaces(std::vector<coordinator::workspace_settings> all)
{
    workspaces_ = std::move(all);
    if (parts_ != nullptr)
    {
        coordinator::set_workspaces(parts_->active_term->fleet, *workspaces_);
        parts_->schedule_plan();
    }
}

bool fleet_driver::is_running() const
{
    return parts_ != nullptr;
}

} // namespace camphorhitch::hosted
