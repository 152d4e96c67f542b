#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

TEST_GROUP(tidier)
{
    cluster c;

    void begin()
    {
        c.settings.finished_job_retention = 20s;
        c.hosts.add("p");
        c.hosts.add("p");
        c.add_node();
        c.add_node();
        CHECK(c.has_leader());
    }

    void run_job(const std::string& id)
    {
        c.put_job(c.make_job(id, 1));
        CHECK(c.ends(id, job_state::completed, 5s));
    }

    bool has_state(const std::string& id) const
    {
        return c.store.find(hosted::state_key(id)) != nullptr;
    }
};

TEST(tidier, a_state_is_told_for_its_time_and_then_goes)
{
    begin();
    for (int i = 0; i < 30; ++i)
    {
        run_job("a" + std::to_string(i));
    }
    run_job("b");
    c.time.run_for(18s);
    CHECK(has_state("b"));
    c.time.run_for(8s);
    CHECK(!has_state("b"));
    CHECK(!has_state("a0"));
    CHECK(!has_state("a29"));
    STRCMP_EQUAL("", c.breaches().c_str());
}

// The coordinator dies between a job's end and the end of its state's time. Its successor knows of
// such jobs from the store alone; were they left out, they would stay for ever.
TEST(tidier, a_successor_removes_what_ended_before_it)
{
    begin();
    run_job("a");
    c.leader()->process.dead = true;
    CHECK(c.has_leader());
    c.time.run_for(15s);
    CHECK(has_state("a"));
    c.time.run_for(12s);
    CHECK(!has_state("a"));
}

// A caller's cancel reaches the store just after its job's end was written, which removes cancels.
// Left there, it would stay for ever, and cancel a job of the same id.
TEST(tidier, a_cancel_after_the_end_is_removed)
{
    begin();
    run_job("a");
    c.store.put(hosted::cancel_key("a"), "1");
    c.time.run_for(8s);
    CHECK(c.store.find(hosted::cancel_key("a")) == nullptr);
    CHECK(has_state("a"));
}

// The store's answers to removals are lost. What is gone is not asked for again and again, and what
// stands is removed in the end.
TEST(tidier, lost_answers_end_well)
{
    begin();
    run_job("a");
    run_job("b");
    c.time.run_for(19s);
    c.store.answers_to_lose = 2;
    c.time.run_for(20s);
    CHECK(!has_state("a"));
    CHECK(!has_state("b"));
    const auto before = c.store.writes;
    c.time.run_for(30s);
    CHECK(c.store.writes - before < 10);
}
