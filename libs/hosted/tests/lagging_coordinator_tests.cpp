#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

namespace
{

/// Share of a core, as much per host as a coordinator of some 350 hosts has with a quarter of a
/// core.
constexpr int fleet_hosts = 60;
constexpr double processor_share = 0.05;

/// A fleet whose coordinator has a small share of a core. Its slowness is the only fault.
struct busy_fixture
{
    cluster c;
    std::vector<std::string> jobs;

    explicit busy_fixture(double share, int hosts = fleet_hosts)
    {
        c.processor_share = share;
        c.hosts.reported_end_binding_after = 100ms;
        for (int i = 0; i < hosts; ++i)
        {
            c.hosts.add("p");
        }
        c.add_node();
        c.add_node();
        c.has_leader();
        c.time.run_for(3s);
    }

    /// Submits \p count jobs at once.
    void submit_jobs(int count, int tasks, int steps)
    {
        for (int i = 0; i < count; ++i)
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

    int count_lines_with(const std::string& what) const
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

// Loses the answer to one poll; nothing else fails. A runner's lease has to outlast the wait of the
// poll before, the delay after its answer, the poll that fails, the delay after that, and the two
// polls until a lease is granted again (the first poll of an unresponsive runner grants none).
void lose_one_poll(core::millis unanswered_for)
{
    cluster c;
    bool lose = false;
    int lost = 0;
    c.customize_node = [&](node& n)
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
    LONGS_EQUAL(0, c.hosts.expired_runs);
    STRCMP_EQUAL("", c.breaches().c_str());
}

} // namespace

TEST_GROUP(lagging_coordinator){};

// Callers submit more work than the coordinator's share of a core can start. All runners are
// healthy and answer at once. Guards against renewals of the leader lease and polls that wait
// behind hundreds of starts, and against unread answers that count as missing: the lead would
// change repeatedly, no coordinator would extend the runners' leases in time, and their runs would
// end.
TEST(lagging_coordinator, a_burst_of_work_expires_no_lease)
{
    busy_fixture f(processor_share);
    f.c.hosts.behaviour.run_time = 3s;
    for (int i = 0; i < 5; ++i)
    {
        f.submit_jobs(12, 40, 1);
        f.c.time.run_for(1s);
    }
    f.c.time.run_until([&] { return f.unfinished() == 0; }, 60s);
    STRCMP_EQUAL("", f.c.breaches().c_str());
    LONGS_EQUAL(0, f.count_lines_with("leadership_lost"));
    LONGS_EQUAL(0, f.c.hosts.expired_runs);
    LONGS_EQUAL(0, f.unfinished());
}

// Writes of progress get no answer for seconds, so more unacknowledged ends accumulate at the
// runners than one answer lists. A run whose end is beyond the list is neither among the running
// nor among the ended runs. Guards against taking it for a run that never started: its task would
// start again, and its end would count later.
TEST(lagging_coordinator, ends_beyond_the_list_are_not_taken_for_missing_runs)
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

// As before, and no progress is stored when the coordinator dies. The first answer of a runner to
// its successor lists only the first of the ends; the tasks of the other ends must not start again.
TEST(lagging_coordinator, a_successor_waits_for_the_whole_list_of_ends)
{
    cluster c;
    bool lost = false;
    c.customize_node = [&](node& n)
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

// The time after which this node's client fails the call.
TEST(lagging_coordinator, one_lost_poll_expires_no_lease)
{
    lose_one_poll(700ms + 700ms);
}

// The time after which the pool of relays fails the call while the relay lives and reports nothing
// of it: the poll's wait, 1.1 s more, and a tick.
TEST(lagging_coordinator, one_poll_lost_at_a_relay_expires_no_lease)
{
    lose_one_poll(700ms + 1100ms + 100ms);
}

// The coordinator gets no processor time just after it has sent a renewal, for longer than it may
// trust its lease, and for less than the lease lasts at the store. When it continues, the unread
// answer states that the lease holds. Guards against ending the term without reading that answer:
// the next coordinator would have to examine all runners again.
TEST(lagging_coordinator, an_unread_answer_to_a_renewal_keeps_the_lease)
{
    cluster c;
    c.processor_share = 1;
    bool stall = false;
    c.customize_node = [&](node& n)
    {
        n.ctx.store.keep_alive = [&, real = n.ctx.store.keep_alive](auto id, const auto& done)
        {
            real(id, done);
            if (std::exchange(stall, false))
            {
                c.time.after(1ms, [&n] { n.cpu->stall_for(1080ms); });
            }
        };
    };
    c.add_node();
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    auto& coordinator_node = *c.leader();
    const auto token = coordinator_node.lead->token();
    stall = true;
    c.time.run_for(5s);
    CHECK(!stall);
    CHECK(coordinator_node.lead->holds_lease());
    CHECK(token == coordinator_node.lead->token());
}

// As before, for longer than the lease lasts at the store: the answer to the next renewal ends the
// term, and the node has sent no order beside its successor.
TEST(lagging_coordinator, an_answer_that_the_lease_has_ended_ends_the_term)
{
    cluster c;
    c.processor_share = 1;
    c.add_node();
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    auto& coordinator_node = *c.leader();
    const auto token = coordinator_node.lead->token();
    coordinator_node.cpu->stall_for(1500ms);
    c.time.run_for(1600ms);
    CHECK(!coordinator_node.lead->holds_lease());
    CHECK(c.has_leader());
    CHECK(token != c.leader()->lead->token());
}

// The coordinator is late by half a second just when a poll of a healthy runner times out, so its
// answer may be unread. Guards against taking the runner for unresponsive at once: it would be
// granted no lease. Nor does a second failed poll count while the renewal beside it is answered.
// The runner counts as unresponsive if that renewal is lost too, or if a poll fails while the
// coordinator is in time.
TEST(lagging_coordinator, its_own_delay_does_not_make_a_runner_unresponsive)
{
    cluster c;
    c.processor_share = 1;
    int to_lose = 0;
    c.customize_node = [&](node& n)
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
        int times_unresponsive; ///< how often the runner is taken for unresponsive
    };
    for (const auto& it : {row{500ms, 1, 0}, row{500ms, 2, 0}, row{500ms, 3, 1}, row{0ms, 1, 1}})
    {
        n.log.lines.clear();
        to_lose = it.lost;
        CHECK(c.time.run_until([&] { return to_lose < it.lost; }, 2s));
        n.cpu->stall_for(it.late);
        c.time.run_for(2s);
        int times_unresponsive = 0;
        for (const auto& line : n.log.lines)
        {
            times_unresponsive += line.find("host_silent") != std::string::npos ? 1 : 0;
        }
        LONGS_EQUAL(it.times_unresponsive, times_unresponsive);
        c.time.run_for(2s);
    }
}

// More orders to runners that are cut off are in flight than the window allows. Guards against
// counting them until their timeouts: work for healthy runners would wait behind them.
TEST(lagging_coordinator, orders_to_unresponsive_runners_delay_no_others)
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
        c.hosts.cut("m" + std::to_string(i), 20s); // first in the order of ids
    }
    for (int i = 0; i < 20; ++i)
    {
        c.put_job(c.make_job("a" + std::to_string(i), 8));
    }
    const auto starts_before = c.hosts.starts;
    c.time.run_for(600ms);
    CHECK(c.hosts.starts - starts_before >= 80); // the capacity of the reachable half
    STRCMP_EQUAL("", c.breaches().c_str());
}

// A maintenance order is due again just when the coordinator may not trust its lease; a moment
// later the answer to a renewal lets the term continue. Guards against dropping the order: the
// machine would keep its place in the wave for good, and the wave would never end.
TEST(lagging_coordinator, an_order_that_the_lease_does_not_cover_is_sent_later)
{
    cluster c;
    core::millis clock_offset{0}; // jump of the boot clock, past the trusted part of the lease
    int orders_sent = 0;
    c.customize_node = [&](node& n)
    {
        n.ctx.boot_now = [&]
        {
            return c.time.now() + clock_offset;
        };
        n.ctx.machines.maintain = [&, real = n.ctx.machines.maintain](
                                      const auto& m, auto wave, auto token, const auto& done)
        {
            if (++orders_sent > 1)
            {
                real(m, wave, token, done);
                return;
            }
            c.time.after(1ms, [done] { done(ports::machine_verdict::unknown); });
            c.time.after(400ms, [&clock_offset] { clock_offset = 1200ms; });
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
    LONGS_EQUAL(1200, clock_offset.count());
    LONGS_EQUAL(2, orders_sent);
}

// The coordinator's loop is late at times, so runners that report ends are polled after longer
// delays. One poll after such a delay gets no answer: the lease has to outlast that too.
TEST(lagging_coordinator, one_poll_lost_after_a_long_delay_expires_no_lease)
{
    constexpr core::millis long_wait{500};
    constexpr core::millis unanswered_for{1400}; // a poll's wait and the client's slack
    cluster c;
    c.processor_share = 1;
    bool lose = false;
    bool lose_next = false;
    int lost = 0;
    c.customize_node = [&](node& n)
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
            const auto sent_at = time.now();
            real(to,
                o,
                [&, time, sent_at, done](const ports::poll_answer& it)
                {
                    lose_next = lose && !it.ended.empty() && time.now() - sent_at > long_wait;
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
        c.nodes.front().cpu->stall_for(60ms);
        c.time.run_for(each);
        // No start is sent once the poll is lost, since a start would renew the lease as well.
        if (i % 11 == 0 && !lose_next && lost == 0)
        {
            c.put_job(c.make_job("b" + std::to_string(i), 1));
        }
    }
    LONGS_EQUAL(1, lost);
    LONGS_EQUAL(0, c.hosts.expired_runs);
    STRCMP_EQUAL("", c.breaches().c_str());
}
