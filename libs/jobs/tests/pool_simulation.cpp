#include "pool_simulation.hpp"

#include <stdexcept>

namespace camphorhitch::jobs_test
{

namespace
{

constexpr int hosts = 4;
constexpr core::millis step_time{500};

void expect(bool holds, const std::string& text)
{
    if (!holds)
    {
        throw std::runtime_error(text);
    }
}

/// Some jobs fail on every worker, some use far more or less than declared.
job_fakes::real_task actual_behaviour(const ports::task_order& it)
{
    const std::uint32_t n =
        static_cast<std::uint32_t>(std::hash<std::string>{}(jobs::job_id_of_task(it.task)));
    const double factor = 0.3 + 0.3 * (n % 10);
    return {{it.processors * factor, it.memory_gb * 0.5, it.accelerators},
        core::millis{static_cast<std::int64_t>(static_cast<double>(it.run_time.count()) * factor)},
        core::millis{200 + n % 1000},
        n % 11 == 0};
}

jobs::submission any_submission(int number, std::uint32_t random)
{
    jobs::submission s = make_submission("j" + std::to_string(number),
        1 + random % 6,
        static_cast<jobs::job_class>(random / 7 % 4),
        random / 31 % 3 != 0);
    s.team = random / 101 % 2 == 0 ? "lens" : "trips";
    s.kind = "k" + std::to_string(random / 211 % 3);
    s.run_time = core::millis{1000 * (1 + random / 401 % 60)};
    return s;
}

} // namespace

pool_simulation::pool_simulation() : environment_(make_environment(hosts))
{
    environment_.rules.measurement_trust_delay =
        core::millis{1'000'000'000}; // so that the reserved sizes are counted
    environment_.teams = {{"lens", 12, 1000, 0}, {"trips", 14, 1000, 0}};
    environment_.platform.behaviour = actual_behaviour;
    environment_.kv.next_fault = [this]
    {
        if (write_faults_left_ <= 0)
        {
            return job_fakes::write_fault::none;
        }
        write_faults_left_ -= 1;
        write_fault_seed_ = write_fault_seed_ * 1664525 + 1013904223;
        return static_cast<job_fakes::write_fault>(write_fault_seed_ / 65536 % 4);
    };
    environment_.command_lost = [this](const jobs::command_tasks&)
    {
        return lost_commands_left_-- > 0;
    };
    environment_.order_fault = [this](const ports::task_order& it)
    {
        return send_order(it);
    };
    owners_.push_back(job_fakes::make_member("quotes", epoch_, "e1", environment_.now));
    owners_.back().jobs.predecessor_stopped_at = environment_.now;
}

ports::platform_status pool_simulation::send_order(const ports::task_order& it)
{
    if (order_faults_left_ <= 0)
    {
        return job_fakes::start(environment_.platform, it, environment_.now);
    }
    order_faults_left_ -= 1;
    order_fault_seed_ = order_fault_seed_ * 1664525 + 1013904223;
    switch (order_fault_seed_ / 65536 % 3)
    {
    case 0: // the answer is lost
        job_fakes::start(environment_.platform, it, environment_.now);
        return ports::platform_status::unknown;
    case 1: // the order is lost
        return ports::platform_status::unknown;
    default:
        return ports::platform_status::refused;
    }
}

job_fakes::worker& pool_simulation::random_worker(std::uint32_t random)
{
    return environment_.platform.all.at("w" + std::to_string(random % hosts));
}

void pool_simulation::run_member(job_fakes::member& m)
{
    job_fakes::read_changes(m, environment_);
    if (environment_.now - m.polled >= poll_interval)
    {
        job_fakes::poll(m, environment_);
    }
    job_fakes::step(m, environment_);
}

void pool_simulation::advance_time(core::millis time)
{
    const core::mono_time until = environment_.now + time;
    while (environment_.now < until)
    {
        environment_.now += step_time;
        job_fakes::advance(environment_.platform, environment_.now, step_time);
        run_member(owners_.back());
        // Some late writes take effect between two rounds.
        const auto n =
            static_cast<std::size_t>(environment_.now.time_since_epoch().count() / 500000);
        if (!environment_.kv.late.empty() && n % 3 == 0)
        {
            job_fakes::deliver_late_write(environment_.kv, n % environment_.kv.late.size());
        }
    }
}

void pool_simulation::submit_some(std::uint32_t random)
{
    std::vector<jobs::submission> all;
    for (std::uint32_t i = 0; i <= random % 6; ++i)
    {
        random = random * 1664525 + 1013904223;
        all.push_back(any_submission(++submitted_, random / 256));
    }
    const auto outcomes = job_fakes::submit(environment_, all);
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        if (outcomes[i] && std::holds_alternative<jobs::accepted>(*outcomes[i]))
        {
            accepted_[all[i].id] = all[i];
        }
    }
}

void pool_simulation::cancel_some(std::uint32_t random)
{
    std::vector<std::string> ids;
    for (std::uint32_t i = 0; i < 1 + random % 40 && submitted_ > 0; ++i)
    {
        random = random * 1664525 + 1013904223;
        ids.push_back(
            "j" + std::to_string(1 + random / 256 % static_cast<std::uint32_t>(submitted_)));
    }
    job_fakes::cancel(environment_, ids);
}

void pool_simulation::apply(const event& e)
{
    const std::uint32_t n = e.random;
    switch (e.kind)
    {
    case event_kind::pass_time:
        advance_time(step_time * (1 + n % 60));
        break;
    case event_kind::take_over:
        epoch_ += 1;
        write_faults_left_ = static_cast<int>(n % 64); // the tokens are stored at different times
        write_fault_seed_ = n;
        owners_.push_back(job_fakes::make_member(
            "quotes", epoch_, "e" + std::to_string(epoch_), environment_.now));
        break;
    case event_kind::wake_old_owner:
        if (owners_.size() > 1)
        {
            // The former owner sends its orders although it is not fresh. Other commands are
            // prevented by the check of freshness.
            auto it = std::next(owners_.begin(), n % (owners_.size() - 1));
            job_fakes::read_changes_except_newer_owner(*it, environment_);
            job_fakes::poll(*it, environment_);
            job_fakes::step_starts_only(*it, environment_);
        }
        break;
    case event_kind::predecessor_gone:
        owners_.erase(owners_.begin(), std::prev(owners_.end()));
        owners_.back().jobs.predecessor_stopped_at = environment_.now;
        break;
    case event_kind::fault_writes:
        write_faults_left_ = 1 + n % 8;
        write_fault_seed_ = n;
        break;
    case event_kind::fault_orders:
        order_faults_left_ = 1 + n % 4;
        order_fault_seed_ = n;
        lost_commands_left_ = static_cast<int>(n / 16 % 8);
        break;
    case event_kind::submit_some:
        submit_some(n);
        break;
    case event_kind::submit_again:
        if (!accepted_.empty())
        {
            const auto it = std::next(accepted_.begin(), n % accepted_.size());
            const auto outcome = job_fakes::submit(environment_, {it->second}).front();
            const auto* again = outcome ? std::get_if<jobs::accepted>(&*outcome) : nullptr;
            expect(
                !outcome || (again != nullptr && again->is_repeat), "a repeat became another job");
        }
        break;
    case event_kind::cancel_some:
        cancel_some(n);
        break;
    case event_kind::cut_worker_off:
        random_worker(n).reachable = !random_worker(n).reachable;
        break;
    case event_kind::pause_worker:
        random_worker(n).paused_until = environment_.now + core::millis{n % 90000};
        break;
    case event_kind::reboot_worker:
        job_fakes::reboot(random_worker(n));
        break;
    case event_kind::break_worker:
        random_worker(n).fails_all = !random_worker(n).fails_all;
        break;
    case event_kind::drain_host:
    {
        auto& state = environment_.hosts.hosts[n % hosts].state;
        state = state == model::host_state::serving ? model::host_state::draining
                                                    : model::host_state::serving;
        break;
    }
    case event_kind::late_write_arrives:
        if (!environment_.kv.late.empty())
        {
            job_fakes::deliver_late_write(environment_.kv, n % environment_.kv.late.size());
        }
        break;
    case event_kind::announce_drain:
        environment_.leaving_in["w" + std::to_string(n % hosts)] = core::millis{n % 60000};
        if (n % 3 == 0)
        {
            environment_.leaving_in.clear();
        }
        break;
    }
}

void pool_simulation::check() const
{
    check_starts();
    check_accepted();
    check_quotas();
    check_hosts();
}

void pool_simulation::check_starts() const
{
    std::map<std::string, int> starts;
    for (const auto& it : environment_.platform.starts)
    {
        starts[it.job] += 1;
        const auto job = accepted_.find(it.job);
        expect(job == accepted_.end() || job->second.idempotent || starts[it.job] == 1,
            "a job that may run once only was started twice: " + it.job);
    }
}

void pool_simulation::check_accepted() const
{
    for (const auto& it : accepted_)
    {
        expect(job_fakes::stored_job(environment_, it.first) != nullptr,
            "an accepted job was lost: " + it.first);
    }
}

namespace
{

/// Calls \p fn for each task that runs under a valid lease. A task whose lease has expired on a
/// paused worker may run beside others, which can't be prevented.
template <class Fn>
void for_each_leased_task(const job_fakes::pool_environment& w, Fn fn)
{
    for (const auto& host : w.platform.all)
    {
        for (const auto& it : host.second.tasks)
        {
            const job_fakes::worker_task& t = it.second;
            if (t.state == ports::task_state::running && t.lease_until >= w.now)
            {
                fn(host.second, t);
            }
        }
    }
}

} // namespace

/// The check uses the workers' own state: a job's record may show its end later, which is the safe
/// direction.
void pool_simulation::check_quotas() const
{
    std::map<std::string, jobs::resources> use;
    for_each_leased_task(environment_,
        [&](const job_fakes::worker&, const job_fakes::worker_task& t)
        {
            const jobs::job* j =
                job_fakes::stored_job(environment_, jobs::job_id_of_task(t.order.task));
            use[j->team] = use[j->team] + j->declared;
        });
    for (const auto& it : environment_.teams)
    {
        const jobs::resources quota{it.processors, it.memory_gb, it.accelerators};
        expect(jobs::fits(use[it.name], quota), "a team is over its quota: " + it.name);
    }
}

void pool_simulation::check_hosts() const
{
    std::map<std::string, jobs::resources> use;
    for_each_leased_task(environment_,
        [&](const job_fakes::worker& w, const job_fakes::worker_task& t)
        {
            const double share = t.throttled ? environment_.rules.throttled_share : 1.0;
            use[w.id] =
                use[w.id] + jobs::resources{t.order.processors * share, t.order.memory_gb, 0};
        });
    for (const auto& it : use)
    {
        expect(jobs::fits(it.second, environment_.platform.all.at(it.first).capacity),
            "a host is over its capacity: " + it.first);
    }
}

void pool_simulation::end_faults_and_check()
{
    write_faults_left_ = 0;
    order_faults_left_ = 0;
    lost_commands_left_ = 0;
    environment_.leaving_in.clear();
    for (auto& it : environment_.platform.all)
    {
        it.second.reachable = true;
        it.second.fails_all = false;
        it.second.paused_until = {};
    }
    for (auto& it : environment_.hosts.hosts)
    {
        it.state = model::host_state::serving;
    }
    apply({event_kind::predecessor_gone, 0});
    constexpr int max_minutes = 120;
    const auto first_unsettled = [&]
    {
        std::string first;
        for (const auto& it : accepted_)
        {
            const jobs::job* j = job_fakes::stored_job(environment_, it.first);
            // The stop of a cancelled task is stored only with the next change.
            const bool stopping = j->state == jobs::job_state::cancelled &&
                                  jobs::count_tasks_on(owners_.back().jobs, j->host) > 0;
            const bool is_settled = jobs::is_terminal(*j) && !stopping;
            first = first.empty() && !is_settled ? jobs::explain(*j).front() : first;
        }
        return first;
    };
    for (int i = 0; i < max_minutes && !first_unsettled().empty(); ++i)
    {
        advance_time(core::millis{60000});
        check();
    }
    expect(first_unsettled().empty(), "a job did not reach a terminal state: " + first_unsettled());
}

} // namespace camphorhitch::jobs_test
