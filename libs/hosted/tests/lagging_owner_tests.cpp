#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

namespace
{

/// As much of a core for each host as a coordinator of some 350 hosts has with a quarter of one.
constexpr int hosts_of_the_fleet = 60;
constexpr double small_share = 0.05;

/// A fleet whose owner has a share of a core. Nothing fails but its own pace.
struct busy_world
{
    cluster c;
    std::vector<std::string> jobs;

    explicit busy_world(double share, int hosts = hosts_of_the_fleet)
    {
        c.share = share;
        c.hosts.told_counts_after = 100ms;
        for (int i = 0; i < hosts; ++i)
        {
            c.hosts.add("p");
        }
        c.add_node();
        c.add_node();
        c.has_leader();
        c.time.run_for(3s);
    }

    /// Hands in \p jobs_more jobs at once.
    void wave(int jobs_more, int tasks, int steps)
    {
        for (int i = 0; i < jobs_more; ++i)
        {
            jobs.push_back("a" + std::to_string(jobs.size()));
            c.put_job(c.make_job(jobs.back(), tasks, steps));
        }
    }

    std::size_t unfinished() const
    {
        return static_cast<std::size_t>(std::count_if(jobs.begin(),
            jobs.end(),
            [this](const auto& it) { return !workflow::is_final(c.state_of(it)); }));
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

// One poll gets no answer; all else is well. A runner's lease has to outlast that: the wait of the
// poll before, the pause after its news, the poll that fails, the pause after it, and the two polls
// that grant again (the first after a silence carries no lease).
void lose_one_poll(core::millis unanswered_for)
{
    cluster c;
    bool lose = false;
    int lost = 0;
    c.plant = [&](node& n)
    {
        const auto time = n.ctx.time;
        n.ctx.runners.poll = [&, time, real = n.ctx.runners.poll](
                                 const auto& to, const ports::poll_order& o, const auto& done)
        {
            const bool last_waited = o.wait.count() > 0;
            if (lose && last_waited)
            {
                lose = false;
                ++lost;
                time.after(unanswered_for, [done] { done({}); });
                return;
            }
            real(to, o, done);
        };
    };
    c.hosts.behaviour.run_time = 20s;
    c.hosts.add("p");
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    c.put_job(c.make_job("a", 1));
    c.time.run_for(5s);
    lose = true;
    c.time.run_for(8s);
    LONGS_EQUAL(1, lost);
    LONGS_EQUAL(0, c.hosts.lapsed);
    STRCMP_EQUAL("", c.breaches().c_str());
}

} // namespace

TEST_GROUP(lagging_owner){};

// Callers hand in more work than the owner's share of a core can start. All runners are well and
// answer at once. Renewals of the owner's own lease and polls wait behind hundreds of starts, and
// answers that lie unread count as silence: ownership changes again and again, no owner extends the
// runners' leases in time, and their runs end.
TEST(lagging_owner, a_wave_of_work_lapses_no_lease)
{
    busy_world w(small_share);
    w.c.hosts.behaviour.run_time = 3s;
    for (int i = 0; i < 5; ++i)
    {
        w.wave(12, 40, 1);
        w.c.time.run_for(1s);
    }
    w.c.time.run_until([&] { return w.unfinished() == 0; }, 60s);
    STRCMP_EQUAL("", w.c.breaches().c_str());
    LONGS_EQUAL(0, w.said("leadership_lost"));
    LONGS_EQUAL(0, w.c.hosts.lapsed);
    LONGS_EQUAL(0, w.unfinished());
}

// Writes of progress get no answer for seconds, so ends pile up unacknowledged at the runners, more
// than one answer lists. A run whose end is beyond the list is neither among the running nor among
// the ended: taken for one that never was, its task starts again, and its end counts later.
TEST(lagging_owner, ends_beyond_the_list_are_not_taken_for_missing_runs)
{
    cluster c;
    c.hosts.behaviour.run_time = 20ms;
    c.hosts.add("p");
    c.hosts.add("p");
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    c.store.answers_to_lose = 1000;
    for (int i = 0; i < 40; ++i)
    {
        c.put_job(c.make_job("a" + std::to_string(i), 100));
    }
    c.time.run_for(6s);
    c.store.answers_to_lose = 0;
    for (int i = 0; i < 40; ++i)
    {
        CHECK(c.ends("a" + std::to_string(i), job_state::completed, 20s));
    }
    STRCMP_EQUAL("", c.breaches().substr(0, 300).c_str());
    LONGS_EQUAL(4000, c.hosts.starts);
}

// As before, and nothing is stored when the owner dies. Its successor sees at its first look at a
// runner only the first of the ends; what it doesn't see there must not start again.
TEST(lagging_owner, a_successor_waits_for_the_whole_list_of_ends)
{
    cluster c;
    bool lost = false;
    c.plant = [&](node& n)
    {
        n.ctx.store.commit = [&, real = n.ctx.store.commit](const auto& t, const auto& done)
        {
            const bool progress = t.puts[0].key.starts_with(hosted::state_prefix);
            if (lost && progress)
            {
                done({ports::kv_status::unknown, 0, {}, false});
                return;
            }
            real(t, done);
        };
    };
    c.hosts.behaviour.run_time = 20ms;
    c.hosts.add("p");
    c.hosts.add("p");
    c.add_node();
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    lost = true;
    for (int i = 0; i < 40; ++i)
    {
        c.put_job(c.make_job("a" + std::to_string(i), 100));
    }
    c.time.run_for(3s);
    c.leader()->process.dead = true;
    c.time.run_for(3s);
    lost = false;
    for (int i = 0; i < 40; ++i)
    {
        CHECK(c.ends("a" + std::to_string(i), job_state::completed, 20s));
    }
    STRCMP_EQUAL("", c.breaches().substr(0, 300).c_str());
}

// As the client of this node gives the call up.
TEST(lagging_owner, one_lost_poll_lapses_no_lease)
{
    lose_one_poll(700ms + 700ms);
}

// As the pool of relays gives it up, when the relay lives and says nothing of it: the poll's wait,
// 1.1 s more, and a tick.
TEST(lagging_owner, one_poll_lost_at_a_relay_lapses_no_lease)
{
    lose_one_poll(700ms + 1100ms + 100ms);
}

// The owner gets no processor time just after a renewal has left, for longer than it may trust
// its lease, and shorter than the lease lasts at the store. The answer lies unread when it goes
// on: read, it says that the lease stands. Given up unread, all runners would be looked at
// anew.
TEST(lagging_owner, an_unread_answer_to_a_renewal_keeps_the_lease)
{
    cluster c;
    c.share = 1;
    bool stall = false;
    c.plant = [&](node& n)
    {
        n.ctx.store.keep_alive = [&, real = n.ctx.store.keep_alive](auto id, const auto& done)
        {
            real(id, done);
            if (std::exchange(stall, false))
            {
                c.time.after(1ms, [&n] { n.cpu->stand_still(1080ms); });
            }
        };
    };
    c.add_node();
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    auto& owner = *c.leader();
    const auto token = owner.lead->token();
    stall = true;
    c.time.run_for(5s);
    CHECK(!stall);
    CHECK(owner.lead->holds_lease());
    CHECK(token == owner.lead->token());
}

// As before, for longer than the lease lasts at the store: the answer to the next renewal ends
// the term, and nothing was ordered beside the successor.
TEST(lagging_owner, an_answer_that_the_lease_has_ended_ends_the_term)
{
    cluster c;
    c.share = 1;
    c.add_node();
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    auto& owner = *c.leader();
    const auto token = owner.lead->token();
    owner.cpu->stand_still(1500ms);
    c.time.run_for(1600ms);
    CHECK(!owner.lead->holds_lease());
    CHECK(c.has_leader());
    CHECK(token != c.leader()->lead->token());
}

// The owner is late by half a second just when a poll of a sound runner has run into its time-out:
// the answer may have lain unread. Taken for silence at once, the runner would be granted no lease.
// A second poll that fails is no silence either while the renewal beside it is answered; with that
// lost too, or with a poll that fails while the owner is in time, it is.
TEST(lagging_owner, its_own_delay_is_not_taken_for_silence)
{
    cluster c;
    c.share = 1;
    int to_lose = 0;
    c.plant = [&](node& n)
    {
        n.ctx.runners.poll = [&, real = n.ctx.runners.poll](
                                 const auto& to, const auto& o, const auto& done)
        {
            if (to_lose > 0)
            {
                --to_lose;
                n.ctx.time.after(300ms, [done] { done(ports::poll_answer{}); });
                return;
            }
            real(to, o, done);
        };
    };
    c.hosts.add("p");
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    auto& n = *c.leader();
    struct row
    {
        core::millis late;
        int lost;
        int silent; ///< times that the runner is taken for silent
    };
    for (const auto& it : {row{500ms, 1, 0}, row{500ms, 2, 0}, row{500ms, 3, 1}, row{0ms, 1, 1}})
    {
        n.log.lines.clear();
        to_lose = it.lost;
        CHECK(c.time.run_until([&] { return to_lose < it.lost; }, 2s));
        n.cpu->stand_still(it.late);
        c.time.run_for(2s);
        int silent = 0;
        for (const auto& line : n.log.lines)
        {
            silent += line.find("host_silent") != std::string::npos ? 1 : 0;
        }
        LONGS_EQUAL(it.silent, silent);
        c.time.run_for(2s);
    }
}

// Runners that are cut off hold more orders than the window lets out. Were they counted until
// their time-outs, work for runners that are well would wait behind them.
TEST(lagging_owner, orders_to_silent_runners_hold_nothing_up)
{
    cluster c;
    for (int i = 0; i < 20; ++i)
    {
        c.hosts.add("p");
    }
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    for (const int i : {1, 10, 11, 12, 13, 14, 15, 16, 17, 18})
    {
        c.hosts.cut("m" + std::to_string(i), 20s); // these come first in the order of ids
    }
    for (int i = 0; i < 20; ++i)
    {
        c.put_job(c.make_job("a" + std::to_string(i), 8));
    }
    const auto begun = c.hosts.starts;
    c.time.run_for(600ms);
    CHECK(c.hosts.starts - begun >= 80); // all that the sound half has room for
    STRCMP_EQUAL("", c.breaches().c_str());
}

// A maintenance order is due again just when the owner may not trust its lease; a moment later the
// answer to a renewal lets the term go on. Were the order dropped, the machine would keep its place
// in the wave for good, and the wave would never end.
TEST(lagging_owner, an_order_that_the_lease_does_not_cover_is_made_later)
{
    cluster c;
    core::millis ahead{0}; // the owner's boot clock jumps: its own bound has passed
    int asked = 0;
    c.plant = [&](node& n)
    {
        n.ctx.boot_now = [&]
        {
            return c.time.now() + ahead;
        };
        n.ctx.machines.maintain = [&, real = n.ctx.machines.maintain](
                                      const auto& m, auto wave, auto token, const auto& done)
        {
            if (++asked > 1)
            {
                real(m, wave, token, done);
                return;
            }
            c.time.after(1ms, [done] { done(ports::machine_verdict::unknown); });
            c.time.after(400ms, [&ahead] { ahead = 1200ms; });
        };
    };
    c.hosts.add("p");
    c.hosts.add("p");
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    c.leader()->driver->set_waves({{1, {"m1"}, 10s, 1}});
    const auto completed = [&]
    {
        const auto* const it = c.store.find("wave-status/1");
        return it != nullptr && it->value == "completed";
    };
    CHECK(c.time.run_until(completed, 15s));
    LONGS_EQUAL(1200, ahead.count());
    LONGS_EQUAL(2, asked);
}

// The owner's loop is late now and then, so runners with news are polled after longer pauses. One
// poll after such a pause gets no answer: the lease has to outlast that too.
TEST(lagging_owner, one_poll_lost_after_a_long_pause_lapses_no_lease)
{
    constexpr core::millis long_wait{500};
    constexpr core::millis unanswered_for{1400}; // a poll's wait and the client's slack
    cluster c;
    c.share = 1;
    bool lose = false;
    bool lose_next = false;
    int lost = 0;
    c.plant = [&](node& n)
    {
        const auto time = n.ctx.time;
        n.ctx.runners.poll = [&, time, real = n.ctx.runners.poll](
                                 const auto& to, const ports::poll_order& o, const auto& done)
        {
            if (lose_next)
            {
                lose_next = false;
                lose = false;
                ++lost;
                time.after(unanswered_for, [done] { done({}); });
                return;
            }
            const auto begun = time.now();
            real(to,
                o,
                [&, time, begun, done](const ports::poll_answer& it)
                {
                    lose_next = lose && !it.ended.empty() && time.now() - begun > long_wait;
                    done(it);
                });
        };
    };
    c.hosts.behaviour.run_time = 60s;
    c.hosts.add("p");
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    c.put_job(c.make_job("a", 1));
    c.time.run_for(1s);
    c.hosts.behaviour.run_time = 650ms;
    lose = true;
    for (int i = 0; i < 200; ++i)
    {
        constexpr core::millis each{150};
        c.nodes.front().cpu->stand_still(60ms);
        c.time.run_for(each);
        // Once the poll is lost no start renews the lease in its stead.
        if (i % 11 == 0 && !lose_next && lost == 0)
        {
            c.put_job(c.make_job("b" + std::to_string(i), 1));
        }
    }
    LONGS_EQUAL(1, lost);
    LONGS_EQUAL(0, c.hosts.lapsed);
    STRCMP_EQUAL("", c.breaches().c_str());
}
