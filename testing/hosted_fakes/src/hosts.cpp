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
constexpr core::millis shortest_late{2000};
constexpr core::millis longest_late{6000};
constexpr core::millis longest_way_back{650}; // within a call's time-out
constexpr core::millis entry_expires{4500};
constexpr core::millis move_time{1500};
/// A start beyond a room that has shrunk is no fault before this.
constexpr core::millis shrinking_is_known{4500};
constexpr core::millis machine_call_timeout{1500};
constexpr int whole = 100;
/// An answer lists no more; the others come once these are acknowledged.
constexpr std::size_t most_ends_listed = 500;

/// "pool address state", and the room where it has changed
std::string write_entry(const fake_host& h)
{
    const auto usual = fake_host{}.capacity.cpu;
    return h.pool + ' ' + h.address + ' ' + (h.draining ? "draining" : "ready") +
           (h.capacity.cpu == usual ? std::string{} : ' ' + std::to_string(h.capacity.cpu));
}

/// \return the room of an entry's fourth word; the usual one without it, nothing if it is none.
std::optional<std::int64_t> read_room(const std::string& text)
{
    std::int64_t cpu = fake_host{}.capacity.cpu;
    const auto* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, cpu);
    const bool whole = text.empty() || (ec == std::errc{} && stop == end && cpu > 0);
    return whole ? std::optional{cpu} : std::nullopt;
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
    return static_cast<std::int64_t>(static_cast<double>(clock()) * h.clock_rate);
}

void hosts::breach(const std::string& what)
{
    broken.push_back(std::to_string(clock()) + " " + what);
}

void hosts::publish(const fake_host& h)
{
    store_.put("runner/" + h.runner, write_entry(h));
}

void hosts::begin_life(fake_host& h)
{
    h.runner = "r" + std::to_string(++last_life_);
    h.up = true;
    h.draining = false;
    h.fence = 0;
    h.lease_until_ms = 0;
    h.runs.clear();
    h.refused_through.clear();
    h.ends.clear();
    h.last_end = 0;
    h.ended_at.clear();
    h.void_through = 0;
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
    begin_life(h);
    return name;
}

std::string hosts::hand_on_address(const std::string& machine)
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
    const auto old = h.runner;
    time_.after(entry_expires, [this, old] { store_.remove("runner/" + old); });
    time_.after(down, [this, machine] { begin_life(machines.at(machine)); });
}

void hosts::cut(const std::string& machine, core::millis how_long)
{
    machines.at(machine).dark = true;
    time_.after(how_long, [this, machine] { machines.at(machine).dark = false; });
}

void hosts::drain(const std::string& machine)
{
    auto& h = machines.at(machine);
    h.draining = true;
    publish(h);
}

void hosts::hand_on_address(const std::string& from, const std::string& to, core::millis dark)
{
    auto& old = machines.at(from);
    auto& next = machines.at(to);
    if (from == to || !old.up || !next.up || old.dark || next.dark)
    {
        return;
    }
    cut(from, dark);
    next.up = false;
    next.runs.clear();
    store_.remove("runner/" + next.runner);
    next.address = std::exchange(old.address, "10.0.1." + std::to_string(++last_address_) + ":80");
    begin_life(next);
    time_.after(dark,
        [this, from, runner = old.runner]
        {
            auto& h = machines.at(from);
            if (h.up && h.runner == runner)
            {
                store_.remove("runner/" + runner);
                begin_life(h);
            }
        });
}

void hosts::resize(const std::string& machine, std::int64_t cpu)
{
    auto& h = machines.at(machine);
    if (cpu < h.capacity.cpu)
    {
        h.cpu_before = h.capacity.cpu;
        h.shrunk_at = time_.now();
    }
    h.capacity.cpu = cpu;
    publish(h);
}

void hosts::expect(const workflow::job& j)
{
    jobs_[j.id] = j;
}

fake_host* hosts::at(const ports::runner_ref& r)
{
    fake_host* found = nullptr;
    for (auto& [name, h] : machines)
    {
        if (h.address == r.address && (found == nullptr || found->dark))
        {
            found = &h;
        }
    }
    return found;
}

void hosts::check_told(const std::string& task)
{
    const auto it = told_.find(task);
    if (told_counts_after.count() > 0 && it != told_.end() &&
        time_.now() - it->second >= told_counts_after)
    {
        breach("starts after its owner was told of its end: " + task);
    }
}

void hosts::check_start(const fake_host& h, const ports::start_order& o)
{
    const auto read = workflow::read_task_name(o.task);
    const auto& name = core::value(read);
    const auto job = jobs_.find(name.job);
    if (job == jobs_.end())
    {
        breach("a task that nobody submitted: " + o.task);
        return;
    }
    const auto& s = job->second.steps[static_cast<std::size_t>(name.step)];
    for (const auto& [machine, other] : machines)
    {
        if (other.up && other.runs.contains(o.task))
        {
            breach("runs twice: " + o.task + " on " + machine + " and " + h.machine);
        }
    }
    if (done.contains(o.task))
    {
        breach("starts after its end was taken note of: " + o.task);
    }
    check_told(o.task);
    for (const int before : s.depends_on)
    {
        for (int i = 0; i < job->second.steps[static_cast<std::size_t>(before)].tasks; ++i)
        {
            const auto needed = workflow::write_task_name({name.job, name.occurrence, before, i});
            if (!ended_done_.contains(needed))
            {
                breach("starts before " + needed + ": " + o.task);
            }
        }
    }
    std::int64_t cpu = s.need.cpu;
    for (const auto& [task, run] : h.runs)
    {
        const auto other = core::value(workflow::read_task_name(task));
        cpu += jobs_.at(other.job).steps[static_cast<std::size_t>(other.step)].need.cpu;
    }
    // Who orders may not know yet that the room has shrunk.
    const bool known = time_.now() - h.shrunk_at >= shrinking_is_known;
    if (cpu > (known ? h.capacity.cpu : h.cpu_before))
    {
        breach("over its room: " + h.machine + " with " + o.task);
    }
    if (failures_[o.task] >= job->second.max_attempts && !s.long_running)
    {
        breach("over its budget of attempts: " + o.task);
    }
    check_crashes(o.task);
    if (h.pool != job->second.pool)
    {
        breach("on a host of another pool: " + o.task);
    }
}

void hosts::grant(fake_host& h, std::int64_t until)
{
    if (until > h.lease_until_ms)
    {
        h.lease_until_ms = until;
        watch_lease(h.machine, h.runner);
    }
}

void hosts::watch_lease(const std::string& machine, const std::string& runner)
{
    const auto& of = machines.at(machine);
    const auto left = std::max<std::int64_t>(of.lease_until_ms - clock_of(of), 0) + 1;
    time_.after(core::millis{static_cast<std::int64_t>(
                    std::ceil(static_cast<double>(left) / of.clock_rate))},
        [this, machine, runner]
        {
            auto& h = machines.at(machine);
            if (h.runner != runner || clock_of(h) <= h.lease_until_ms)
            {
                return;
            }
            while (!h.runs.empty())
            {
                const auto task = h.runs.begin()->first;
                lapsed += h.dark ? 0 : 1;
                end(h, task, run_end::lease_lapsed);
            }
            h.void_through = h.last_end;
        });
}

ports::runner_answer hosts::start(fake_host& h, const ports::start_order& o)
{
    if (checks_fences && o.fencing_token < h.fence)
    {
        return {runner_verdict::fenced, clock_of(h)};
    }
    h.fence = o.fencing_token;
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
    const auto lease_end =
        takes_starts_by_any_lease ? std::max(o.lease_until_ms, h.lease_until_ms) : o.lease_until_ms;
    if (lease_end <= clock_of(h))
    {
        return {runner_verdict::lease_over, clock_of(h)};
    }
    check_start(h, o);
    ++starts;
    started_[o.task] = time_.now();
    grant(h, o.lease_until_ms);
    h.runs[o.task] = {o.run, time_.now(), false};
    const auto name = core::value(workflow::read_task_name(o.task));
    begun.insert(name.job);
    crash_later(h, o);
    const auto& s = jobs_.at(name.job).steps[static_cast<std::size_t>(name.step)];
    if (!s.long_running)
    {
        const auto spread = std::uniform_int_distribution<int>(50, 150)(random_);
        time_.after(behaviour.run_time * spread / whole,
            [this, machine = h.machine, task = o.task, run = o.run]
            { finish(machine, task, run); });
    }
    return {runner_verdict::done, clock_of(h)};
}

void hosts::finish(const std::string& machine, const std::string& task, std::int64_t run)
{
    auto& h = machines.at(machine);
    const auto it = h.runs.find(task);
    if (!h.up || it == h.runs.end() || it->second.number != run || it->second.stopping)
    {
        return;
    }
    const bool fails = std::uniform_real_distribution<>(0, 1)(random_) < behaviour.fails;
    end(h, task, fails ? run_end::failed : run_end::done);
}

void hosts::end(fake_host& h, const std::string& task, run_end how)
{
    const auto run = h.runs.at(task).number;
    h.runs.erase(task);
    h.refused_through[task] = std::max(h.refused_through[task], run);
    h.ends.push_back({++h.last_end, task, run, how, {}});
    h.ended_at[h.last_end] = time_.now();
    if (how == run_end::done)
    {
        ended_done_.insert(task);
    }
    ended_failed_[task] += how == run_end::failed ? 1 : 0;
    const auto polls = std::exchange(h.polls, {});
    for (const auto& it : polls)
    {
        it();
    }
}

ports::runner_answer hosts::stop(fake_host& h, const ports::stop_order& o)
{
    if (checks_fences && o.fencing_token < h.fence)
    {
        return {runner_verdict::fenced, clock_of(h)};
    }
    h.fence = o.fencing_token;
    h.refused_through[o.task] = std::max(h.refused_through[o.task], o.run);
    const auto it = h.runs.find(o.task);
    if (it != h.runs.end() && it->second.number <= o.run && !it->second.stopping)
    {
        it->second.stopping = true;
        time_.after(stop_time,
            [this, machine = h.machine, runner = h.runner, task = o.task]
            {
                auto& at = machines.at(machine);
                if (at.runner == runner && at.up && at.runs.contains(task))
                {
                    end(at, task, run_end::stopped);
                }
            });
    }
    return {runner_verdict::done, clock_of(h)};
}

ports::poll_answer hosts::look(const fake_host& h)
{
    ports::poll_answer out;
    out.call = {runner_verdict::done, clock_of(h)};
    for (const auto& [task, run] : h.runs)
    {
        out.running.push_back({task, run.number, {}, whole, 0});
    }
    const auto listed = std::min(h.ends.size(), most_ends_listed);
    out.ends_truncated = listed == most_ends_listed;
    out.ended.assign(h.ends.begin(), h.ends.begin() + static_cast<std::ptrdiff_t>(listed));
    for (const auto& it : out.ended)
    {
        if (it.outcome == run_end::done)
        {
            told_.try_emplace(it.task, time_.now());
        }
    }
    return out;
}

/// A start between a run's end and the note taken of it is one too many, like a start after both.
void hosts::take_note(const fake_host& h, const ports::reported_end& it)
{
    done.insert(it.task);
    const auto started = started_.find(it.task);
    if (started != started_.end() && started->second > h.ended_at.at(it.number))
    {
        breach("started between its end and the note taken of it: " + it.task);
    }
}

ports::poll_answer hosts::poll(fake_host& h, const ports::poll_order& o)
{
    if (checks_fences && o.fencing_token < h.fence)
    {
        ports::poll_answer out;
        out.call = {runner_verdict::fenced, clock_of(h)};
        return out;
    }
    h.fence = o.fencing_token;
    for (const auto& it : h.ends)
    {
        if (it.number > o.acknowledged_through)
        {
            continue;
        }
        if (it.outcome == run_end::done && it.number > h.void_through)
        {
            take_note(h, it);
        }
        failures_[it.task] += it.outcome == run_end::failed ? 1 : 0;
    }
    std::erase_if(h.ends, [&](const auto& it) { return it.number <= o.acknowledged_through; });
    if (o.lease_until_ms > 0)
    {
        grant(h, o.lease_until_ms);
    }
    return look(h);
}

bool hosts::is_late(bool order)
{
    const auto share = order ? orders_late : polls_late;
    // Without late polls they draw nothing: what a seed plays stays the same.
    return (order || share > 0) && std::uniform_real_distribution<>(0, 1)(random_) < share;
}

core::millis hosts::way_back()
{
    const bool slow =
        answers_slow > 0 && std::uniform_real_distribution<>(0, 1)(random_) < answers_slow;
    return slow ? core::millis{std::uniform_int_distribution<std::int64_t>(
                      wire_delay.count(), longest_way_back.count())(random_)}
                : wire_delay;
}

template <class Answer>
void hosts::call(process& p,
    const ports::runner_ref& to,
    bool order,
    std::function<Answer(fake_host&)> serve,
    std::function<void(Answer)> done)
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
        auto* const h = at(to);
        if (h == nullptr || !h->up || h->dark)
        {
            return {false, answer_of(runner_verdict::unknown)};
        }
        return {true, h->runner == to.id ? serve(*h) : answer_of(runner_verdict::other_life)};
    };
    time_.after(wire_delay,
        [this, &p, order, carry_out, answer_of, done = std::move(done)]
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
                // The call never left; its own time-out tells so once the process goes on.
                time_.after(call_timeout, give_up);
                return;
            }
            if (is_late(order))
            {
                const core::millis late{std::uniform_int_distribution<std::int64_t>(
                    shortest_late.count(), longest_late.count())(random_)};
                time_.after(late, [carry_out] { carry_out(); });
                time_.after(call_timeout, give_up);
                return;
            }
            const auto [answered, answer] = carry_out();
            if (!answered)
            {
                time_.after(call_timeout, give_up);
                return;
            }
            time_.after(
                way_back(), [&p, done, answer = answer] { p.enter([=] { done(answer); }); });
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
            p, to, true, [this, o](fake_host& h) { return start(h, o); }, done);
    };
    out.stop = [this, &p](const ports::runner_ref& to,
                   const ports::stop_order& o,
                   const std::function<void(ports::runner_answer)>& done)
    {
        call<ports::runner_answer>(
            p, to, true, [this, o](fake_host& h) { return stop(h, o); }, done);
    };
    out.throttle = [](const ports::runner_ref&,
                       const ports::throttle_order&,
                       const std::function<void(ports::runner_answer)>& done)
    {
        done({runner_verdict::done, -1});
    };
    out.poll = [this, &p](const ports::runner_ref& to,
                   const ports::poll_order& o,
                   const std::function<void(ports::poll_answer)>& done)
    {
        // A wait for an end is played as a look after the wait, or at the next end.
        const auto tell = [this, &p, to, o, done](ports::poll_answer first)
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
                    p, to, false, [this](fake_host& h) { return look(h); }, done);
            };
            if (auto* const h = at(to); h != nullptr && h->runner == to.id)
            {
                h->polls.push_back(again);
            }
            time_.after(o.wait, again);
        };
        call<ports::poll_answer>(
            p, to, false, [this, o](fake_host& h) { return poll(h, o); }, tell);
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
            p, [this, machine, pool] { return take_down(machine, pool); }, done);
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
            const auto verdict = take_down(machine, machines.at(machine).pool);
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

ports::machine_verdict hosts::take_down(const std::string& machine, const std::string& pool)
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
    time_.after(move_time, [this, machine] { begin_life(machines.at(machine)); });
    return ports::machine_verdict::done;
}

/// Orders of a dead or paused process are never carried out.
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
                          const std::string& text) -> core::result<coordinator::host_listing>
    {
        const auto first = text.find(' ');
        const auto second = text.find(' ', first + 1);
        const auto rest = second == std::string::npos ? "" : text.substr(second + 1);
        const auto third = rest.find(' ');
        const auto state = rest.substr(0, third);
        const auto room = read_room(third == std::string::npos ? "" : rest.substr(third + 1));
        if (first == 0 || (state != "ready" && state != "draining") || !room)
        {
            return core::error{core::error_code::invalid, "damaged runner entry"};
        }
        coordinator::host_listing h;
        h.pool = text.substr(0, first);
        h.ref = {id, text.substr(first + 1, second - first - 1), {}};
        h.draining = state == "draining";
        h.capacity = fake_host{}.capacity;
        h.capacity.cpu = *room;
        return h;
    };
    out.check_job_id = [](const std::string& id)
    {
        return id.find('.') == std::string::npos ? "" : "a job's id has no dot";
    };
    return out;
}

} // namespace camphorhitch::hosted_fakes
