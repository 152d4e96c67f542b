#include "connection_drainer.hpp"

#include <deque>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::daemon;

TEST_GROUP(connection_drainer)
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

// A caller connects just before the process ends. Its request arrives some milliseconds later and
// must be answered before the process ends.
TEST(connection_drainer, waits_for_requests_on_their_way_and_for_their_answers)
{
    daemon::connection_drainer drainer(scheduler, server);
    drainer.begin([this] { ++ends; });
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

TEST(connection_drainer, a_request_that_never_ends_does_not_block_the_stop)
{
    daemon::connection_drainer drainer(scheduler, server);
    drainer.begin([this] { ++ends; });
    open = 1;
    while (!timers.empty())
    {
        run_timer();
    }
    LONGS_EQUAL(1, ends);
}
