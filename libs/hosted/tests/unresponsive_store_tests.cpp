#include "log_lines.hpp"

#include <algorithm>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using hosted::submit_outcome;

// The load is a steady stream of submissions at one node. The fault is a metadata store that
// stalls: it neither answers nor refuses calls, and recovers seconds later.
TEST_GROUP(unresponsive_store)
{
    cluster c;
    node* n = &c.add_node();

    struct submission
    {
        std::string id;
        core::mono_time sent;
        core::mono_time answered;
        submit_outcome outcome = submit_outcome::unknown;
    };
    std::list<submission> all;

    void submit()
    {
        auto& it = all.emplace_back();
        it.id = "j" + std::to_string(all.size());
        it.sent = c.time.now();
        n->desk->submit(c.make_job(it.id, 1),
            c.time.now() + 2500ms,
            [this, &it](submit_outcome how)
            {
                it.answered = c.time.now();
                it.outcome = how;
            });
    }

    /// Submits a job every 100 ms.
    void submit_for(core::millis how_long)
    {
        for (const auto until = c.time.now() + how_long; c.time.now() < until;)
        {
            submit();
            c.time.run_for(100ms);
        }
    }

    bool is_stored(const std::string& id) const
    {
        return c.store.find(hosted::job_key(id)) != nullptr;
    }
};

// A caller submits while the store is unresponsive. A write that was sent may take effect later, so
// the caller would be told "unknown" and could not try again. From half a second into the outage
// nothing is sent any more: the submission is refused immediately, and the job is never stored.
TEST(unresponsive_store, submissions_to_an_unresponsive_store_are_refused_at_once_without_sending)
{
    CHECK(c.has_leader());
    c.store.down = true;
    const auto unresponsive_since = c.time.now();
    submit_for(4s);
    c.store.down = false;
    c.time.run_for(6s);
    for (const auto& it : all)
    {
        if (it.sent < unresponsive_since + 600ms)
        {
            continue; // the outage was not detected yet
        }
        CHECK(it.outcome == submit_outcome::not_accepted);
        CHECK(it.answered - it.sent <= 10ms);
        CHECK_FALSE(is_stored(it.id));
    }
    LONGS_EQUAL(1, lines_of(*n, "store_silent").size());
}

// As before. The store recovers; callers that try again are accepted within a quarter of a second,
// not only after the calls sent during the outage have timed out.
TEST(unresponsive_store, submissions_are_accepted_soon_after_the_store_recovers)
{
    CHECK(c.has_leader());
    c.store.timeout = 3s;
    c.store.down = true;
    submit_for(3s);
    c.store.down = false;
    c.time.run_for(300ms);
    submit();
    const auto& last = all.back();
    c.time.run_for(100ms);
    CHECK(last.outcome == submit_outcome::accepted);
}

// A node starts while the store is unresponsive, as all nodes do after a power failure. Its first
// read is open when the store recovers, on a connection that will return nothing. Callers wait for
// a coordinator, so the node must not wait for the 3 s timeout of that read.
TEST(unresponsive_store, a_node_started_during_the_outage_leads_soon_after_it)
{
    c.store.down = true;
    c.store.timeout = 3s;
    n->process.dead = true;
    auto& late = c.add_node();
    c.time.run_for(2s);
    c.store.down = false;
    CHECK(c.time.run_until([&] { return late.lead->holds_lease(); }, 1s));
}

// One answer is lost while others arrive: the store is not unresponsive, and submissions continue.
TEST(unresponsive_store, a_single_lost_answer_is_no_outage)
{
    CHECK(c.has_leader());
    submit_for(500ms);
    c.store.answers_to_lose = 1;
    submit_for(2s);
    c.time.run_for(3s);
    for (const auto& it : all)
    {
        CHECK(it.outcome == submit_outcome::accepted);
    }
    LONGS_EQUAL(0, lines_of(*n, "store_silent").size());
}

// The node itself stalls for two seconds, as on a suspended host. When it resumes, its timers fire
// before the answers that arrived meanwhile are read. Its own delay must not count as an outage of
// the store.
TEST(unresponsive_store, a_stalled_node_does_not_report_the_store_unresponsive)
{
    c.processor_share = 0.25;
    auto& slow = c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(2s);
    for (int i = 0; i < 5; ++i)
    {
        slow.cpu->stall_for(2s);
        c.time.run_for(3s);
    }
    LONGS_EQUAL(0, lines_of(slow, "store_silent").size());
}

// The coordinator cannot renew its lease while the store is unresponsive, so nothing starts, and no
// other node can become leader meanwhile. At the store's first answer the coordinator resumes with
// its complete state: jobs accepted before start within half a second, and not only after its key
// has expired and another node has read every job. Past its own lease the coordinator gives no
// orders under any circumstances.
TEST(unresponsive_store, a_coordinator_resumes_when_the_store_recovers)
{
    c.store.pauses_leases_while_down = true;
    c.hosts.add("p");
    c.hosts.add("p");
    CHECK(c.has_leader());
    c.add_node();
    c.time.run_for(2s);
    const auto token = n->lead->token();
    c.store.down = true;
    c.time.run_for(2s);
    CHECK_FALSE(n->lead->holds_lease());
    const auto starts = c.hosts.starts;
    c.time.run_for(3s);
    LONGS_EQUAL(starts, c.hosts.starts);
    c.store.down = false;
    CHECK(c.time.run_until([&] { return n->lead->holds_lease(); }, 500ms));
    LONGS_EQUAL(token, n->lead->token());
    c.put_job(c.make_job("a", 2));
    CHECK(c.ends("a", workflow::job_state::completed, 500ms + c.hosts.behaviour.run_time));
    STRCMP_EQUAL("", c.breaches().c_str());
}

// As before, but the coordinator's lease has expired at the store, and the store's first answer to
// a renewal says so. The coordinator steps down immediately, whichever node leads next.
TEST(unresponsive_store,
    a_coordinator_whose_lease_expired_in_the_outage_steps_down_at_the_first_answer)
{
    c.hosts.add("p");
    CHECK(c.has_leader());
    auto& other = c.add_node();
    c.time.run_for(2s);
    const auto token = n->lead->token();
    c.store.down = true;
    c.time.run_for(5s);
    c.store.down = false;
    CHECK(c.time.run_until([&] { return lines_of(*n, "leadership_lost").size() == 1; }, 500ms));
    CHECK(
        c.time.run_until([&] { return n->lead->holds_lease() || other.lead->holds_lease(); }, 1s));
    CHECK(std::max(n->lead->token(), other.lead->token()) > token);
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Work has arrived steadily when the store becomes unresponsive, and nothing is decided for five
// seconds. If that time counted as idle, the hosts that callers need as soon as the store recovers
// would be sent to standby.
TEST(unresponsive_store, hosts_stay_in_use_through_an_outage)
{
    c.store.pauses_leases_while_down = true;
    for (int i = 0; i < 6; ++i)
    {
        c.hosts.add("p");
    }
    CHECK(c.has_leader());
    n->driver->set_pools({{"p", false}, {"off", true}});
    for (int i = 0; i < 40; ++i)
    {
        auto j = c.make_job("a" + std::to_string(i), 8);
        j.steps[0].estimated_run_time = 1s;
        c.put_job(j);
        c.time.run_for(100ms);
    }
    const auto serving = [this]
    {
        return std::count_if(c.hosts.machines.begin(),
            c.hosts.machines.end(),
            [](const auto& it) { return it.second.pool == "p"; });
    };
    const auto before = serving();
    CHECK(before >= 5);
    c.store.down = true;
    c.time.run_for(5s);
    c.store.down = false;
    c.time.run_for(1s);
    CHECK(n->lead->holds_lease());
    LONGS_EQUAL(before, serving());
}

// The store refuses all calls of one node and serves the others. Guards against that node holding
// its callers for several attempts, or for their whole time, while another node would serve them.
TEST(unresponsive_store, a_node_that_is_turned_away_refuses_at_once)
{
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    c.store.busy = true;
    for (int i = 0; i < 40; ++i)
    {
        submit();
        c.time.run_for(50ms);
    }
    CHECK(n->pulse->is_failing());
    all.clear();
    submit();
    std::optional<hosted::state_answer> state;
    n->desk->query_state(
        {"j1", {}}, c.time.now() + 2500ms, [&](hosted::state_answer it) { state = it; });
    c.time.run_for(50ms);
    CHECK(all.front().outcome == submit_outcome::not_accepted);
    CHECK(state.has_value() && !state->known);
    c.store.busy = false;
    CHECK(c.time.run_until([&] { return !n->pulse->is_failing(); }, 1s));
    submit();
    c.time.run_for(200ms);
    CHECK(all.back().outcome == submit_outcome::accepted);
}

// Guards against a node that counts as turned away because some of its calls fail.
TEST(unresponsive_store, a_store_that_loses_answers_is_not_failing)
{
    CHECK(c.has_leader());
    for (int i = 0; i < 40; ++i)
    {
        c.store.answers_to_lose = i % 2;
        submit();
        c.time.run_for(100ms);
        CHECK(!n->pulse->is_failing());
    }
}
