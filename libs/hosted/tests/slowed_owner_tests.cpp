#include "hosted_fakes/cluster.hpp"
#include "owner_pace.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

namespace
{

/// As much of a core as a small entry host has.
constexpr double share_of_a_node = 0.25;
constexpr double times_slower = 5;

/// Nodes that have a share of a core each, and callers that hand in jobs at a steady pace.
struct slowed_world
{
    struct handed_in
    {
        std::string id;
        core::mono_time at;
    };

    cluster c;
    std::vector<handed_in> waiting;
    int count = 0;
    core::millis longest{0}; ///< from a job's acceptance to its end, of those since then
    core::mono_time since;
    core::millis leaderless{0}; ///< in serve()

    explicit slowed_world(int nodes, double share = share_of_a_node)
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

    void look()
    {
        const auto now = c.time.now();
        const auto is_done = [&](const handed_in& it)
        {
            const bool done = workflow::is_final(c.state_of(it.id));
            if (it.at >= since)
            {
                longest = std::max(longest, std::chrono::ceil<core::millis>(now - it.at));
            }
            return done;
        };
        std::erase_if(waiting, is_done);
    }

    /// Each tenth of a second a job of ten tasks.
    void serve(core::millis how_long)
    {
        constexpr core::millis each{100};
        const auto until = c.time.now() + how_long;
        while (c.time.now() < until)
        {
            waiting.push_back({"a" + std::to_string(++count), c.time.now()});
            c.put_job(c.make_job(waiting.back().id, 10));
            c.time.run_for(each);
            look();
            leaderless += c.store.find(hosted::leader_key) == nullptr ? each : 0ms;
        }
    }

    /// From now on only jobs that are accepted later count.
    void count_anew()
    {
        since = c.time.now();
        longest = 0ms;
    }

    /// Serves on, and expects that no job waits for long, no lease lapses and no promise breaks.
    void expect_calm(core::millis how_long)
    {
        count_anew();
        serve(how_long);
        CHECK(longest < 1s);
        LONGS_EQUAL(0, c.hosts.expired_runs);
        STRCMP_EQUAL("", c.breaches().c_str());
    }

    void slow(node& n) const
    {
        n.cpu->share = share_of_a_node / times_slower;
    }

    int said(const std::string& what) const
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

TEST_GROUP(slowed_owner){};

// The machine of the node that coordinates turns five times slower, and the other nodes are well.
// Its lease is renewed before all else, so it keeps the lead: it reads jobs seconds after their
// acceptance, orders a fraction of the starts, and callers wait beside nodes that could serve them.
TEST(slowed_owner, jobs_do_not_wait_for_a_slowed_node_beside_sound_ones)
{
    slowed_world w(5);
    w.serve(3s);
    CHECK(w.longest < 1s);
    w.slow(*w.c.leader());
    w.serve(4s); // until the delay is told from a passing one, and a successor has read the jobs
    CHECK(w.longest < 4s);
    w.expect_calm(8s);
}

// The owner's machine turns slow while work comes in; nothing else is wrong. All queues wait for
// the one node, so each second until another decides costs every caller that second.
TEST(slowed_owner, a_sound_successor_starts_work_within_a_second_of_the_first_slow_moment)
{
    for (const double times : {5.0, 8.0})
    {
        slowed_world w(5);
        w.serve(3s);
        auto& owner = *w.c.leader();
        owner.cpu->share = share_of_a_node / times;
        const auto slow_since = w.c.time.now();
        const auto decides = [&]
        {
            const auto* const it = w.c.leader();
            return it != nullptr && it != &owner && it->log.has("start_ordered");
        };
        while (!decides() && w.c.time.now() < slow_since + 5s)
        {
            w.serve(100ms);
        }
        CHECK(w.c.time.now() - slow_since <= 1s);
        LONGS_EQUAL(1, w.said("leadership_handed_over"));
        w.serve(1s);
        w.expect_calm(5s);
    }
}

// Two nodes turn slow in turn, each while it leads: the lead must end at a sound one, and no later
// than each successor's shortest term allows.
TEST(slowed_owner, the_lead_leaves_two_owners_that_turn_slow_in_turn)
{
    slowed_world w(5);
    w.serve(3s);
    auto& first = *w.c.leader();
    w.slow(first);
    w.serve(3s);
    auto& second = *w.c.leader();
    CHECK(&second != &first);
    w.slow(second);
    w.serve(5s);
    CHECK(w.c.leader() != &first);
    CHECK(w.c.leader() != &second);
    w.expect_calm(5s);
    LONGS_EQUAL(2, w.said("leadership_handed_over"));
}

// The calls that end the lease and tell of the hand-over are lost on the way: the lease, renewed no
// more, ends by itself, and nobody else may lead before.
TEST(slowed_owner, a_hand_over_that_is_lost_on_the_way_costs_the_lease)
{
    slowed_world w(1);
    w.c.customize_node = [&](node& n)
    {
        n.ctx.store.end_lease = [](ports::lease_id, const auto& done)
        {
            done(ports::kv_status::unknown);
        };
    };
    auto& owner = w.c.add_node();
    w.c.nodes.front().process.dead = true;
    CHECK(w.c.time.run_until([&] { return w.c.leader() == &owner; }, 5s));
    w.c.customize_node = nullptr;
    w.c.add_node();
    w.serve(3s);
    w.slow(owner);
    w.serve(4s);
    CHECK(w.c.leader() != nullptr);
    CHECK(w.c.leader() != &owner);
    w.expect_calm(5s);
}

// As before, and all other nodes but one are slowed too. The lead must not go from one slowed node
// to the next, each of which reads all jobs for seconds first.
TEST(slowed_owner, a_sound_node_comes_before_slowed_ones)
{
    slowed_world w(9);
    for (auto& it : w.c.nodes)
    {
        w.slow(it);
    }
    auto& sound = w.c.nodes.back();
    sound.cpu->share = share_of_a_node;
    w.serve(5s);
    CHECK(w.c.leader() == &sound);
    w.expect_calm(5s);
    LONGS_EQUAL(1, w.said("leadership_handed_over"));
}

// All nodes are slowed, so no successor serves callers better, and each change of owner costs the
// reading of all jobs. Terms that end so become longer: a few in a minute.
TEST(slowed_owner, slowed_nodes_hand_over_ever_more_seldom)
{
    slowed_world w(5);
    for (auto& it : w.c.nodes)
    {
        w.slow(it);
    }
    w.serve(60s);
    CHECK(w.said("leadership_handed_over") >= 1);
    CHECK(w.said("leadership_handed_over") <= 5);
    CHECK(w.leaderless < 8s);
    LONGS_EQUAL(0, w.c.hosts.expired_runs);
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// Shares of a processor differ, and the store's trouble has let the smallest node take the lead
// amid a wave of submissions. Its lease is renewed before all else, so without a hand-over it would
// lead on: it starts a fraction of what comes, what waits makes each plan dearer, and callers wait
// for the rest of the day beside nodes that have the processor for all of it.
TEST(slowed_owner, a_backlog_on_the_smallest_node_goes_to_a_larger_one)
{
    slowed_world w(1, 0.06);
    auto& small = w.c.nodes.front();
    CHECK(w.c.leader() == &small);
    w.c.processor_share = 0.5;
    auto& large = w.c.add_node();
    w.c.add_node();
    w.serve(6s);
    CHECK(w.c.leader() != &small);
    CHECK(w.c.leader()->cpu->share == large.cpu->share);
    w.expect_calm(6s);
    LONGS_EQUAL(1, w.said("leadership_handed_over"));
}

// The smallest node is overloaded, and all others are as small: no hand-over helps.
TEST(slowed_owner, an_overloaded_node_among_equals_leads_on)
{
    slowed_world w(3, 0.06);
    CHECK(w.c.leader() != nullptr);
    w.serve(10s);
    LONGS_EQUAL(0, w.said("leadership_handed_over"));
}

// There is no other node. The only one must not leave the work alone for long, or again and again.
TEST(slowed_owner, the_only_node_soon_leads_again)
{
    slowed_world w(1);
    w.slow(*w.c.leader());
    w.serve(60s);
    CHECK(w.said("leadership_handed_over") <= 5);
    CHECK(w.leaderless < 10s);
    LONGS_EQUAL(0, w.c.hosts.expired_runs);
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// A machine that is stopped for less than its lease lasts is well afterwards: a change of owner
// would cost more than the wait did.
TEST(slowed_owner, a_short_stop_is_no_cause)
{
    slowed_world w(3);
    for (int i = 0; i < 3; ++i)
    {
        w.c.leader()->cpu->stall_for(600ms);
        w.serve(4s);
    }
    LONGS_EQUAL(0, w.said("leadership_lost"));
    LONGS_EQUAL(0, w.c.hosts.expired_runs);
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// A node whose link is too slow for a page of jobs has taken the lead while all others were away.
// It tries the page again and again, starts nothing, and renews its lease: callers wait for ever
// beside nodes that could read the jobs.
TEST(slowed_owner, a_node_that_can_not_read_the_jobs_lets_another_try)
{
    slowed_world w(1);
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
    w.serve(6s);
    CHECK(w.c.leader() != &stuck);
    w.count_anew();
    w.serve(5s);
    CHECK(w.longest < 1s);
    LONGS_EQUAL(1, w.said("leadership_handed_over"));
    STRCMP_EQUAL("", w.c.breaches().c_str());
}

// The owner leaves of itself, or is fenced, while calls to runners are under way. The pool of
// relays hears of the term's end and answers them all as unknown, inside that end: the parts that
// asked are gone by then, and an answer that reached them would end the process.
TEST(slowed_owner, answers_that_come_within_the_end_of_a_term_reach_nobody)
{
    constexpr std::size_t most_kept = 5;
    for (const bool fenced : {false, true})
    {
        slowed_world w(1);
        bool keep = false;
        std::vector<std::function<void(ports::poll_answer)>> kept;
        int answered = 0;
        w.c.customize_node = [&](node& n)
        {
            n.ctx.runners.poll = [&, real = n.ctx.runners.poll](
                                     const auto& to, const auto& o, const auto& done)
            {
                if (keep && kept.size() < most_kept && o.wait.count() > 0)
                {
                    kept.push_back(done);
                    return;
                }
                real(to, o, done);
            };
        };
        auto& owner = w.c.add_node();
        w.c.nodes.front().process.dead = true;
        CHECK(w.c.time.run_until([&] { return w.c.leader() == &owner; }, 5s));
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
                it.fence = owner.lead->token() + 1;
            }
        }
        else
        {
            w.slow(owner);
        }
        w.serve(4s);
        CHECK(answered > 0);
        CHECK(w.said(fenced ? "fenced by" : "handed over") > 0);
    }
}

TEST(slowed_owner, being_late_counts_without_the_processor_or_beside_a_larger_share)
{
    using enum hosted::hand_over_cause;
    struct row
    {
        const char* what;
        hosted::owner_pace pace;
        hosted::hand_over_cause cause;
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
        CHECK_TEXT(it.cause == hosted::cause_of(it.pace), it.what);
    }
}

TEST(slowed_owner, each_hand_over_asks_a_longer_term_of_the_next_owner)
{
    struct row
    {
        int late_spans;
        core::millis term;
        int hand_overs;
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
            it.hands_over, hosted::should_hand_over({it.late_spans, it.term, it.hand_overs}));
    }
}

TEST(slowed_owner, each_hand_over_gives_the_next_owner_more_time_to_read)
{
    struct row
    {
        int hand_overs;
        core::millis within;
    };
    for (const auto& it :
        {row{-1, 4s}, row{0, 4s}, row{1, 8s}, row{2, 16s}, row{3, 16s}, row{60, 16s}})
    {
        CHECK(it.within == hosted::time_to_read(it.hand_overs));
    }
}
