#include "hosted/keys.hpp"
#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

namespace
{

/// A pool in which each host is fully used by eight running tasks, and one task waits.
struct full_pool
{
    cluster c;
    std::size_t capacity = 0;

    explicit full_pool(int hosts) : capacity(static_cast<std::size_t>(hosts) * 8)
    {
        c.hosts.behaviour.run_time = 60s;
        for (int i = 0; i < hosts; ++i)
        {
            c.hosts.add("p");
        }
        c.add_node();
        CHECK(c.has_leader());
        c.time.run_for(1s);
        c.put_job(c.make_job("full", static_cast<int>(capacity)));
        CHECK(c.time.run_until([&] { return c.running() == capacity; }, 20s));
        c.put_job(c.make_job("waits", 1));
        c.time.run_for(1s);
    }
};

} // namespace

TEST_GROUP(runner_list){};

// A pool is short of hosts when its load rises. Guards against callers that wait for the next read
// of the whole list while a host that was moved for them is ready.
TEST(runner_list, a_host_that_joins_a_full_pool_gets_the_waiting_work_at_once)
{
    for (const int hosts : {5, 50, 200})
    {
        // Each host joins at a different time between two reads, if the list were read repeatedly.
        for (const auto later : {0ms, 110ms, 230ms, 340ms})
        {
            full_pool f(hosts);
            f.c.time.run_for(later);
            const auto joined = f.c.time.now();
            f.c.hosts.add("p");
            CHECK(f.c.time.run_until([&] { return f.c.running() > f.capacity; }, 2s));
            CHECK(f.c.time.now() - joined <= 150ms);
            STRCMP_EQUAL("", f.c.breaches().c_str());
        }
    }
}

// Guards against a coordinator of many hosts that spends its time on entries that have not changed.
TEST(runner_list, an_entry_rewritten_without_a_change_causes_no_event)
{
    cluster c;
    c.hosts.add("p");
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(2s);
    auto& leader = *c.leader();
    const auto* const entry = c.store.find("runner/" + c.hosts.machines.begin()->second.runner);
    const auto text = entry->value;
    const auto key = entry->key;
    const auto lines = leader.log.lines.size();
    for (int i = 0; i < 20; ++i)
    {
        c.store.put(key, text);
        c.time.run_for(50ms);
    }
    std::string events;
    for (std::size_t i = lines; i < leader.log.lines.size(); ++i)
    {
        const auto& it = leader.log.lines[i];
        events += it.find("host_") != std::string::npos ? it : std::string{};
    }
    STRCMP_EQUAL("", events.c_str());
}

// The watch breaks and the change log is truncated while a runner joins. The list must be read
// again.
TEST(runner_list, a_runner_that_joins_while_the_change_log_is_truncated_is_found)
{
    full_pool f(3);
    f.c.store.busy = true;
    f.c.hosts.add("p");
    f.c.time.run_for(400ms);
    f.c.store.compact();
    f.c.store.busy = false;
    CHECK(f.c.time.run_until([&] { return f.c.running() > f.capacity; }, 3s));
    STRCMP_EQUAL("", f.c.breaches().c_str());
}
