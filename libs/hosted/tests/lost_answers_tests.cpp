#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

// The load is a steady stream of short jobs. The fault is on the way to the runners: one order in
// three gets no answer, and is carried out seconds late.
TEST_GROUP(lost_answers)
{
    cluster c;

    struct handed_in
    {
        std::string id;
        core::mono_time at;
    };

    /// A job of two tasks each tenth of a second. \return how long each took, shortest first.
    std::vector<core::millis> serve(int jobs)
    {
        std::vector<handed_in> waiting;
        std::vector<core::millis> took;
        const auto look = [&]
        {
            std::erase_if(waiting,
                [&](const handed_in& it)
                {
                    const bool ended = workflow::is_final(c.state_of(it.id));
                    if (ended)
                    {
                        took.push_back(std::chrono::ceil<core::millis>(c.time.now() - it.at));
                    }
                    return ended;
                });
        };
        for (int i = 0; i < jobs; ++i)
        {
            waiting.push_back({"j" + std::to_string(i), c.time.now()});
            c.put_job(c.make_job(waiting.back().id, 2));
            c.time.run_for(100ms);
            look();
        }
        for (int i = 0; i < 200 && !waiting.empty(); ++i)
        {
            c.time.run_for(100ms);
            look();
        }
        LONGS_EQUAL(0, waiting.size());
        std::sort(took.begin(), took.end());
        return took;
    }
};

// A start order gets no answer. Waited for to the call's timeout and then stopped before the task
// starts elsewhere, it made its caller wait for two seconds and more. The same order on another
// connection is answered by a runner that has the run or starts it now: nine orders in ten are
// settled within a second, so that nine jobs in ten are done within a second and their run time,
// and no task runs twice.
TEST(lost_answers, a_repeat_settles_an_order_whose_answer_is_lost)
{
    for (int i = 0; i < 12; ++i)
    {
        c.hosts.add("p");
    }
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    c.hosts.late_order_share = 0.33;
    const auto took = serve(100);
    CHECK(took[took.size() * 9 / 10] <= 1s + c.hosts.behaviour.run_time);
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Every order is lost: nothing is taken for refused, and once orders get through again all jobs
// end, each task once.
TEST(lost_answers, orders_that_are_all_lost_are_settled_when_answers_come_again)
{
    for (int i = 0; i < 4; ++i)
    {
        c.hosts.add("p");
    }
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    c.hosts.late_order_share = 1;
    for (int i = 0; i < 5; ++i)
    {
        c.put_job(c.make_job("a" + std::to_string(i), 2));
    }
    c.time.run_for(5s);
    c.hosts.late_order_share = 0;
    for (int i = 0; i < 5; ++i)
    {
        CHECK(c.ends("a" + std::to_string(i), workflow::job_state::completed, 20s));
    }
    STRCMP_EQUAL("", c.breaches().c_str());
}
