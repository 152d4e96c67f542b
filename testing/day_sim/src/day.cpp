#include "day_sim/day.hpp"

#include "coordinator/answers.hpp"
#include "coordinator/arriving_capacity.hpp"
#include "coordinator/intake.hpp"
#include "coordinator/placement.hpp"
#include "workflow/records.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <map>
#include <random>
#include <vector>

namespace camphorhitch::day_sim
{

namespace
{

using namespace std::chrono_literals;

constexpr core::millis tick{10};
constexpr core::millis plan_hosts_interval{40};
constexpr core::millis list_hosts_interval{100};
constexpr core::millis poll_interval{500};
constexpr core::millis list_machines_interval{500};
constexpr std::int64_t host_cpu = 32000;
constexpr std::int64_t host_memory = 131072;
constexpr std::int64_t day_start_unix_ms = 1'700'000'000'000;
constexpr std::int64_t small_task_memory_mb = 1024;
constexpr int tasks_per_step = 8;
constexpr int steps_per_job = 2;
constexpr const char* standby = "standby";

/// A machine and the present incarnation of its runner.
struct sim_machine
{
    std::string id;
    std::string pool;
    std::string runner;
    core::mono_time up_at;     ///< time at which the runner starts
    core::mono_time listed_at; ///< time from which the host list shows the runner
    core::mono_time polled_at;
    /// Run number and end time of each running task, by task name.
    std::map<std::string, std::pair<std::int64_t, core::mono_time>> runs;
    std::int64_t last_end = 0;
};

struct arriving_job
{
    core::mono_time at;
    workflow::job spec;
};

class day_simulation
{
public:
    day_simulation(const day_shape& shape, const day_policy& policy, std::uint64_t seed)
        : shape_(shape), policy_(policy), random_(seed)
    {
        fleet_.settings.placement = policy.placement;
        demand_.settings = policy.demand;
        moves_.settings = policy.rebalance;
        make_pools();
        make_machines();
        make_arrivals();
        make_crashes();
    }

    day_result run()
    {
        const auto end = begin_ + shape_.length + shape_.drain_time;
        for (; now_ < end; now_ += tick)
        {
            apply_due_crashes();
            submit_due_jobs();
            list_hosts();
            poll_hosts();
            plan_hosts();
            plan_tasks();
            count_host_seconds();
        }
        result_.unfinished = result_.jobs - result_.in_time - result_.late;
        return result_;
    }

private:
    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }

    std::int64_t unix_ms() const
    {
        return day_start_unix_ms + std::chrono::duration_cast<core::millis>(now_ - begin_).count();
    }

    /// \return the clock of all runners in ms.
    std::int64_t clock_ms() const
    {
        return std::chrono::duration_cast<core::millis>(now_.time_since_epoch()).count();
    }

    void make_pools()
    {
        for (int i = 0; i < shape_.pools; ++i)
        {
            pools_.push_back({"p" + std::to_string(i), false});
        }
        pools_.push_back({standby, true});
    }

    void make_machines()
    {
        for (int i = 0; i < shape_.hosts; ++i)
        {
            sim_machine m;
            m.id = "m" + std::to_string(i);
            m.pool = pools_[static_cast<std::size_t>(i % shape_.pools)].name;
            start_incarnation(m, now_);
            machines_.push_back(std::move(m));
        }
    }

    void start_incarnation(sim_machine& m, core::mono_time at)
    {
        m.runner = "r" + std::to_string(++last_incarnation_);
        m.up_at = at;
        m.listed_at = at + shape_.list_lag;
        m.polled_at = {};
        m.runs.clear();
        m.last_end = 0;
    }

    double cores_at(int pool, core::mono_time at) const
    {
        const auto period = (at - begin_) / core::micros{shape_.busy_period};
        return period % shape_.pools == pool ? shape_.busy_cores : shape_.quiet_cores;
    }

    void make_arrivals()
    {
        for (int p = 0; p < shape_.pools; ++p)
        {
            for (auto at = begin_; at < begin_ + shape_.length;)
            {
                const double rate = cores_at(p, at) / shape_.job_core_seconds; // jobs per second
                const auto gap = std::exponential_distribution<double>(rate)(random_);
                at += core::micros{static_cast<std::int64_t>(gap * 1e6)};
                arrivals_.push_back({at, make_job(p)});
            }
        }
        std::sort(arrivals_.begin(),
            arrivals_.end(),
            [](const auto& a, const auto& b) { return a.at < b.at; });
    }

    /// \return the memory of each task of the next job, in megabytes.
    std::int64_t next_task_memory()
    {
        const bool large =
            shape_.large_memory_share > 0 && uniform(0, 1) < shape_.large_memory_share;
        return large ? shape_.large_task_memory_mb : small_task_memory_mb;
    }

    workflow::job make_job(int pool)
    {
        workflow::job j;
        j.queue = pools_[static_cast<std::size_t>(pool)].name;
        j.pool = j.queue;
        j.max_attempts = 3;
        j.stretch = 1.6;
        j.slack = core::millis{600};
        const double seconds = std::chrono::duration<double>(shape_.task_time).count();
        const double real = seconds * (1 + shape_.time_factor) / 2;
        const double cores =
            shape_.job_core_seconds / (steps_per_job * tasks_per_step * real) * uniform(0.5, 1.5);
        const auto memory = next_task_memory();
        for (int i = 0; i < steps_per_job; ++i)
        {
            workflow::step s;
            s.tasks = tasks_per_step;
            s.need = {static_cast<std::int64_t>(cores * 1000), memory, 0};
            s.estimated_run_time = shape_.task_time;
            s.image = j.pool + "-" + std::to_string(random_() % 3);
            if (i > 0)
            {
                s.depends_on = {i - 1};
            }
            j.steps.push_back(s);
        }
        return j;
    }

    /// \return the real run time of a step's tasks; all tasks of an image have the same factor.
    core::millis real_run_time(const workflow::step& s)
    {
        const auto found = factors_.find(s.image);
        const double factor =
            found != factors_.end()
                ? found->second
                : factors_.emplace(s.image, uniform(1, shape_.time_factor)).first->second;
        return core::millis{
            static_cast<std::int64_t>(static_cast<double>(s.estimated_run_time.count()) * factor)};
    }

    core::millis time_objective(const workflow::job& j)
    {
        auto steps = j.steps;
        for (auto& it : steps)
        {
            it.estimated_run_time = real_run_time(it);
        }
        const auto chain = static_cast<double>(workflow::critical_path(steps).count());
        return core::millis{static_cast<std::int64_t>(chain * j.stretch)} + j.slack;
    }

    void make_crashes()
    {
        const int n = static_cast<int>(
            std::poisson_distribution<int>(std::max(shape_.crashes_per_day, 1e-9))(random_));
        for (int i = 0; i < n; ++i)
        {
            const auto ms = uniform(0, static_cast<double>(shape_.length.count()));
            crashes_.push_back(begin_ + core::millis{static_cast<std::int64_t>(ms)});
        }
        std::sort(crashes_.begin(), crashes_.end());
    }

    void apply_due_crashes()
    {
        while (!crashes_.empty() && crashes_.front() <= now_)
        {
            crashes_.erase(crashes_.begin());
            auto& m = machines_[random_() % machines_.size()];
            coordinator::end_host(
                fleet_, m.runner, coordinator::termination_evidence::other_life, now_, events_);
            start_incarnation(m, now_ + 2s);
        }
    }

    void submit_due_jobs()
    {
        while (next_ < arrivals_.size() && arrivals_[next_].at <= now_)
        {
            auto& it = arrivals_[next_++];
            it.spec.id = "j" + std::to_string(next_);
            it.spec.accepted_unix_ms = unix_ms();
            due_[it.spec.id] = now_ + time_objective(it.spec);
            double work = 0;
            for (const auto& s : it.spec.steps)
            {
                const auto time = coordinator::expected_run_time(fleet_.run_time_estimates, s);
                work += static_cast<double>(s.need.cpu * s.tasks) / 1000 *
                        std::chrono::duration<double>(time).count();
            }
            coordinator::record_arrival(demand_, it.spec.pool, work, now_);
            coordinator::add_job(fleet_, std::move(it.spec), 1, {}, 0);
            ++result_.jobs;
        }
    }

    void list_hosts()
    {
        if (now_ - hosts_listed_ < list_hosts_interval)
        {
            return;
        }
        hosts_listed_ = now_;
        std::vector<coordinator::host_listing> all;
        for (const auto& m : machines_)
        {
            if (m.listed_at > now_ || m.pool == standby)
            {
                continue;
            }
            coordinator::host_listing h;
            h.ref = {m.runner, m.id, {}};
            h.pool = m.pool;
            h.capacity = {host_cpu, host_memory, 0};
            all.push_back(std::move(h));
        }
        coordinator::apply_host_list(fleet_, all, now_, events_);
    }

    void poll_hosts()
    {
        for (auto& m : machines_)
        {
            const auto h = fleet_.hosts.find(m.runner);
            if (h == fleet_.hosts.end())
            {
                continue;
            }
            const bool ends = std::any_of(m.runs.begin(),
                m.runs.end(),
                [&](const auto& it) { return it.second.second + shape_.poll_lag <= now_; });
            if (ends || now_ - m.polled_at >= poll_interval)
            {
                poll(m);
            }
        }
    }

    void poll(sim_machine& m)
    {
        m.polled_at = now_;
        ports::poll_answer a;
        a.call = {ports::runner_verdict::done, clock_ms()};
        for (auto it = m.runs.begin(); it != m.runs.end();)
        {
            if (it->second.second <= now_)
            {
                a.ended.push_back(
                    {++m.last_end, it->first, it->second.first, ports::run_end::done, ""});
                it = m.runs.erase(it);
                continue;
            }
            a.running.push_back({it->first, it->second.first, "", 0, 0});
            ++it;
        }
        coordinator::handle_poll_answer(fleet_, m.runner, now_, a, now_, events_);
        auto& h = fleet_.hosts.at(m.runner);
        h.recorded = true;
        h.last_stored_end = h.last_applied_end;
        count_finished();
    }

    void count_finished()
    {
        for (const auto& id : std::exchange(fleet_.dirty_jobs, {}))
        {
            auto& j = *fleet_.jobs.at(id);
            j.dirty = false;
            j.losses_stored = j.losses_recorded;
            if (j.state == workflow::job_state::completed)
            {
                ++(now_ <= due_.at(id) ? result_.in_time : result_.late);
            }
        }
    }

    void plan_hosts()
    {
        if (!policy_.moves || now_ - hosts_planned_ < plan_hosts_interval)
        {
            return;
        }
        hosts_planned_ = now_;
        list_machines();
        coordinator::update_demand(demand_, now_);
        const auto orders =
            coordinator::plan_moves(fleet_, moves_, demand_, table_, pools_, {}, now_, events_);
        for (const auto& it : orders)
        {
            move(it);
        }
        fleet_.arriving_capacity = coordinator::arriving_capacity(fleet_, moves_, demand_.settings);
    }

    void list_machines()
    {
        if (table_.known && now_ - table_.requested_at < list_machines_interval)
        {
            return;
        }
        table_.known = true;
        table_.requested_at = now_;
        table_.machines.clear();
        for (const auto& m : machines_)
        {
            const bool up = m.up_at <= now_;
            table_.machines[m.id] = {m.id,
                m.pool,
                "",
                m.runner,
                up ? ports::machine_state::up : ports::machine_state::moving};
        }
        coordinator::remove_completed_moves(moves_, table_, core::millis{0});
    }

    void move(const coordinator::move_action& a)
    {
        ++result_.moves;
        const auto m = std::find_if(
            machines_.begin(), machines_.end(), [&](const auto& it) { return it.id == a.machine; });
        coordinator::handle_move_answer(
            fleet_, moves_, table_, a.machine, ports::machine_verdict::done, now_, events_);
        m->pool = a.pool;
        start_incarnation(*m, now_ + shape_.move_time);
    }

    void plan_tasks()
    {
        const auto started = std::clock();
        const auto plan = coordinator::make_plan(fleet_, now_, unix_ms(), true, events_);
        const double ms = 1000.0 * static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
        result_.max_plan_ms = std::max(result_.max_plan_ms, ms);
        events_.clear();
        for (const auto& it : plan.starts)
        {
            start(it);
        }
    }

    void start(const coordinator::start_action& a)
    {
        const auto m = std::find_if(machines_.begin(),
            machines_.end(),
            [&](const auto& it) { return it.runner == a.host.id; });
        coordinator::handle_start_answer(fleet_,
            a.host.id,
            a.task,
            a.run,
            {ports::runner_verdict::done, clock_ms()},
            now_,
            events_);
        const auto& s =
            fleet_.jobs.at(a.task.job)->spec.steps[static_cast<std::size_t>(a.task.step)];
        m->runs[workflow::write_task_name(a.task)] = {a.run, now_ + real_run_time(s)};
    }

    void count_host_seconds()
    {
        const double seconds = std::chrono::duration<double>(tick).count();
        for (const auto& m : machines_)
        {
            result_.host_seconds += m.pool != standby ? seconds : 0;
        }
    }

    day_shape shape_;
    day_policy policy_;
    std::mt19937_64 random_;
    const core::mono_time begin_{1000s};
    core::mono_time now_ = begin_;
    core::mono_time hosts_planned_;
    core::mono_time hosts_listed_;
    coordinator::fleet fleet_;
    coordinator::demand demand_;
    coordinator::rebalancer moves_;
    coordinator::machine_table table_;
    coordinator::task_events events_;
    std::vector<coordinator::pool_info> pools_;
    std::vector<sim_machine> machines_;
    std::vector<arriving_job> arrivals_;
    std::size_t next_ = 0;
    std::vector<core::mono_time> crashes_;
    std::map<std::string, core::mono_time> due_;
    std::map<std::string, double> factors_;
    int last_incarnation_ = 0;
    day_result result_;
};

} // namespace

day_result simulate_day(const day_shape& shape, const day_policy& policy, std::uint64_t seed)
{
    return day_simulation(shape, policy, seed).run();
}

} // namespace camphorhitch::day_sim
