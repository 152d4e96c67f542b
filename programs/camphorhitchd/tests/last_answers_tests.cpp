#include "last_answers.hpp"

#include <deque>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::daemon;

TEST_GROUP(last_answers)
{
    std::deque<std::function<void()>> timers;
    ports::scheduler scheduler;
    ports::http_server server;
    std::size_t open = 0;
    int stops = 0;
    int ends = 0;

    void setup() override
    {
        scheduler.after = [this](core::millis, std::function<void()> fn)
        {
            timers.push_back(std::move(fn));
            return ports::timer_id{1};
        };
        server.stop_accepting = [this]
        {
            ++stops;
        };
        server.open_exchanges = [this]
        {
            return open;
        };
    }

    void run_timer()
    {
        auto fn = std::move(timers.front());
        timers.pop_front();
        fn();
    }
};

// A caller connected just before the process ends: its request comes some milliseconds later and is
// answered before the end.
TEST(last_answers, the_end_waits_for_requests_on_their_way_and_for_their_answers)
{
    daemon::last_answers last(scheduler, server);
    last.begin([this] { ++ends; });
    LONGS_EQUAL(1, stops);
    LONGS_EQUAL(0, ends);
    run_timer();
    LONGS_EQUAL(0, ends);
    open = 1;
    for (int i = 0; i < 10; ++i)
    {
        run_timer();
    }
    LONGS_EQUAL(0, ends);
    open = 0;
    run_timer();
    LONGS_EQUAL(1, ends);
}

TEST(last_answers, a_request_that_never_ends_does_not_hold_the_end_up_for_ever)
{
    daemon::last_answers last(scheduler, server);
    last.begin([this] { ++ends; });
    open = 1;
    while (!timers.empty())
    {
        run_timer();
    }
    LONGS_EQUAL(1, ends);
}
