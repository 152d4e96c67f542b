#include "hosted/fleet_driver.hpp"

#include "cadence.hpp"
#include "coordinator/explain.hpp"
#include "coordinator/intake.hpp"
#include "coordinator/placement.hpp"
#include "finished_job_cleaner.hpp"
#include "handover_policy.hpp"
#include "host_reader.hpp"
#include "hosted/keys.hpp"
#include "job_reader.hpp"
#include "lease_bridge.hpp"
#include "load_watch.hpp"
#include "machine_desk.hpp"
#include "pending_count_logger.hpp"
#include "pending_record.hpp"
#include "progress_writer.hpp"
#include "runner_desk.hpp"
#include "term.hpp"
#include "wave_runner.hpp"

#include <map>
#include <optional>
#include <utility>

namespace camphorhitch::hosted
{

struct driver_parts
{
    std::shared_ptr<term> common;
    std::unique_ptr<job_reader> jobs;
    std::unique_ptr<host_reader> hosts;
    std::unique_ptr<lease_bridge> bridge;
    std::unique_ptr<runner_desk> desk;
    std::unique_ptr<progress_writer> writer;
    std::unique_ptr<machine_desk> machines;
    std::unique_ptr<wave_runner> waves;
    std::unique_ptr<finished_job_cleaner> tidy;
    std::unique_ptr<load_watch> watch;
    std::unique_ptr<pending_count_logger> pending;
    bool plan_is_due = false;
    bool jobs_are_in = false;
    bool record_is_in = false;
    std::optional<std::map<std::string, int>> pending_stored; ///< of the newest record, if it is
    core::mono_time pending_at;                               ///< when that record was made
    core::mono_time hosts_planned_at;                         ///< latest look at waves and moves

    void plan_soon();
    void plan();
    void tick();
    void tick_pending();
    void store_pending();
    void judge_reading(core::mono_time began);
    void read_demand(const std::function<void()>& then);
};

void driver_parts::plan_soon()
{
    if (!plan_is_due)
    {
        plan_is_due = true;
        common->ctx.time.after(common->settings.plan_delay, common->guarded([this] { plan(); }));
    }
}

void driver_parts::plan()
{
    plan_is_due = false;
    auto& t = *common;
    if (!jobs_are_in || !record_is_in || !t.lead->holds_lease())
    {
        return;
    }
    const auto begun = t.now();
    ++t.load.counts.plans;
    coordinator::task_events out;
    t.lapse_hosts(out);
    const auto pause = look_every(t.settings, t.settings.hosts_plan_every, t.fleet.hosts.size());
    if (begun >= hosts_planned_at + pause)
    {
        hosts_planned_at = begun;
        coordinator::empty_draining_hosts(t.fleet, begun, out);
        waves->plan();
        machines->plan(waves->held());
        if (t.settings.sends_paces)
        {
            desk->send_paces(coordinator::plan_paces(t.fleet, t.settings.paces, begun, out));
        }
    }
    const auto unix_ms = core::to_unix_ms(t.ctx.time.wall_now());
    const auto orders = coordinator::make_plan(t.fleet, begun, unix_ms, true, out, desk->room());
    t.log(out);
    desk->send(orders);
    if (!t.fleet.dirty_jobs.empty())
    {
        writer->request();
    }
    t.ctx.tel.observe(
        "camphorhitch_plan_seconds", {}, std::chrono::duration<double>(t.now() - begun).count());
}

void driver_parts::tick()
{
    common->ctx.time.after(common->settings.plan_every, common->guarded([this] { tick(); }));
    if (!jobs_are_in || !record_is_in)
    {
        return;
    }
    desk->poll_all();
    plan_soon();
    writer->request_if_due();
}

/// Before the jobs: their arrivals add to it.
void driver_parts::read_demand(const std::function<void()>& then)
{
    auto& t = *common;
    t.ctx.store.get(demand_key,
        ports::read_freshness::newest,
        t.guarded(
            [this, then](const ports::item_read& read)
            {
                if (read.status != ports::kv_status::ok)
                {
                    common->ctx.time.after(common->settings.store_retry,
                        common->guarded([this, then] { read_demand(then); }));
                    return;
                }
                if (read.item)
                {
                    machines->set_demand(*read.item);
                }
                then();
            }));
}

void driver_parts::tick_pending()
{
    common->ctx.time.after(
        common->settings.pending_every, common->guarded([this] { tick_pending(); }));
    if (jobs_are_in)
    {
        store_pending();
    }
}

/// An owner that can't read what it needs starts nothing, while its lease, renewed by small calls,
/// keeps others out: accepted jobs of all queues wait for ever. One that hands over costs a
/// successor's reading; if it is the only node, it leads again, with more time.
void driver_parts::judge_reading(core::mono_time began)
{
    if (jobs_are_in && record_is_in)
    {
        return;
    }
    auto& t = *common;
    const auto unread = std::chrono::duration_cast<core::millis>(t.now() - began);
    t.ctx.tel.log(ports::log_level::warning,
        "leadership_handed_over",
        {{"reason", "jobs_unread"},
            {"unread_ms", std::to_string(unread.count())},
            {"pages", std::to_string(jobs->pages_read())},
            {"runners_read", record_is_in ? "1" : "0"},
            {"hand_overs", std::to_string(t.lead->recent_handovers())},
            {"token", std::to_string(t.token)}});
    t.lead->hand_over("the jobs could not be read in time");
}

void driver_parts::store_pending()
{
    auto& t = *common;
    if (!t.lead->holds_lease())
    {
        return;
    }
    auto basis = pending->current_basis(coordinator::pending_jobs(t.fleet));
    const bool idle = t.fleet.open_jobs.empty() && basis.by_queue == pending_stored;
    if (idle && t.now() < pending_at + t.settings.pending_idle)
    {
        return; // nothing waits and nothing is learnt
    }
    ports::store_transaction change;
    // A successor's mark among the jobs ends this term only after the turn in which it was read: a
    // record made in between would count as known the jobs that came with it and were dropped. The
    // mark and the key changed in one write, so with this condition such a record is never stored.
    change.conditions = {{leader_key, t.token}};
    change.puts = {{pending_key, write_pending({basis.intake_revision, basis.by_queue}), 0},
        {demand_key, machines->demand_record(), 0}};
    t.ctx.store.commit(std::move(change),
        t.guarded(
            [this, basis = std::move(basis)](const ports::commit_result& result)
            {
                const bool ok = result.status == ports::kv_status::ok;
                pending_stored = ok ? std::optional{basis.by_queue} : std::nullopt;
                pending_at = basis.counted_at;
                pending->log_write_result(basis, result);
                common->lost_key(result);
            }));
}

fleet_driver::fleet_driver(context c, const formats& spelling, driver_settings s, leadership& lead)
    : ctx_(std::move(c)), spelling_(spelling), settings_(s), lead_(lead)
{
}

fleet_driver::~fleet_driver() = default;

void fleet_driver::begin(std::int64_t number, ports::revision token)
{
    parts_ = std::make_unique<driver_parts>();
    auto& p = *parts_;
    p.common = std::make_shared<term>();
    auto& t = *p.common;
    t.ctx = ctx_;
    t.spelling = &spelling_;
    t.settings = settings_;
    t.lead = &lead_;
    t.token = token;
    t.fleet.settings = settings_.rules;
    t.fleet.term = number;
    t.fleet.term_start_revision = token;
    t.wake = [&p]
    {
        p.plan_soon();
    };
    t.store_soon = [&p]
    {
        p.writer->request();
    };
    t.jobs_heard = [&p]
    {
        return p.jobs->last_job_answer_at();
    };
    t.record_hosts = [&p]
    {
        p.hosts->record();
    };
    p.jobs = std::make_unique<job_reader>(t);
    p.pending = std::make_unique<pending_count_logger>(t, *p.jobs);
    p.hosts = std::make_unique<host_reader>(t);
    p.bridge = std::make_unique<lease_bridge>(t);
    p.desk = std::make_unique<runner_desk>(t);
    p.writer = std::make_unique<progress_writer>(t);
    p.machines = std::make_unique<machine_desk>(t);
    p.waves = std::make_unique<wave_runner>(t, p.machines->table());
    p.tidy = std::make_unique<finished_job_cleaner>(t);
    p.watch =
        std::make_unique<load_watch>(t, [&p](core::micros late_by) { p.desk->see_delay(late_by); });
    t.on_job = [&p](const workflow::job& j, core::mono_time at)
    {
        p.machines->note_job(j, at);
        if (p.jobs_are_in)
        {
            p.desk->expect_work(j.pool);
        }
    };
    const auto read_jobs = [&p]
    {
        p.jobs->start(
            [&p]
            {
                p.jobs_are_in = true;
                p.machines->resume();
                p.bridge->stop();
                p.common->log(ports::log_level::info,
                    "jobs_read",
                    {{"jobs", std::to_string(p.common->fleet.jobs.size())}});
                p.desk->poll_all();
                p.plan_soon();
                // At once: leaders that follow each other fast would else leave none behind.
                p.store_pending();
            });
    };
    p.read_demand(read_jobs);
    p.hosts->start(
        [&p]
        {
            p.record_is_in = true;
            p.common->log(ports::log_level::info,
                "runners_read",
                {{"prior", std::to_string(p.common->fleet.hosts.size())}});
            if (!p.jobs_are_in)
            {
                p.bridge->start();
            }
        });
    p.machines->set_pools(pools_);
    p.hosts->set_pools(pools_);
    p.machines->start([&p] { p.waves->see_machines(); }, [&p] { return p.waves->has_open_wave(); });
    p.waves->set_waves(waves_);
    t.ctx.time.after(max_job_read_time(lead_.recent_handovers()),
        t.guarded([&p, began = t.now()] { p.judge_reading(began); }));
    p.tick();
    p.tick_pending();
    p.tidy->start();
    p.watch->start();
}

void fleet_driver::end()
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

/// Past its lease, a node that stood still or was suspended has its fleet as it was, while a
/// successor may have moved all of it: told as the present, it would mislead. The store tells then.
std::vector<std::string> fleet_driver::explain_job(const std::string& id) const
{
    if (parts_ == nullptr || !lead_.holds_lease())
    {
        return {};
    }
    const auto unix_ms = core::to_unix_ms(ctx_.time.wall_now());
    return coordinator::explain_job(parts_->common->fleet, id, ctx_.time.now(), unix_ms);
}

bool fleet_driver::is_running() const
{
    return parts_ != nullptr;
}

} // namespace camphorhitch::hosted
