#include "log_lines.hpp"

#include <algorithm>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using hosted::submit_outcome;

// The load is a steady stream of submissions at one node. The fault is a metadata store that
// stands still: it answers nothing and refuses nothing, and is back seconds later.
TEST_GROUP(store_silence)
{
    cluster c;
    node* n = &c.add_node();

    struct told
    {
        std::string id;
        core::mono_time sent;
        core::mono_time answered;
        submit_outcome outcome = submit_outcome::unknown;
    };
    std::list<told> all;

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

    /// A submission each tenth of a second.
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

// A caller submits while the store is silent. A write that was sent may take effect later, so the
// caller would be told "unknown" and must not try again. Half a second into the silence nothing is
// sent any more: the refusal comes at once, and it is true for good.
TEST(store_silence, submissions_to_a_silent_store_are_refused_unsent_and_at_once)
{
    CHECK(c.has_leader());
    c.store.down = true;
    const auto fell_silent = c.time.now();
    submit_for(4s);
    c.store.down = false;
    c.time.run_for(6s);
    for (const auto& it : all)
    {
        if (it.sent < fell_silent + 600ms)
        {
            continue; // the silence did not show yet
        }
        CHECK(it.outcome == submit_outcome::not_accepted);
        CHECK(it.answered - it.sent <= 10ms);
        CHECK_FALSE(is_stored(it.id));
    }
    LONGS_EQUAL(1, lines_of(*n, "store_silent").size());
}

// As before. The store answers again; callers who come back are accepted within a quarter of a
// second, not when calls that were sent into the silence have ended.
TEST(store_silence, submissions_are_accepted_soon_after_the_store_is_back)
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

// A node starts while the store is silent, as all do after a loss of power. Its first reading is
// under way when the store comes back, over a connection on which nothing will come. Callers wait
// for a node that leads: it must not wait for that reading's timeout of 3 s first.
TEST(store_silence, a_node_that_started_in_the_silence_leads_soon_after_it)
{
    c.store.down = true;
    c.store.timeout = 3s;
    n->process.dead = true;
    auto& late = c.add_node();
    c.time.run_for(2s);
    c.store.down = false;
    CHECK(c.time.run_until([&] { return late.lead->holds(); }, 1s));
}

// One answer is lost while others come: the store is not silent, and submissions go on.
TEST(store_silence, a_lost_answer_is_no_silence)
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

// The node itself stands still for two seconds, as on a suspended host. When it goes on, its
// timers fire before the answers are read that came meanwhile: its own delay is no silence.
TEST(store_silence, a_node_that_stood_still_does_not_blame_the_store)
{
    c.share = 0.25;
    auto& slow = c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(2s);
    for (int i = 0; i < 5; ++i)
    {
        slow.cpu->stand_still(2s);
        c.time.run_for(3s);
    }
    LONGS_EQUAL(0, lines_of(slow, "store_silent").size());
}

// The owner can't renew its lease while the store is silent, so nothing starts. Nobody else can
// take the lead meanwhile either. At the store's first answer the owner goes on with all it knows:
// what was accepted before starts within half a second, not after its key has lapsed and another
// node has read every job. Past its own lease it orders nothing, whatever comes.
TEST(store_silence, an_owner_goes_on_when_the_store_is_back)
{
    c.store.leases_pause = true;
    c.hosts.add("p");
    c.hosts.add("p");
    CHECK(c.has_leader());
    c.add_node();
    c.time.run_for(2s);
    const auto token = n->lead->token();
    c.store.down = true;
    c.time.run_for(2s);
    CHECK_FALSE(n->lead->holds());
    const auto starts = c.hosts.starts;
    c.time.run_for(3s);
    LONGS_EQUAL(starts, c.hosts.starts);
    c.store.down = false;
    CHECK(c.time.run_until([&] { return n->lead->holds(); }, 500ms));
    LONGS_EQUAL(token, n->lead->token());
    c.put_job(c.make_job("a", 2));
    CHECK(c.ends("a", workflow::job_state::completed, 500ms + c.hosts.behaviour.run_time));
    STRCMP_EQUAL("", c.breaches().c_str());
}

// As before, and the owner's lease ran on at the store: it has lapsed there, and the store's first
// answer to a renewal says so. The owner gives up at once, whoever leads next.
TEST(store_silence, an_owner_whose_lease_ran_on_in_the_silence_gives_up_at_the_first_answer)
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
    CHECK(c.time.run_until([&] { return n->lead->holds() || other.lead->holds(); }, 1s));
    CHECK(std::max(n->lead->token(), other.lead->token()) > token);
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Work has come in steadily when the store falls silent. Nothing is decided for five seconds; taken
// for quiet, that time would send the hosts off that callers need as soon as the store is back.
TEST(store_silence, hosts_stay_through_a_silence)
{
    c.store.leases_pause = true;
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
    CHECK(n->lead->holds());
    LONGS_EQUAL(before, serving());
}
