#include "hosted/keys.hpp"
#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

namespace
{

/// A pool in which each host is filled by eight tasks that go on, and one task waits.
struct full_pool
{
    cluster c;
    std::size_t room = 0;

    explicit full_pool(int hosts) : room(static_cast<std::size_t>(hosts) * 8)
    {
        c.hosts.behaviour.run_time = 60s;
        for (int i = 0; i < hosts; ++i)
        {
            c.hosts.add("p");
        }
        c.add_node();
        CHECK(c.has_leader());
        c.time.run_for(1s);
        c.put_job(c.make_job("full", static_cast<int>(room)));
        CHECK(c.time.run_until([&] { return c.running() == room; }, 20s));
        c.put_job(c.make_job("waits", 1));
        c.time.run_for(1s);
    }
};

} // namespace

TEST_GROUP(runner_list){};

// A busy time begins with its pool short of hosts. Guards against callers who wait for the next
// reading of the whole list while the host that was moved for them stands ready.
TEST(runner_list, a_host_that_joins_a_full_pool_gets_the_waiting_work_at_once)
{
    for (const int hosts : {5, 50, 200})
    {
        // Each joins at another moment between two readings, were there any.
        for (const auto later : {0ms, 110ms, 230ms, 340ms})
        {
            full_pool w(hosts);
            w.c.time.run_for(later);
            const auto joined = w.c.time.now();
            w.c.hosts.add("p");
            CHECK(w.c.time.run_until([&] { return w.c.running() > w.room; }, 2s));
            CHECK(w.c.time.now() - joined <= 150ms);
            STRCMP_EQUAL("", w.c.breaches().c_str());
        }
    }
}

// Guards against an owner of many hosts that does little but go through entries which say what they
// said before.
TEST(runner_list, an_entry_written_again_as_it_was_plans_nothing_anew)
{
    cluster c;
    c.hosts.add("p");
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(2s);
    auto& owner = *c.leader();
    const auto* const entry = c.store.find("runner/" + c.hosts.machines.begin()->second.runner);
    const auto text = entry->value;
    const auto key = entry->key;
    const auto lines = owner.log.lines.size();
    for (int i = 0; i < 20; ++i)
    {
        c.store.put(key, text);
        c.time.run_for(50ms);
    }
    std::string told;
    for (std::size_t i = lines; i < owner.log.lines.size(); ++i)
    {
        const auto& it = owner.log.lines[i];
        told += it.find("host_") != std::string::npos ? it : std::string{};
    }
    STRCMP_EQUAL("", told.c_str());
}

// The watch is cut and the history is dropped while a runner joins: the list is read anew.
TEST(runner_list, a_runner_that_joins_while_the_history_is_lost_is_found)
{
    full_pool w(3);
    w.c.store.busy = true;
    w.c.hosts.add("p");
    w.c.time.run_for(400ms);
    w.c.store.compact();
    w.c.store.busy = false;
    CHECK(w.c.time.run_until([&] { return w.c.running() > w.room; }, 3s));
    STRCMP_EQUAL("", w.c.breaches().c_str());
}
