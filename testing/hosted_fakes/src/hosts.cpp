#include "hosted_fakes/hosts.hpp"

#include "workflow/records.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace camphorhitch::hosted_fakes
{

using daemon_fakes::process;
using daemon_fakes::wire_delay;
using ports::run_end;
using ports::runner_verdict;

namespace
{

constexpr core::millis call_timeout{700};
constexpr core::millis stop_time{100};
constexpr core::millis min_late_delay{2000};
constexpr core::millis max_late_delay{6000};
constexpr core::millis max_answer_delay{650}; // within call_timeout
constexpr core::millis entry_lifetime{4500};
constexpr core::millis max_lease{10000}; // a longer lease is shortened to this
constexpr core::millis move_time{1500};
/// Time for which a start beyond a reduced capacity is no violation.
constexpr core::millis capacity_change_delay{4500};
/// Time for which the cap before a change still counts: the platform's bound on the use of an old
/// configuration.
constexpr core::millis cap_change_delay{3000};
constexpr core::millis machine_call_timeout{1500};
constexpr int percent_of_whole = 100;
/// Maximum number of ends in one answer; the others follow once these are acknowledged.
constexpr std::size_t max_listed_ends = 500;

/// \return "pool address state", followed by the capacity in milli-cores where it has changed, and
/// by
/// '@' and the start time if it is stated.
std::string write_entry(const fake_host& h, bool states_start_time)
{
    const auto usual = fake_host{}.capacity.cpu;
    return h.pool + ' ' + h.address + ' ' + (h.draining ? "draining" : "ready") +
           (h.capacity.cpu == usual ? std::string{} : ' ' + std::to_string(h.capacity.cpu)) +
           (states_start_time ? '@' + std::to_string(h.born_ms) : std::string{});
}

/// \return the start time behind the '@'; 0 without one, and nothing if it is not a number.
std::optional<std::int64_t> read_born(const std::string& text)
{
    std::int64_t born = 0;
    const auto* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, born);
    const bool is_valid = text.empty() || (ec == std::errc{} && stop == end && born > 0);
    return is_valid ? std::optional{born} : std::nullopt;
}

/// \return the capacity in an entry's fourth word, the default without that word, and nothing if
/// the word is not a capacity.
std::optional<std::int64_t> read_capacity(const std::string& text)
{
    std::int64_t cpu = fake_host{}.capacity.cpu;
    const auto* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, cpu);
    const bool is_valid = text.empty() || (ec == std::errc{} && stop == end && cpu > 0);
    return is_valid ? std::optional{cpu} : std::nullopt;
}

} // namespace

hosts::hosts(daemon_fakes::virtual_time& time, store& kv, std::uint64_t seed)
    : time_(time), store_(kv), random_(seed)
{
}

std::int64_t hosts::clock() const
{
    return time_.passed_ms();
}

std::int64_t hosts::clock_of(const fake_host& h) const
{
    const auto lived = std::chrono::duration_cast<core::millis>(time_.now() - h.born_at);
    return h.clock_at_birth_ms +
           static_cast<std::int64_t>(static_cast<double>(lived.count()) * h.clock_rate);
}

void hosts::record_violation(const std::string& what)
{
    broken_promises.push_back(std::to_string(clock()) + " " + what);
}

void hosts::publish(const fake_host& h)
{
    store_.put("runner/" + h.runner, write_entry(h, states_start_times_));
}

void hosts::remove_entry(const std::string& runner, std::int64_t born_ms)
{
    const auto replaced = [&](const auto& it)
    {
        return it.second.up && it.second.runner == runner && it.second.born_ms != born_ms;
    };
    if (std::none_of(machines.begin(), machines.end(), replaced))
    {
        store_.remove("runner/" + runner);
    }
}

std::string hosts::incarnation_of(const std::string& machine) const
{
    const auto& h = machines.at(machine);
    return ports::write_incarnation({h.runner, states_start_times_ ? h.born_ms : 0});
}

void hosts::after_in_life(
    const fake_host& h, core::millis delay, std::function<void(fake_host&)> then)
{
    time_.after(delay,
        [this, machine = h.machine, runner = h.runner, born = h.born_ms, then = std::move(then)]
        {
            auto& at = machines.at(machine);
            if (at.up && at.runner == runner && at.born_ms == born)
            {
                then(at);
            }
        });
}

bool hosts::keeps_id(const fake_host& h)
{
    return kept_id_share > 0 && !h.runner.empty() &&
           std::uniform_real_distribution<>(0, 1)(random_) < kept_id_share;
}

void hosts::begin_incarnation(fake_host& h)
{
    if (!keeps_id(h))
    {
        h.runner = "r" + std::to_string(++last_incarnation_);
    }
    h.born_ms = core::to_unix_ms(time_.wall_now());
    h.born_at = time_.now();
    // The clocks of two incarnations are unrelated, and either may be ahead.
    constexpr std::int64_t clock_step_ms = 5'000'011;
    constexpr std::int64_t max_clock_at_birth_ms = 9'000'000;
    h.clock_at_birth_ms = ++lives_ * clock_step_ms % max_clock_at_birth_ms;
    h.clock_at_birth_ms = std::exchange(next_clock_at_birth_ms, {}).value_or(h.clock_at_birth_ms);
    h.up = true;
    h.draining = false;
    h.has_answered = false;
    h.fence = 0;
    h.lease_until_ms = 0;
    h.runs.clear();
    h.refused_through.clear();
    h.ends.clear();
    h.last_end = 0;
    h.ended_at.clear();
    h.ends_void_through = 0;
    h.polls.clear();
    publish(h);
}

std::string hosts::add(const std::string& pool)
{
    auto name = "m" + std::to_string(machines.size() + 1);
    auto& h = machines[name];
    h.machine = name;
    h.pool = pool;
    h.address = "10.0.0." + std::to_string(machines.size()) + ":80";
    begin_incarnation(h);
    return name;
}

std::string hosts::transfer_address(const std::string& machine)
{
    auto name = add(machines.at(machine).pool);
    auto& h = machines.at(name);
    h.address = machines.at(machine).address;
    publish(h);
    return name;
}

void hosts::crash(const std::string& machine, core::millis down)
{
    auto& h = machines.at(machine);
    if (!h.up)
    {
        return;
    }
    h.up = false;
    h.runs.clear();
    time_.after(entry_lifetime,
        [this, runner = h.runner, born = h.born_ms] { remove_entry(runner, born); });
    time_.after(down, [this, machine] { begin_incarnation(machines.at(machine)); });
}

void hosts::restart(const std::string& machine)
{
    begin_incarnation(machines.at(machine));
}

void hosts::cut(const std::string& machine, core::millis how_long)
{
    machines.at(machine).cut_off = true;
    time_.after(how_long, [this, machine] { machines.at(machine).cut_off = false; });
}

void hosts::drain(const std::string& machine)
{
    auto& h = machines.at(machine);
    h.draining = true;
    publish(h);
}

void hosts::transfer_address(
    const std::string& from, const std::string& to, core::millis cut_off_time)
{
    auto& old = machines.at(from);
    auto& next = machines.at(to);
    if (from == to || !old.up || !next.up || old.cut_off || next.cut_off)
    {
        return;
    }
    cut(from, cut_off_time);
    next.up = false;
    next.runs.clear();
    store_.remove("runner/" + next.runner);
    next.address = std::exchange(old.address, "10.0.1." + std::to_string(++last_address_) + ":80");
    begin_incarnation(next);
    time_.after(cut_off_time,
        [this, from, runner = old.runner, born = old.born_ms]
        {
            auto& h = machines.at(from);
            if (h.up && h.runner == runner && h.born_ms == born)
            {
                store_.remove("runner/" + runner);
                begin_incarnation(h);
            }
        });
}

void hosts::state_start_times(bool stated)
{
    states_start_times_ = stated;
    for (const auto& [name, h] : machines)
    {
        if (h.up)
        {
            publish(h);
        }
    }
}

void hosts::resize(const std::string& machine, std::int64_t cpu)
{
    auto& h = machines.at(machine);
    if (cpu < h.capacity.cpu)
    {
        h.cpu_before_reduction = h.capacity.cpu;
        h.capacity_reduced_at = time_.now();
    }
    h.capacity.cpu = cpu;
    publish(h);
}

void hosts::expect(const workflow::job& j)
{
    jobs_[j.id] = j;
}

fake_host* hosts::find_host(const ports::runner_ref& r)
{
    fake_host* found = nullptr;
    for (auto& [name, h] : machines)
    {
        if (h.address == r.address && (found == nullptr || found->cut_off))
        {
            found = &h;
        }
    }
    return found;
}

void hosts::check_reported_end(const std::string& task)
{
    const auto it = reported_done_.find(task);
    if (reported_end_binding_after.count() > 0 && it != reported_done_.end() &&
        time_.now() - it->second >= reported_end_binding_after)
    {
        record_violation("starts after its end was reported to the coordinator: " + task);
    }
}

void hosts::set_cap(const std::string& workspace, std::int64_t cpu)
{
    caps_[workspace].emplace_back(time_.now(), cpu);
}

void hosts::check_cap(const workflow::job& j, const std::string& task, std::int64_t cpu)
{
    const auto found = caps_.find(j.workspace);
    if (found == caps_.end())
    {
        return;
    }
    std::int64_t highest = 0;
    for (std::size_t i = 0; i < found->second.size(); ++i)
    {
        const bool latest = i + 1 == found->second.size();
        const bool counts = latest || time_.now() - found->second[i + 1].first < cap_change_delay;
        highest = counts ? std::max(highest, found->second[i].second) : highest;
    }
    std::int64_t used = cpu;
    for (const auto& [machine, other] : machines)
    {
        for (const auto& [name, run] : other.runs)
        {
            const auto at = core::value(workflow::read_task_name(name));
            const auto& owner = jobs_.at(at.job);
            used += other.up && owner.workspace == j.workspace
                        ? owner.steps[static_cast<std::size_t>(at.step)].need.cpu
                        : 0;
        }
    }
    if (used > highest && used > cpu)
    {
        record_violation("workspace " + j.workspace + " has " + std::to_string(used) + " of " +
                         std::to_string(highest) + " running: " + task);
    }
}

void hosts::check_gang_checkpoint(const ports::start_order& o)
{
    const auto name = core::value(workflow::read_task_name(o.task));
    const auto& s = jobs_.at(name.job).steps[static_cast<std::size_t>(name.step)];
    for (int i = 0; s.gang && i < s.tasks; ++i)
    {
        const auto member = workflow::write_task_name({name.job, name.occurrence, name.step, i});
        for (const auto& [machine, h] : machines)
        {
            const auto it = h.runs.find(member);
            if (it != h.runs.end() && it->second.number == o.run &&
                it->second.resumed_from != o.checkpoint)
            {
                record_violation("resumes from '" + o.checkpoint + "' and " + member + " from '" +
                                 it->second.resumed_from + "': " + o.task);
            }
        }
    }
}

void hosts::schedule_checkpoint(const fake_host& h, const std::string& task, std::int64_t run)
{
    after_in_life(h,
        behaviour.checkpoint_interval,
        [this, task, run](fake_host& at)
        {
            const auto it = at.runs.find(task);
            if (it == at.runs.end() || it->second.number != run || it->second.stopping)
            {
                return;
            }
            const auto& before = it->second.checkpoint;
            it->second.checkpoint = std::to_string(before.empty() ? 1 : std::stoi(before) + 1);
            schedule_checkpoint(at, task, run);
        });
}

void hosts::check_start(const fake_host& h, const ports::start_order& o)
{
    const auto read = workflow::read_task_name(o.task);
    const auto& name = core::value(read);
    const auto job = jobs_.find(name.job);
    if (job == jobs_.end())
    {
        record_violation("a task of an unknown job: " + o.task);
        return;
    }
    const auto& s = job->second.steps[static_cast<std::size_t>(name.step)];
    for (const auto& [machine, other] : machines)
    {
        if (other.up && other.runs.contains(o.task))
        {
            record_violation("runs twice: " + o.task + " on " + machine + " and " + h.machine);
        }
    }
    if (completed_tasks.contains(o.task))
    {
        record_violation("starts after its end was acknowledged: " + o.task);
    }
    check_reported_end(o.task);
    for (const int before : s.depends_on)
    {
        for (int i = 0; i < job->second.steps[static_cast<std::size_t>(before)].tasks; ++i)
        {
            const auto needed = workflow::write_task_name({name.job, name.occurrence, before, i});
            if (!ended_done_.contains(needed))
            {
                record_violation("starts before " + needed + ": " + o.task);
            }
        }
    }
    std::int64_t cpu = s.need.cpu;
    for (const auto& [task, run] : h.runs)
    {
        const auto other = core::value(workflow::read_task_name(task));
        cpu += jobs_.at(other.job).steps[static_cast<std::size_t>(other.step)].need.cpu;
    }
    // The coordinator may not know yet that the capacity was reduced.
    const bool known = time_.now() - h.capacity_reduced_at >= capacity_change_delay;
    if (cpu > (known ? h.capacity.cpu : h.cpu_before_reduction))
    {
        record_violation("over its capacity: " + h.machine + " with " + o.task);
    }
    if (failures_[o.task] >= job->second.max_attempts && !s.long_running)
    {
        record_violation("over its budget of attempts: " + o.task);
    }
    check_crashes(o.task);
    check_gang_checkpoint(o);
    check_cap(job->second, o.task, s.need.cpu);
    if (h.pool != job->second.pool)
    {
        record_violation("on a host of another pool: " + o.task);
    }
}

void hosts::grant(fake_host& h, std::int64_t until)
{
    until = std::min(until, clock_of(h) + max_lease.count());
    if (until > h.lease_until_ms)
    {
        h.lease_until_ms = until;
        schedule_lease_end(h);
    }
}

void hosts::schedule_lease_end(const fake_host& of)
{
    const auto left = std::max<std::int64_t>(of.lease_until_ms - clock_of(of), 0) + 1;
    after_in_life(of,
        core::millis{
            static_cast<std::int64_t>(std::ceil(static_cast<double>(left) / of.clock_rate))},
        [this](fake_host& h)
        {
            if (clock_of(h) <= h.lease_until_ms)
            {
                return;
            }
            while (!h.runs.empty())
            {
                const auto task = h.runs.begin()->first;
                expired_runs += h.cut_off ? 0 : 1;
                end_run(h, task, run_end::lease_lapsed);
            }
            h.ends_void_through = h.last_end;
        });
}

bool hosts::accept_token(fake_host& h, std::int64_t token) const
{
    if (checks_fencing_tokens && token < h.fence)
    {
        return false;
    }
    h.fence = token;
    return true;
}

ports::runner_answer hosts::start(fake_host& h, const ports::start_order& o)
{
    if (!accept_token(h, o.fencing_token))
    {
        return {runner_verdict::fenced, clock_of(h)};
    }
    const auto here = h.runs.find(o.task);
    if (here != h.runs.end() && here->second.number == o.run)
    {
        return {runner_verdict::done, clock_of(h)};
    }
    if (o.run <= h.refused_through[o.task])
    {
        grant(h, o.lease_until_ms);
        return {runner_verdict::superseded, clock_of(h)};
    }
    const auto lease_end = accepts_starts_under_any_lease
                               ? std::max(o.lease_until_ms, h.lease_until_ms)
                               : o.lease_until_ms;
    if (lease_end <= clock_of(h))
    {
        return {runner_verdict::lease_over, clock_of(h)};
    }
    check_start(h, o);
    ++starts;
    started_[o.task] = time_.now();
    grant(h, o.lease_until_ms);
    h.runs[o.task] = {o.run, time_.now(), false, o.checkpoint, o.checkpoint};
    const auto name = core::value(workflow::read_task_name(o.task));
    started_jobs.insert(name.job);
    schedule_crash(h, o);
    const auto& s = jobs_.at(name.job).steps[static_cast<std::size_t>(name.step)];
    if (s.checkpoints && behaviour.checkpoint_interval.count() > 0)
    {
        schedule_checkpoint(h, o.task, o.run);
    }
    if (!s.long_running)
    {
        const auto percent_of_run_time = std::uniform_int_distribution<int>(50, 150)(random_);
        h.runs[o.task].work_left = behaviour.run_time * percent_of_run_time / percent_of_whole;
        schedule_finish(h, o.task);
    }
    return {runner_verdict::done, clock_of(h)};
}

void hosts::schedule_finish(const fake_host& h, const std::string& task)
{
    const auto& run = h.runs.at(task);
    if (run.cpu_percent == 0)
    {
        return;
    }
    after_in_life(h,
        run.work_left * percent_of_whole / run.cpu_percent,
        [this, task, number = run.number, changes = run.throttle_changes](fake_host& at)
        {
            const auto it = at.runs.find(task);
            if (it != at.runs.end() && it->second.throttle_changes == changes)
            {
                finish_run(at.machine, task, number);
            }
        });
}

void hosts::finish_run(const std::string& machine, const std::string& task, std::int64_t run)
{
    auto& h = machines.at(machine);
    const auto it = h.runs.find(task);
    if (!h.up || it == h.runs.end() || it->second.number != run || it->second.stopping)
    {
        return;
    }
    const bool fails = std::uniform_real_distribution<>(0, 1)(random_) < behaviour.failure_share;
    end_run(h, task, fails ? run_end::failed : run_end::done);
}

void hosts::end_run(fake_host& h, const std::string& task, run_end outcome)
{
    const auto ended = h.runs.at(task);
    h.runs.erase(task);
    h.refused_through[task] = std::max(h.refused_through[task], ended.number);
    h.ends.push_back({++h.last_end, task, ended.number, outcome, ended.checkpoint});
    h.ended_at[h.last_end] = time_.now();
    if (outcome == run_end::done)
    {
        ended_done_.insert(task);
    }
    ended_failed_[task] += outcome == run_end::failed ? 1 : 0;
    const auto polls = std::exchange(h.polls, {});
    for (const auto& it : polls)
    {
        it();
    }
}

ports::runner_answer hosts::stop(fake_host& h, const ports::stop_order& o)
{
    if (!accept_token(h, o.fencing_token))
    {
        return {runner_verdict::fenced, clock_of(h)};
    }
    h.refused_through[o.task] = std::max(h.refused_through[o.task], o.run);
    const auto it = h.runs.find(o.task);
    if (it != h.runs.end() && it->second.number <= o.run && !it->second.stopping)
    {
        it->second.stopping = true;
        after_in_life(h,
            stop_time,
            [this, task = o.task](fake_host& at)
            {
                if (at.runs.contains(task))
                {
                    end_run(at, task, run_end::stopped);
                }
            });
    }
    return {runner_verdict::done, clock_of(h)};
}

ports::runner_answer hosts::throttle(fake_host& h, const ports::throttle_order& o)
{
    if (!accept_token(h, o.fencing_token))
    {
        return {runner_verdict::fenced, clock_of(h)};
    }
    const auto it = h.runs.find(o.task);
    if (it != h.runs.end() && it->second.number == o.run)
    {
        auto& run = it->second;
        const auto since = std::max(run.throttled_at, run.started_at);
        const auto worked = std::chrono::duration_cast<core::millis>(time_.now() - since) *
                            run.cpu_percent / percent_of_whole;
        run.work_left = std::max(run.work_left - worked, core::millis{0});
        run.cpu_percent = o.cpu_percent;
        run.throttled_at = time_.now();
        ++run.throttle_changes;
        const auto name = core::value(workflow::read_task_name(o.task));
        if (!jobs_.at(name.job).steps[static_cast<std::size_t>(name.step)].long_running)
        {
            schedule_finish(h, o.task);
        }
    }
    return {runner_verdict::done, clock_of(h)};
}

ports::poll_answer hosts::list_runs(const fake_host& h)
{
    ports::poll_answer out;
    out.call = {runner_verdict::done, clock_of(h), states_start_times_ ? h.born_ms : 0};
    for (const auto& [task, run] : h.runs)
    {
        out.running.push_back({task, run.number, run.checkpoint, percent_of_whole, 0});
    }
    const auto listed = std::min(h.ends.size(), max_listed_ends);
    out.ends_truncated = listed == max_listed_ends;
    out.ended.assign(h.ends.begin(), h.ends.begin() + static_cast<std::ptrdiff_t>(listed));
    for (const auto& it : out.ended)
    {
        if (it.outcome == run_end::done)
        {
            reported_done_.try_emplace(it.task, time_.now());
        }
    }
    return out;
}

/// A start between a run's end and its acknowledgement is a violation, like a start after both.
void hosts::acknowledge_end(const fake_host& h, const ports::reported_end& it)
{
    completed_tasks.insert(it.task);
    const auto started = started_.find(it.task);
    if (started != started_.end() && started->second > h.ended_at.at(it.number))
    {
        record_violation("started between its end and its acknowledgement: " + it.task);
    }
}

ports::poll_answer hosts::poll(fake_host& h, const ports::poll_order& o)
{
    if (!accept_token(h, o.fencing_token))
    {
        ports::poll_answer out;
        out.call = {runner_verdict::fenced, clock_of(h)};
        return out;
    }
    for (const auto& it : h.ends)
    {
        if (it.number > o.acknowledged_through)
        {
            continue;
        }
        if (it.outcome == run_end::done && it.number > h.ends_void_through)
        {
            acknowledge_end(h, it);
        }
        failures_[it.task] += it.outcome == run_end::failed ? 1 : 0;
    }
    std::erase_if(h.ends, [&](const auto& it) { return it.number <= o.acknowledged_through; });
    if (o.lease_until_ms > 0)
    {
        grant(h, o.lease_until_ms);
    }
    return list_runs(h);
}

void hosts::hold_next(runner_call kind, const std::string& machine, int calls)
{
    holds_[{kind, machine}] += calls;
}

std::size_t hosts::held_calls() const
{
    return held_.size();
}

void hosts::release_held()
{
    for (const auto& it : std::exchange(held_, {}))
    {
        it();
    }
}

void hosts::release_held(std::size_t index)
{
    const auto at = held_.begin() + static_cast<std::ptrdiff_t>(index);
    const auto carry_out = std::move(*at);
    held_.erase(at);
    carry_out();
}

void hosts::drop_held()
{
    held_.clear();
}

/// \return whether the call is to be held back.
bool hosts::takes_hold(runner_call kind, const ports::runner_ref& to)
{
    const auto* const h = holds_.empty() ? nullptr : find_host(to);
    const auto it = h == nullptr ? holds_.end() : holds_.find({kind, h->machine});
    if (it == holds_.end())
    {
        return false;
    }
    if (--it->second == 0)
    {
        holds_.erase(it);
    }
    return true;
}

/// Records that the incarnation that a call names has answered.
void hosts::record_answer(const ports::runner_ref& to)
{
    auto& h = *find_host(to);
    h.has_answered = h.has_answered || ports::read_incarnation(to.id).born_ms == h.born_ms;
}

/// \return whether a late start is lost since no coordinator could prevent its harm: its task is
/// done, or has run elsewhere since before the present incarnation, which has answered no call yet.
bool hosts::loses_late_start(const ports::runner_ref& to, const std::string& task)
{
    const auto* const h = find_host(to);
    const auto runs_elsewhere = [&](const auto& it)
    {
        const auto run = it.second.runs.find(task);
        return it.second.up && run != it.second.runs.end() && run->second.started_at < h->born_at;
    };
    return h != nullptr && !h->has_answered &&
           (ended_done_.contains(task) ||
               std::any_of(machines.begin(), machines.end(), runs_elsewhere));
}

bool hosts::draws_late(runner_call kind)
{
    const bool order = kind != runner_call::poll && kind != runner_call::poll_end;
    const auto share = order ? late_order_share : late_poll_share;
    // Polls draw no random number unless some are late, so that the sequence of a seed is stable.
    return (order || share > 0) && std::uniform_real_distribution<>(0, 1)(random_) < share;
}

core::millis hosts::draw_answer_delay()
{
    const bool slow = slow_answer_share > 0 &&
                      std::uniform_real_distribution<>(0, 1)(random_) < slow_answer_share;
    return slow ? core::millis{std::uniform_int_distribution<std::int64_t>(
                      wire_delay.count(), max_answer_delay.count())(random_)}
                : wire_delay;
}

template <class Answer>
void hosts::call(process& p,
    const ports::runner_ref& to,
    runner_call kind,
    std::function<Answer(fake_host&)> serve,
    std::function<void(Answer)> done,
    const std::string& started_task)
{
    const auto answer_of = [](runner_verdict v)
    {
        Answer out;
        if constexpr (requires { out.call; })
        {
            out.call.verdict = v;
        }
        else
        {
            out.verdict = v;
        }
        return out;
    };
    const auto carry_out = [this, to, serve, answer_of]() -> std::pair<bool, Answer>
    {
        auto* const h = find_host(to);
        if (h == nullptr || !h->up || h->cut_off)
        {
            return {false, answer_of(runner_verdict::unknown)};
        }
        const bool meant = h->runner == ports::read_incarnation(to.id).runner;
        return {true, meant ? serve(*h) : answer_of(runner_verdict::other_life)};
    };
    time_.after(wire_delay,
        [this, &p, to, kind, started_task, carry_out, answer_of, done = std::move(done)]
        {
            if (p.dead)
            {
                return;
            }
            const auto give_up = [&p, done, answer_of]
            {
                p.enter([=] { done(answer_of(runner_verdict::unknown)); });
            };
            if (p.paused)
            {
                // The call was never sent; it times out once the process continues.
                time_.after(call_timeout, give_up);
                return;
            }
            if (takes_hold(kind, to))
            {
                const auto over = std::make_shared<bool>(false);
                const auto once = [&p, over, done](const Answer& a)
                {
                    p.enter(
                        [=]
                        {
                            if (!std::exchange(*over, true))
                            {
                                done(a);
                            }
                        });
                };
                held_.push_back(
                    [this, carry_out, once]
                    {
                        const auto [answered, answer] = carry_out();
                        if (answered)
                        {
                            time_.after(wire_delay, [once, answer = answer] { once(answer); });
                        }
                    });
                time_.after(
                    call_timeout, [once, answer_of] { once(answer_of(runner_verdict::unknown)); });
                return;
            }
            if (draws_late(kind))
            {
                const core::millis late{std::uniform_int_distribution<std::int64_t>(
                    min_late_delay.count(), max_late_delay.count())(random_)};
                if (late_calls_outlive_process)
                {
                    time_.after(late,
                        [this, to, started_task, carry_out]
                        {
                            if (!loses_late_start(to, started_task))
                            {
                                carry_out();
                            }
                        });
                }
                else if (const auto* const h = find_host(to); h != nullptr && h->up)
                {
                    // The runner holds the call back, and loses it when its process ends.
                    after_in_life(*h, late, [carry_out](fake_host&) { carry_out(); });
                }
                time_.after(call_timeout, give_up);
                return;
            }
            const auto [answered, answer] = carry_out();
            if (!answered)
            {
                time_.after(call_timeout, give_up);
                return;
            }
            record_answer(to);
            time_.after(draw_answer_delay(),
                [&p, done, answer = answer] { p.enter([=] { done(answer); }); });
        });
}

ports::runners hosts::runner_port(process& p)
{
    ports::runners out;
    out.start = [this, &p](const ports::runner_ref& to,
                    const ports::start_order& o,
                    const std::function<void(ports::runner_answer)>& done)
    {
        call<ports::runner_answer>(
            p,
            to,
            runner_call::start,
            [this, o](fake_host& h) { return start(h, o); },
            done,
            o.task);
    };
    out.stop = [this, &p](const ports::runner_ref& to,
                   const ports::stop_order& o,
                   const std::function<void(ports::runner_answer)>& done)
    {
        call<ports::runner_answer>(
            p, to, runner_call::stop, [this, o](fake_host& h) { return stop(h, o); }, done);
    };
    out.throttle = [this, &p](const ports::runner_ref& to,
                       const ports::throttle_order& o,
                       const std::function<void(ports::runner_answer)>& done)
    {
        call<ports::runner_answer>(
            p, to, runner_call::throttle, [this, o](fake_host& h) { return throttle(h, o); }, done);
    };
    out.poll = [this, &p](const ports::runner_ref& to,
                   const ports::poll_order& o,
                   const std::function<void(ports::poll_answer)>& done)
    {
        // A poll that waits for an end is simulated by listing the runs after the wait or at the
        // next end.
        const auto on_answer = [this, &p, to, o, done](ports::poll_answer first)
        {
            if (first.call.verdict != runner_verdict::done || !first.ended.empty() ||
                o.wait.count() == 0)
            {
                done(std::move(first));
                return;
            }
            auto over = std::make_shared<bool>(false);
            const auto again = [this, &p, to, done, over]
            {
                if (std::exchange(*over, true))
                {
                    return;
                }
                call<ports::poll_answer>(
                    p,
                    to,
                    runner_call::poll_end,
                    [this](fake_host& h) { return list_runs(h); },
                    done);
            };
            if (auto* const h = find_host(to);
                h != nullptr && h->runner == ports::read_incarnation(to.id).runner)
            {
                h->polls.push_back(again);
            }
            time_.after(o.wait, again);
        };
        call<ports::poll_answer>(
            p, to, runner_call::poll, [this, o](fake_host& h) { return poll(h, o); }, on_answer);
    };
    return out;
}

ports::machines hosts::machine_port(process& p)
{
    ports::machines out;
    out.list = [this, &p](const std::function<void(ports::machine_list)>& done)
    {
        time_.after(2 * wire_delay,
            [this, &p, done]
            {
                ports::machine_list list;
                list.known = true;
                for (const auto& [name, h] : machines)
                {
                    const auto state = h.up ? ports::machine_state::up : ports::machine_state::down;
                    list.machines.push_back({name, h.pool, "z", h.runner, state});
                }
                p.enter([done, list] { done(list); });
            });
    };
    out.move = [this, &p](const std::string& machine,
                   const std::string& pool,
                   std::int64_t,
                   const std::function<void(ports::machine_verdict)>& done)
    {
        order_machine(
            p, [this, machine, pool] { return shut_down(machine, pool); }, done);
    };
    out.maintain = [this, &p](const std::string& machine,
                       std::int64_t wave,
                       std::int64_t,
                       const std::function<void(ports::machine_verdict)>& done)
    {
        const auto once = [this, machine, wave]
        {
            if (maintained_.contains({wave, machine}))
            {
                return ports::machine_verdict::done;
            }
            const auto verdict = shut_down(machine, machines.at(machine).pool);
            if (verdict == ports::machine_verdict::done)
            {
                maintained_.insert({wave, machine});
            }
            return verdict;
        };
        order_machine(p, once, done);
    };
    return out;
}

ports::machine_verdict hosts::shut_down(const std::string& machine, const std::string& pool)
{
    auto& h = machines.at(machine);
    if (!h.up)
    {
        return ports::machine_verdict::busy;
    }
    h.up = false;
    h.runs.clear();
    store_.remove("runner/" + h.runner);
    h.pool = pool;
    time_.after(move_time, [this, machine] { begin_incarnation(machines.at(machine)); });
    return ports::machine_verdict::done;
}

/// Carries out an order for a machine; an order of a dead or paused process is never carried out.
void hosts::order_machine(process& p,
    std::function<ports::machine_verdict()> carry_out,
    std::function<void(ports::machine_verdict)> done)
{
    time_.after(wire_delay,
        [this, &p, carry_out = std::move(carry_out), done = std::move(done)]
        {
            if (p.dead || p.paused)
            {
                return;
            }
            const auto verdict = carry_out();
            if (machine_answers_to_lose > 0)
            {
                --machine_answers_to_lose;
                time_.after(machine_call_timeout,
                    [&p, done] { p.enter([=] { done(ports::machine_verdict::unknown); }); });
                return;
            }
            time_.after(wire_delay, [&p, done, verdict] { p.enter([=] { done(verdict); }); });
        });
}

hosted::formats hosts::formats() const
{
    hosted::formats out;
    out.operator_prefix = "operator/";
    out.config_key = "operator/config";
    out.wave_prefix = "operator/wave/";
    out.runner_prefix = "runner/";
    out.wave_status_key = [](std::int64_t n)
    {
        return "wave-status/" + std::to_string(n);
    };
    out.write_wave_status = [](hosted::wave_state s)
    {
        return s == hosted::wave_state::completed ? "completed" : "running";
    };
    out.read_runner = [](const std::string& id,
                          const std::string& whole) -> core::result<coordinator::host_listing>
    {
        const auto at = std::min(whole.find('@'), whole.size());
        const auto text = whole.substr(0, at);
        const auto born = read_born(at < whole.size() ? whole.substr(at + 1) : std::string{});
        const auto first = text.find(' ');
        const auto second = text.find(' ', first + 1);
        const auto rest = second == std::string::npos ? "" : text.substr(second + 1);
        const auto third = rest.find(' ');
        const auto state = rest.substr(0, third);
        const auto capacity_cpu =
            read_capacity(third == std::string::npos ? "" : rest.substr(third + 1));
        if (first == 0 || (state != "ready" && state != "draining") || !capacity_cpu || !born)
        {
            return core::error{core::error_code::invalid, "damaged runner entry"};
        }
        coordinator::host_listing h;
        h.pool = text.substr(0, first);
        h.ref = {
            ports::write_incarnation({id, *born}), text.substr(first + 1, second - first - 1), {}};
        h.draining = state == "draining";
        h.capacity = fake_host{}.capacity;
        h.capacity.cpu = *capacity_cpu;
        return h;
    };
    out.check_job_id = [](const std::string& id)
    {
        return id.find('.') == std::string::npos ? "" : "a job's id has no dot";
    };
    return out;
}

} // namespace camphorhitch::hosted_fakes
