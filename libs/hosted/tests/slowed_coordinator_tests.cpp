#include "handover_policy.hpp"
#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

namespace
{

/// Share of a core of a small entry host.
constexpr double node_processor_share = 0.25;
constexpr double slowdown_factor = 5;

/// Nodes with a share of a core each, and callers that submit jobs at a steady rate.
struct slowed_coordinator_simulation
{
    struct submitted_job
    {
        std::string id;
        core::mono_time at;
    };

    cluster c;
    std::vector<submitted_job> waiting;
    int submitted = 0;
    /// Time from a job's acceptance to its end, of the jobs accepted since counted_since.
    core::millis max_wait{0};
    core::mono_time counted_since;
    core::millis leaderless{0}; ///< time without a leader in submit_for()

    explicit slowed_coordinator_simulation(int nodes, double share = node_processor_share)
    {
        c.processor_share = share;
        c.hosts.behaviour.run_time = 300ms;
        for (int i = 0; i < 80; ++i)
        {
            c.hosts.add("p");
        }
        c.add_node();
        c.has_leader();
        for (int i = 1; i < nodes; ++i)
        {
            c.add_node();
        }
        c.time.run_for(3s);
    }

    void update_waits()
    {
        const auto now = c.time.now();
        const auto is_done = [&](const submitted_job& it)
        {
            const bool done = workflow::is_final(c.state_of(it.id));
            if (it.at >= counted_since)
            {
                max_wait = std::max(max_wait, std::chrono::ceil<core::millis>(now - it.at));
            }
            return done;
        };
        std::erase_if(waiting, is_done);
    }

    /// Submits a job of ten tasks every 100 ms.
    void submit_for(core::millis how_long)
    {
        constexpr core::millis each{100};
        const auto until = c.time.now() + how_long;
        while (c.time.now() < until)
        {
            waiting.push_back({"a" + std::to_string(++submitted), c.time.now()});
            c.put_job(c.make_job(waiting.back().id, 10));
            c.time.run_for(each);
            update_waits();
            leaderless += c.store.find(hosted::leader_key) == nullptr ? each : 0ms;
        }
    }

    /// Restricts max_wait to jobs that are accepted from now on.
    void reset_max_wait()
    {
        counted_since = c.time.now();
        max_wait = 0ms;
    }

    /// Continues to submit jobs, and checks that no job waits for long, no lease expires and no
    /// guarantee is broken.
    void expect_normal_service(core::millis how_long)
    {
        reset_max_wait();
        submit_for(how_long);
        CHECK(max_wait < 1s);
        LONGS_EQUAL(0, c.hosts.expired_runs);
        STRCMP_EQUAL("", c.breaches().c_str());
    }

    void slow(node& n) const
    {
        n.cpu->share = node_processor_share / slowdown_factor;
    }

    int count_lines(const std::string& what) const
    {
        int n = 0;
        for (const auto& it : c.nodes)
        {
            for (const auto& line : it.log.lines)
            {
                n += line.find(what) != std::string::npos ? 1 : 0;
            }
        }
        return n;
    }
};

} // namespace

TEST_GROUP(slowed_coordinator){};

// The coordinator's machine becomes five times slower, and the other nodes are healthy. The lease
// is renewed before all other work, so the node would remain the coordinator, read jobs seconds
// after their acceptance and order a fraction of the starts, and callers would wait beside nodes
// that could serve them.
TEST(slowed_coordinator, jobs_do_not_wait_for_a_slowed_node_beside_healthy_ones)
{
    slowed_coordinator_simulation w(5);
    w.submit_for(3s);
    CHECK(w.max_wait < 1s);
    w.slow(*w.c.leader());
    // Until the lag is distinguished from a passing one, and a successor has read the jobs.
    w.submit_for(4s);
    CHECK(w.max_wait < 4s);
    w.expect_normal_service(8s);
}

// The coordinator's machine slows down while work arrives; there is no other fault. All queues
// depend on this one node, so each second until another node decides costs every caller that
// second.
TEST(slowed_coordinator, a_healthy_successor_starts_work_within_a_second_of_the_slowdown)
{
    for (const double times : {5.0, 8.0})
    {
        slowed_coordinator_simulation w(5);
        w.submit_for(3s);
        auto& leader_node = *w.c.leader();
        leader_node.cpu->share = node_processor_share / times;
        const auto slow_since = w.c.time.now();
        const auto decides = [&]
        {
            const auto* const it = w.c.leader();
            return it != nullptr && it != &leader_node && it->log.has("start_ordered");
        };
        while (!decides() && w.c.time.now() < slow_since + 5s)
        {
            w.submit_for(100ms);
        }
        CHECK(w.c.time.now() - slow_since <= 1s);
        LONGS_EQUAL(1, w.count_lines("leadership_handed_over"));
        w.submit_for(1s);
        w.expect_normal_service(5s);
    }
}

// Two nodes slow down one after the other, each while it is the coordinator. Leadership must reach
// a healthy node, no later than each successor's minimum term allows.
TEST(slowed_coordinator, leadership_leaves_two_coordinators_that_slow_down_one_after_the_other)
{
    slowed_coordinator_simulation w(5);
    w.submit_for(3s);
    auto& first = *w.c.leader();
    w.slow(first);
    w.submit_for(3s);
    auto& second = *w.c.leader();
    CHECK(&second != &first);
    w.slow(second);
    w.submit_for(5s);
    CHECK(w.c.leader() != &first);
    CHECK(w.c.leader() != &second);
    w.expect_normal_service(5s);
    LONGS_EQUAL(2, w.count_lines("leadership_handed_over"));
}

// The calls that end the lease and report the handover are lost. The lease is no longer renewed and
// expires by itself, and no other node may lead before that.
TEST(slowed_coordinator, a_lost_handover_call_costs_the_lease)
{
    slowed_coordinator_simulation w(1);
    w.c.customize_node = [&](node& n)
    {
        n.ctx.store.end_lease = [](ports::lease_id, const auto& done)
        {
            done(ports::kv_status::unknown);
        };
    };
    auto& leader_node = w.c.add_node();
    w.c.nodes.front().process.dead = true;
    CHECK(w.c.time.run_until([&] { return w.c.leader() == &leader_node; }, 5s));
    w.c.customize_node = nullptr;
    w.c.add_node();
    w.submit_for(3s);
    w.slow(leader_node);
    w.submit_for(4s);
    CHECK(w.c.leader() != nullptr);
    CHECK(w.c.leader() != &leader_node);
    w.expect_normal_service(5s);
}

// As before, and all other nodes but one are slowed too. Leadership must not pass from one slowed
// node to the next, each of which would read all jobs for seconds first.
TEST(slowed_coordinator, a_healthy_node_leads_before_slowed_ones)
{
    slowed_coordinator_simulation w(9);
    for (auto& it : w.c.nodes)
    {
        w.slow(it);
    }
    auto& sound = w.c.nodes.back();
    sound.cpu->share = node_processor_share;
    w.submit_for(5s);
    CHECK(w.c.leader() == &sound);
    w.expect_normal_service(5s);
    LONGS_EQUAL(1, w.count_lines("leadership_handed_over"));
}

// All nodes are slowed, so no successor serves callers better, and each change of the coordinator
// costs a read of all jobs. The minimum term therefore increases with each handover, which allows
// only a few handovers per minute.
TEST(slowed_coordinator, slowed_nodes_hand_over_ever_more_rarely)
{
    slowed_coordinator_simulation w(5);
    for (auto& it : w.c.nodes)
    {
        w.slow(it);
    }
    w.submit_for(60s);
    CHECK(w.count_lines("leadership_handed_over") >= 1);
    CHECK(w.count_lines("leadership_handed_over") <= 5);
    CHECK(w.leaderless < 8s);
    LONGS_EQUAL(0, w.c.hosts.expired_runs);
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// The nodes have different processor shares, and a store outage has made the smallest node the
// coordinator during a wave of submissions. The lease is renewed before all other work, so without
// a handover the node would keep leading: it starts a fraction of the jobs that arrive, the waiting
// jobs make each plan more expensive, and callers wait indefinitely beside nodes with enough
// processor time for all of the work.
TEST(slowed_coordinator, a_backlog_on_the_smallest_node_goes_to_a_larger_one)
{
    slowed_coordinator_simulation w(1, 0.06);
    auto& small = w.c.nodes.front();
    CHECK(w.c.leader() == &small);
    w.c.processor_share = 0.5;
    auto& large = w.c.add_node();
    w.c.add_node();
    w.submit_for(6s);
    CHECK(w.c.leader() != &small);
    CHECK(w.c.leader()->cpu->share == large.cpu->share);
    w.expect_normal_service(6s);
    LONGS_EQUAL(1, w.count_lines("leadership_handed_over"));
}

// The smallest node is overloaded and all others are as small: a handover would not help.
TEST(slowed_coordinator, an_overloaded_node_among_equals_keeps_leading)
{
    slowed_coordinator_simulation w(3, 0.06);
    CHECK(w.c.leader() != nullptr);
    w.submit_for(10s);
    LONGS_EQUAL(0, w.count_lines("leadership_handed_over"));
}

// There is no other node. The only one must not leave the work without a coordinator for long or
// repeatedly.
TEST(slowed_coordinator, the_only_node_soon_leads_again)
{
    slowed_coordinator_simulation w(1);
    w.slow(*w.c.leader());
    w.submit_for(60s);
    CHECK(w.count_lines("leadership_handed_over") <= 5);
    CHECK(w.leaderless < 10s);
    LONGS_EQUAL(0, w.c.hosts.expired_runs);
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// A machine that is stopped for less than the lease is healthy afterwards: a change of the
// coordinator would cost more than the stall did.
TEST(slowed_coordinator, a_short_stall_is_no_cause_for_a_handover)
{
    slowed_coordinator_simulation w(3);
    for (int i = 0; i < 3; ++i)
    {
        w.c.leader()->cpu->stall_for(600ms);
        w.submit_for(4s);
    }
    LONGS_EQUAL(0, w.count_lines("leadership_lost"));
    LONGS_EQUAL(0, w.c.hosts.expired_runs);
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// A node whose network link is too slow for a page of jobs becomes the coordinator while all others
// are away. It would try the page again and again, start nothing, and renew its lease, while
// callers wait indefinitely beside nodes that could read the jobs.
TEST(slowed_coordinator, a_node_that_cannot_read_the_jobs_hands_over)
{
    slowed_coordinator_simulation w(1);
    w.c.customize_node = [&](node& n)
    {
        n.ctx.store.range = [&n, real = n.ctx.store.range](
                                const auto& prefix, const auto& after, const auto& done)
        {
            if (prefix == hosted::job_prefix)
            {
                n.ctx.time.after(1200ms,
                    [done] {
                        done({ports::kv_status::unknown, {}, false, 0});
                    });
                return;
            }
            real(prefix, after, done);
        };
    };
    auto& stuck = w.c.add_node();
    w.c.nodes.front().process.dead = true;
    CHECK(w.c.time.run_until([&] { return w.c.leader() == &stuck; }, 5s));
    w.c.customize_node = nullptr;
    w.c.add_node();
    w.submit_for(6s);
    CHECK(w.c.leader() != &stuck);
    w.reset_max_wait();
    w.submit_for(5s);
    CHECK(w.max_wait < 1s);
    LONGS_EQUAL(1, w.count_lines("leadership_handed_over"));
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// The coordinator hands over, or is fenced, while calls to runners are open. The relay pool learns
// of the end of the term and answers all of them as unknown, within that end. The parts of the term
// that made the calls are destroyed by then, and an answer that reached them would crash the
// process.
TEST(slowed_coordinator, answers_during_the_end_of_a_term_are_ignored)
{
    constexpr std::size_t max_kept = 5;
    for (const bool fenced : {false, true})
    {
        slowed_coordinator_simulation w(1);
        bool keep = false;
        std::vector<std::function<void(ports::poll_answer)>> kept;
        int answered = 0;
        w.c.customize_node = [&](node& n)
        {
            n.ctx.runners.poll = [&, real = n.ctx.runners.poll](
                                     const auto& to, const auto& o, const auto& done)
            {
                if (keep && kept.size() < max_kept && o.wait.count() > 0)
                {
                    kept.push_back(done);
                    return;
                }
                real(to, o, done);
            };
        };
        auto& leader_node = w.c.add_node();
        w.c.nodes.front().process.dead = true;
        CHECK(w.c.time.run_until([&] { return w.c.leader() == &leader_node; }, 5s));
        w.c.time.run_for(1s);
        w.c.on_lost = [&](node& n)
        {
            const auto before = n.log.lines.size();
            for (const auto& it : kept)
            {
                it({});
                ++answered;
            }
            LONGS_EQUAL(before, n.log.lines.size());
        };
        keep = true;
        w.c.time.run_for(900ms);
        if (fenced)
        {
            for (auto& [name, it] : w.c.hosts.machines)
            {
                it.fence = leader_node.lead->token() + 1;
            }
        }
        else
        {
            w.slow(leader_node);
        }
        w.submit_for(4s);
        CHECK(answered > 0);
        CHECK(w.count_lines(fenced ? "fenced by" : "handed over") > 0);
    }
}

TEST(slowed_coordinator, lag_counts_without_the_processor_or_beside_a_larger_share)
{
    using enum hosted::handover_cause;
    struct row
    {
        const char* what;
        hosted::lag_sample pace;
        hosted::handover_cause cause;
    };
    for (const auto& it : {
             row{"share not known", {0, 1000ms, 900ms, 10ms}, none},
             row{"in time", {0.25, 1000ms, 50ms, 10ms}, none},
             row{"late for a third", {0.25, 1000ms, 330ms, 10ms}, none},
             row{"overloaded", {0.25, 1000ms, 900ms, 240ms}, none},
             row{"overloaded, of a small share", {0.05, 1200ms, 1100ms, 55ms}, none},
             row{"overloaded under a quota", {0.25, 1000ms, 800ms, 250ms}, none},
             row{"five times slower", {0.25, 1000ms, 900ms, 48ms}, slowed},
             row{"five times slower, late for half", {0.5, 1000ms, 500ms, 60ms}, slowed},
             row{"overloaded beside a larger share", {0.12, 1000ms, 900ms, 120ms, 0.5}, overloaded},
             row{"overloaded beside a like share", {0.12, 1000ms, 900ms, 120ms, 0.15}, none},
             row{"in time beside a larger share", {0.12, 1000ms, 300ms, 120ms, 0.5}, none},
             row{"slowed beside a larger share", {0.25, 1000ms, 900ms, 48ms, 0.5}, slowed},
             row{"no time has passed", {0.25, 0ms, 0ms, 0ms}, none},
         })
    {
        CHECK_TEXT(it.cause == hosted::find_handover_cause(it.pace), it.what);
    }
}

TEST(slowed_coordinator, each_handover_requires_a_longer_term_of_the_next_coordinator)
{
    struct row
    {
        int late_spans;
        core::millis term;
        int recent_handovers;
        bool hands_over;
    };
    for (const auto& it : {row{0, 60s, 0, false},
             row{1, 60s, 0, false},
             row{2, 1s, 0, false},
             row{2, 2s, 0, true},
             row{2, 2s, 1, false},
             row{2, 3s, 1, true},
             row{5, 5s, 2, false},
             row{5, 6s, 2, true},
             row{50, 95s, 40, false},
             row{50, 96s, 40, true}})
    {
        CHECK_EQUAL(
            it.hands_over, hosted::should_hand_over({it.late_spans, it.term, it.recent_handovers}));
    }
}

TEST(slowed_coordinator, each_handover_gives_the_next_coordinator_more_time_to_read)
{
    struct row
    {
        int recent_handovers;
        core::millis within;
    };
    for (const auto& it :
        {row{-1, 4s}, row{0, 4s}, row{1, 8s}, row{2, 16s}, row{3, 16s}, row{60, 16s}})
    {
        CHECK(it.within == hosted::max_job_read_time(it.recent_handovers));
    }
}
