#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

TEST_GROUP(finished_job_cleaner)
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

TEST(finished_job_cleaner, a_state_is_kept_for_its_retention_time_and_then_removed)
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

// The coordinator dies between the end of a job and the end of its state's retention. Its successor
// finds such jobs only in the store; if it left them out, their states would stay for good.
TEST(finished_job_cleaner, a_successor_removes_what_ended_before_it)
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

// A cancel is stored just after the job's end was written, which removes cancels. If it stayed, it
// would remain for good and cancel a later job with the same id.
TEST(finished_job_cleaner, a_cancel_after_the_end_is_removed)
{
    begin();
    run_job("a");
    c.store.put(hosted::cancel_key("a"), "1");
    c.time.run_for(8s);
    CHECK(c.store.find(hosted::cancel_key("a")) == nullptr);
    CHECK(has_state("a"));
}

// The store's answers to removals are lost. Removed states are not requested again and again, and
// the remaining ones are removed in the end.
TEST(finished_job_cleaner, removals_succeed_after_lost_answers)
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
