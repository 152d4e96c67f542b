#include "hosted_fakes/cluster.hpp"
#include "log_lines.hpp"

#include <algorithm>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

namespace
{

/// A long-running task, of which each runner has ended many runs.
struct many_runs_fixture
{
    cluster c;

    many_runs_fixture()
    {
        for (int i = 0; i < 3; ++i)
        {
            c.hosts.add("p");
            c.add_node();
        }
        CHECK(c.has_leader());
        auto j = c.make_job("a", 1);
        j.steps[0].long_running = true;
        c.put_job(j);
        CHECK(c.time.run_until([&] { return c.running() == 1; }, 3s));
    }

    void end_runs(int runs)
    {
        for (auto& [name, h] : c.hosts.machines)
        {
            h.refused_through["a.0.0.0"] = runs;
        }
    }

    /// Ends the present run as failed.
    void fail_run()
    {
        for (auto& [name, h] : c.hosts.machines)
        {
            if (h.runs.empty())
            {
                continue;
            }
            const auto number = h.runs.begin()->second.number;
            h.ends.push_back({++h.last_end, "a.0.0.0", number, ports::run_end::failed, {}});
            h.ended_at[h.last_end] = c.time.now();
            h.runs.clear();
            const auto polls = std::exchange(h.polls, {});
            c.time.after(0ms,
                [polls]
                {
                    for (const auto& it : polls)
                    {
                        it();
                    }
                });
        }
    }
};

} // namespace

TEST_GROUP(take_over)
{
    cluster c;

    void begin(int nodes, int hosts)
    {
        for (int i = 0; i < hosts; ++i)
        {
            c.hosts.add("p");
        }
        for (int i = 0; i < nodes; ++i)
        {
            c.add_node();
        }
        CHECK(c.has_leader());
        c.time.run_for(1s);
    }

    workflow::job long_running_job(const std::string& id, int tasks)
    {
        auto j = c.make_job(id, tasks);
        j.steps[0].long_running = true;
        j.steps[0].max_unavailable = 1;
        return j;
    }
};

TEST(take_over, a_job_of_two_steps_runs_in_order_and_completes)
{
    begin(3, 2);
    c.put_job(c.make_job("a", 4, 2));
    CHECK(c.ends("a", job_state::completed, 3s));
    LONGS_EQUAL(8, c.hosts.starts);
    STRCMP_EQUAL("", c.breaches().c_str());
}

// The coordinator's process dies while jobs run. The jobs still complete: the successor finds the
// runs on the runners, and starts nothing that is running or has ended.
TEST(take_over, a_successor_continues_without_running_anything_twice)
{
    begin(3, 2);
    for (int i = 0; i < 5; ++i)
    {
        c.put_job(c.make_job("a" + std::to_string(i), 3, 2));
    }
    c.time.run_for(300ms);
    c.leader()->process.dead = true;
    for (int i = 0; i < 5; ++i)
    {
        CHECK(c.ends("a" + std::to_string(i), job_state::completed, 10s));
    }
    STRCMP_EQUAL("", c.breaches().c_str());
    LONGS_EQUAL(30, c.hosts.starts);
}

// More jobs have stored progress than fit into one page of a range read. A successor that read the
// first page again and again would never start anything, and callers would wait indefinitely.
TEST(take_over, progress_on_several_pages_is_read_whole)
{
    c.store.page_size = 3;
    begin(2, 2);
    for (int i = 0; i < 8; ++i)
    {
        c.put_job(c.make_job("a" + std::to_string(i), 1));
    }
    for (int i = 0; i < 8; ++i)
    {
        CHECK(c.ends("a" + std::to_string(i), job_state::completed, 5s));
    }
    c.leader()->process.dead = true;
    c.put_job(c.make_job("b", 2));
    CHECK(c.ends("b", job_state::completed, 8s));
    LONGS_EQUAL(10, c.hosts.starts);
    STRCMP_EQUAL("", c.breaches().c_str());
}

// The coordinator dies while a runner is cut off with a task that its lease still allows to run.
// The task may start elsewhere only once that lease has certainly ended, and must start then.
TEST(take_over, a_task_on_an_unresponsive_runner_starts_elsewhere_after_its_lease)
{
    begin(2, 2);
    c.hosts.behaviour.run_time = 3s;
    c.put_job(c.make_job_on_each("a", 2));
    c.time.run_for(500ms);
    c.hosts.cut("m1", 20s);
    c.leader()->process.dead = true;
    CHECK(c.ends("a", job_state::completed, 15s));
    STRCMP_EQUAL("", c.breaches().c_str());
    LONGS_EQUAL(3, c.hosts.starts);
}

// A runner leaves for good while polls to it continue. If each unanswered poll extended the lease
// that the runner may have, its leases would never end and its tasks would never run again.
TEST(take_over, a_task_of_a_runner_that_left_runs_again)
{
    begin(1, 2);
    c.put_job(long_running_job("a", 2));
    c.time.run_for(1s);
    LONGS_EQUAL(2, c.running());
    const auto before = c.hosts.starts;
    c.hosts.crash("m1", 600s);
    CHECK(c.time.run_until([&] { return c.hosts.starts > before; }, 6s));
    STRCMP_EQUAL("", c.breaches().c_str());
}

// The store removes the leader key and does not show it in the answer to any request. The previous
// coordinator must detect the loss by itself, and the two coordinators together must run nothing
// twice.
TEST(take_over, a_revoked_key_hands_the_work_over)
{
    begin(3, 3);
    for (int i = 0; i < 6; ++i)
    {
        c.put_job(c.make_job("a" + std::to_string(i), 3, 2));
    }
    c.time.run_for(200ms);
    const auto previous = c.leader()->lead->token();
    c.store.revoke(hosted::leader_key);
    const auto handed_over = [&]
    {
        return c.leader() != nullptr && c.leader()->lead->token() != previous;
    };
    CHECK(c.time.run_until(handed_over, 5s));
    for (int i = 0; i < 6; ++i)
    {
        CHECK(c.ends("a" + std::to_string(i), job_state::completed, 10s));
    }
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Guards against a task that stays down because its runs were many in the term before.
TEST(take_over, a_task_is_started_again_however_many_runs_it_had)
{
    for (const int runs : {10, 1500, 100'000})
    {
        many_runs_fixture f;
        f.end_runs(runs);
        f.c.leader()->process.dead = true;
        CHECK(f.c.has_leader());
        f.c.time.run_for(1s);
        f.fail_run();
        const auto text = std::to_string(runs);
        CHECK_TEXT(f.c.time.run_until([&] { return f.c.running() == 1; }, 4s), text.c_str());
        STRCMP_EQUAL("", f.c.breaches().c_str());
    }
}

// The store removes the leader key, and the coordinator is slow to learn of it because its lease is
// still renewed. A successor creates the key, and a caller submits a job, which both nodes receive
// immediately. The successor may start the job, since no previous coordinator can have started it.
// A runner that has not been polled by the successor yet would accept the same task from the
// previous coordinator, and the task would run twice.
TEST(take_over, a_previous_coordinator_does_not_start_jobs_accepted_after_the_change)
{
    node* slow_to_learn = nullptr;
    core::millis first_runner_late{0};
    c.customize_node = [&](node& n)
    {
        const auto watch = n.ctx.store.watch;
        n.ctx.store.watch = [&, watch](const std::string& prefix, auto after, auto wait, auto done)
        {
            const auto late = [&, prefix, done](const ports::changes_read& read)
            {
                const bool slow = &n == slow_to_learn && prefix == hosted::leader_prefix;
                n.ctx.time.after(slow ? 900ms : 0ms, [done, read] { done(read); });
            };
            watch(prefix, after, wait, late);
        };
        const auto poll = n.ctx.runners.poll;
        n.ctx.runners.poll = [&, poll](const auto& to, const auto& order, const auto& done)
        {
            const bool slow = &n != slow_to_learn && to.address == "10.0.0.1:80";
            n.ctx.time.after(slow ? first_runner_late : 0ms, [=] { poll(to, order, done); });
        };
    };
    begin(2, 2);
    slow_to_learn = c.leader();
    first_runner_late = 300ms;
    c.store.revoke(hosted::leader_key);
    const auto has_successor = [&]
    {
        return std::any_of(c.nodes.begin(),
            c.nodes.end(),
            [&](const node& n) { return &n != slow_to_learn && n.lead->holds_lease(); });
    };
    CHECK(c.time.run_until(has_successor, 2s));
    c.put_job(c.make_job("a", 1));
    CHECK(c.ends("a", job_state::completed, 5s));
    STRCMP_EQUAL("", c.breaches().c_str());
    LONGS_EQUAL(1, c.hosts.starts);
}

// The coordinator dies with many open jobs, and its successor needs 1.5 s to read them. The
// runners' leases end within 2.5 s of the latest grant. If they were renewed only after all jobs
// are read, tasks on healthy runners would end, more at a time than their jobs allow.
TEST(take_over, leases_outlive_a_long_read_of_jobs)
{
    core::millis reading{0};
    c.customize_node = [&](node& n)
    {
        const auto range = n.ctx.store.range;
        n.ctx.store.range = [&, range](const std::string& prefix, const auto& after, auto done)
        {
            const auto wait = prefix == hosted::job_prefix ? reading : 0ms;
            n.ctx.time.after(wait, [=] { range(prefix, after, done); });
        };
    };
    begin(2, 4);
    c.put_job(long_running_job("a", 4));
    c.time.run_for(1s);
    LONGS_EQUAL(4, c.running());
    reading = 1500ms;
    c.leader()->process.dead = true;
    CHECK(c.has_leader());
    c.time.run_for(5s);
    LONGS_EQUAL(0, c.hosts.expired_runs);
    LONGS_EQUAL(4, c.running());
    LONGS_EQUAL(4, c.hosts.starts);
    STRCMP_EQUAL("", c.breaches().c_str());
}

// A paused coordinator resumes beside its successor and still has orders to send. Runners refuse
// its fencing token, and it steps down by its own clock.
TEST(take_over, a_resumed_coordinator_runs_nothing_twice)
{
    begin(2, 2);
    c.put_job(c.make_job("a", 4, 3));
    c.time.run_for(150ms);
    auto* const previous = c.leader();
    previous->process.paused = true;
    CHECK(c.time.run_until([&] { return c.leader() != nullptr; }, 5s));
    c.time.run_for(200ms);
    c.time.resume(previous->process);
    CHECK(c.ends("a", job_state::completed, 8s));
    CHECK(!previous->lead->holds_lease());
    STRCMP_EQUAL("", c.breaches().c_str());
}

// The answer to a write of progress is lost, though the write took effect. The next write finds a
// newer revision than expected; the coordinator must continue from that revision and not treat
// itself as fenced.
TEST(take_over, a_lost_answer_of_the_store_loses_no_progress)
{
    begin(1, 2);
    c.put_job(c.make_job("a", 4, 2));
    c.store.answers_to_lose = 3;
    CHECK(c.ends("a", job_state::completed, 10s));
    STRCMP_EQUAL("", c.breaches().c_str());
    LONGS_EQUAL(8, c.hosts.starts);
}

// A start order gets no answer and is carried out seconds later. The task must not run elsewhere
// before the runner has promised to refuse that order.
TEST(take_over, late_orders_run_nothing_twice)
{
    begin(1, 3);
    c.hosts.late_order_share = 0.3;
    for (int i = 0; i < 10; ++i)
    {
        c.put_job(c.make_job("a" + std::to_string(i), 3));
    }
    for (int i = 0; i < 10; ++i)
    {
        CHECK(c.ends("a" + std::to_string(i), job_state::completed, 30s));
    }
    STRCMP_EQUAL("", c.breaches().c_str());
}

// A task that always fails ends its job after its maximum attempts, even if the coordinator dies
// between reading a failed end and acknowledging it: no end counts twice.
TEST(take_over, attempts_are_counted_once_across_terms)
{
    begin(2, 2);
    c.hosts.behaviour.failure_share = 1;
    c.put_job(c.make_job("a", 1));
    c.time.run_until([&] { return c.hosts.starts == 2; }, 5s);
    c.leader()->process.dead = true;
    CHECK(c.ends("a", job_state::failed, 10s));
    LONGS_EQUAL(3, c.hosts.starts);
    STRCMP_EQUAL("", c.breaches().c_str());
}

// A task fails on one host after the other while nothing can be stored, and then its coordinator
// loses its lease. The successor reads the ends from the runners in any order. If it took one of
// them for a repeat, the task would start once more than allowed.
TEST(take_over, failed_ends_count_in_any_order)
{
    begin(2, 4);
    c.hosts.behaviour = {100ms, 1};
    c.leader()->process.store_cut = true;
    c.put_job(c.make_job("a", 3)); // the job is read by the successor only
    c.time.run_for(4s);
    for (int i = 0; i < 6; ++i)
    {
        const auto id = "b" + std::to_string(i);
        c.put_job(c.make_job(id, 4));
        c.time.run_for(40ms);
        c.store.busy = true;
        c.time.run_for(900ms);
        c.store.busy = false;
        if (auto* const n = c.leader())
        {
            n->process.dead = true;
        }
        c.add_node();
        CHECK(c.ends(id, job_state::failed, 10s));
    }
    STRCMP_EQUAL("", c.breaches().c_str());
}

// A wave reaches a host just after a takeover, before the host was polled for its runs. If the host
// were taken down then, two tasks of a step that allows one unavailable task would end.
TEST(take_over, a_host_not_polled_since_the_takeover_is_not_maintained)
{
    begin(2, 1);
    c.put_job(long_running_job("a", 2));
    c.time.run_for(1s);
    LONGS_EQUAL(2, c.running());
    c.hosts.add("p");
    c.time.run_for(1s);
    for (auto& it : c.nodes)
    {
        it.driver->set_waves({{1, {"m1"}, 10s, 1}});
    }
    c.leader()->process.dead = true;
    std::size_t least = 2;
    c.time.run_until(
        [&]
        {
            least = std::min(least, c.running());
            return c.store.find("wave-status/1") != nullptr &&
                   c.store.find("wave-status/1")->value == "completed";
        },
        15s);
    LONGS_EQUAL(1, least); // one at a time
    STRCMP_EQUAL("completed", c.store.find("wave-status/1")->value.c_str());
    STRCMP_EQUAL("", c.breaches().c_str());
}

// The coordinator dies during a wave with time to spare. Its successor counts the wave's time from
// the request: counted from the takeover, the wave would end late.
TEST(take_over, a_wave_keeps_its_due_time_across_terms)
{
    begin(2, 3);
    c.put_job(long_running_job("a", 2));
    c.time.run_for(1s);
    const auto due = c.time.passed_ms() + 16000;
    for (auto& it : c.nodes)
    {
        it.driver->set_waves({{1, {"m1", "m2", "m3"}, 16s, 1}});
    }
    c.time.run_for(1s);
    c.leader()->process.dead = true;
    const auto completed = [this]
    {
        const auto* const it = c.store.find("wave-status/1");
        return it != nullptr && it->value == "completed";
    };
    CHECK(c.time.run_until(completed, 30s));
    CHECK(c.time.passed_ms() <= due);
    STRCMP_EQUAL("", c.breaches().c_str());
}

// A cancel is stored while there is no coordinator. The successor stops the running tasks of the
// job.
TEST(take_over, a_cancel_stops_running_tasks_after_a_takeover)
{
    begin(2, 2);
    c.put_job(long_running_job("a", 3));
    c.time.run_for(1s);
    LONGS_EQUAL(3, c.running());
    c.leader()->process.dead = true;
    c.store.put(hosted::cancel_key("a"), "1");
    CHECK(c.time.run_until([&] { return c.running() == 0; }, 4s));
    CHECK(c.ends("a", job_state::cancelled, 2s));
}

// A new coordinator reads its own key and term before the answer to their write arrives. If the
// term were counted twice, the next coordinator would use the same term, runners would take its
// runs for those that they have seen, and callers' tasks would not start.
TEST(take_over, each_coordinator_has_its_own_term)
{
    c.customize_node = [this](node& n)
    {
        n.ctx.store.commit = [this, real = n.ctx.store.commit](const auto& t, const auto& done)
        {
            const bool bids = !t.puts.empty() && t.puts[0].key == hosted::leader_key;
            const auto read_first = [this, bids, done](const ports::commit_result& it)
            {
                if (!bids)
                {
                    done(it);
                    return;
                }
                c.store.put("x", "1");
                c.store.compact(); // makes the followers read all keys again
                c.time.after(100ms, [done, it] { done(it); });
            };
            real(t, read_first);
        };
    };
    begin(4, 1);
    for (int i = 0; i < 3; ++i)
    {
        c.leader()->process.dead = true;
        CHECK(c.has_leader());
        const auto log_line = lines_of(*c.leader(), "leadership_gained").back();
        STRCMP_EQUAL(c.store.find(hosted::leader_term_key)->value.c_str(),
            value_in(log_line, "term").c_str());
    }
}

// Failure: the link of a successor is full, so that it hears no runner for longer than a lease, and
// then one runner shortly before the others. Guards against taking the others for lost: their tasks
// have ended in time and would run twice.
TEST(take_over, a_successor_that_hears_no_runner_starts_nothing_again)
{
    constexpr core::millis call_timeout{700};
    std::optional<core::mono_time> first_heard_at;
    c.customize_node = [&](node& n)
    {
        n.ctx.runners.poll = [&, real = n.ctx.runners.poll](
                                 const auto& to, const auto& order, const auto& done)
        {
            const auto sent_at = c.time.now();
            const bool first = c.hosts.incarnation_of("m1") == to.id;
            const auto heard_at = first_heard_at.value_or(sent_at) + (first ? 0ms : 100ms);
            const auto deliver = [&, sent_at, heard_at, done](const ports::poll_answer& it)
            {
                const bool lost = heard_at > sent_at + call_timeout;
                const auto at = lost ? sent_at + call_timeout : heard_at;
                const auto answer = lost ? ports::poll_answer{} : it;
                c.time.after(
                    std::chrono::ceil<core::millis>(std::max(at - c.time.now(), core::micros{0})),
                    [done, answer] { done(answer); });
            };
            real(to, order, deliver);
        };
    };
    begin(2, 4);
    for (int i = 0; i < 5; ++i)
    {
        c.put_job(c.make_job("a" + std::to_string(i), 3, 2));
    }
    c.time.run_for(200ms);
    const auto started = c.hosts.starts;
    CHECK(started > 0);
    c.leader()->process.dead = true;
    first_heard_at = c.time.now() + 8s;
    CHECK(c.time.run_until([&] { return c.time.now() > *first_heard_at; }, 10s));
    for (int i = 0; i < 5; ++i)
    {
        CHECK(c.ends("a" + std::to_string(i), job_state::completed, 10s));
    }
    LONGS_EQUAL(30, c.hosts.starts);
    STRCMP_EQUAL("", c.breaches().c_str());
}
