#include "fleet.hpp"
#include "hosts_file.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::standin_worker;

namespace
{

moment at(int ms)
{
    return {core::mono_time{core::millis{ms}}, ms};
}

ports::task_order order(const std::string& task, int run_ms)
{
    ports::task_order o;
    o.host = "h1";
    o.task = task;
    o.processors = 8;
    o.memory_gb = 16;
    o.run_time = core::millis{run_ms};
    o.lease_ttl = core::millis{1000};
    return o;
}

} // namespace

TEST_GROUP(workers)
{
    fleet f;

    void setup() override
    {
        for (auto& it : make_hosts({8, "h", 2, 4, 1}))
        {
            f.hosts.emplace(it.id, it);
        }
        f.settings.reboot = core::millis{500};
        f.settings.usage_lag = core::millis{200};
        f.advanced = at(0).now;
    }

    host& h1()
    {
        return f.hosts.at("h1");
    }

    ports::task_report report(const std::string& task, int now_ms)
    {
        advance(f, at(now_ms));
        for (const auto& it : reports(f, h1(), at(now_ms).now))
        {
            if (it.task == task)
            {
                return it;
            }
        }
        FAIL("no such report");
        return {};
    }

    void renew(int now_ms)
    {
        for (auto& [name, it] : h1().tasks)
        {
            apply_action(f, "h1", {name}, ports::task_action::renew, at(now_ms));
        }
    }
};

TEST(workers, racks_of_neighbours_spread_over_zones)
{
    STRCMP_EQUAL("a", f.hosts.at("h4").zone.c_str());
    STRCMP_EQUAL("r1", f.hosts.at("h4").rack.c_str());
    STRCMP_EQUAL("b", f.hosts.at("h5").zone.c_str());
    STRCMP_EQUAL("r2", f.hosts.at("h5").rack.c_str());
}

TEST(workers, task_runs_for_its_time_and_shows_usage_late)
{
    start(f, order("t", 900), at(0));
    DOUBLES_EQUAL(0, report("t", 199).processors_used, 0);
    DOUBLES_EQUAL(8, report("t", 200).processors_used, 0);
    CHECK(report("t", 899).state == ports::task_state::running);
    CHECK(report("t", 900).state == ports::task_state::finished);
    STRCMP_EQUAL("finished", f.records.at(0).end.c_str());
    CHECK_EQUAL(900, f.records.at(0).ended_ms);
}

TEST(workers, task_id_starts_only_once)
{
    auto elsewhere = order("t", 100);
    elsewhere.host = "h2";
    CHECK(start(f, order("t", 100), at(0)).result == verdict::done);
    CHECK(start(f, order("t", 100), at(1)).result == verdict::repeated);
    CHECK(start(f, elsewhere, at(1)).result == verdict::refused);
    reboot(f, "h1", "c", at(2));
    CHECK(start(f, order("t", 100), at(3)).result == verdict::host_down);
    advance(f, at(600));
    CHECK(start(f, order("t", 100), at(600)).result == verdict::repeated);
    CHECK_EQUAL(1, f.records.size());
    STRCMP_EQUAL("lost", f.records.at(0).end.c_str());
}

// The holder of a lease is paused, so the lease is not renewed. The task must stop by itself,
// because the owner may have started a successor on another host.
TEST(workers, task_stops_when_its_lease_expires)
{
    start(f, order("t", 5000), at(0));
    advance(f, at(900));
    renew(900);
    CHECK(report("t", 1899).state == ports::task_state::running);
    CHECK(report("t", 1900).state == ports::task_state::lapsed);
    renew(1901);
    CHECK(report("t", 1902).state == ports::task_state::lapsed);
}

TEST(workers, resumed_task_continues_from_its_checkpoint)
{
    start(f, order("t", 900), at(0));
    advance(f, at(600));
    apply_action(f, "h1", {"t"}, ports::task_action::checkpoint, at(600));
    apply_action(f, "h1", {"t"}, ports::task_action::stop, at(600));
    auto next = order("t2", 900);
    next.resume = true;
    next.checkpoint = report("t", 600).checkpoint;
    CHECK(start(f, next, at(600)).result == verdict::done);
    CHECK(report("t2", 899).state == ports::task_state::running);
    CHECK(report("t2", 900).state == ports::task_state::finished);
    next.task = "t3";
    next.checkpoint = "nonsense";
    CHECK(start(f, next, at(900)).result == verdict::refused);
}

TEST(workers, throttled_task_runs_at_a_quarter)
{
    start(f, order("t", 200), at(0));
    apply_action(f, "h1", {"t"}, ports::task_action::throttle, at(0));
    CHECK(report("t", 799).state == ports::task_state::running);
    DOUBLES_EQUAL(2, report("t", 799).processors_used, 0);
    CHECK(report("t", 800).state == ports::task_state::finished);
}

TEST(workers, actual_use_beyond_the_host_slows_or_fails_tasks)
{
    auto heavy = order("heavy", 500);
    heavy.payload = R"({"usage_factor": 6})"; // 48 of 32 processors, 96 of 128 GB
    start(f, heavy, at(0));
    CHECK(report("heavy", 749).state == ports::task_state::running);
    auto greedy = order("greedy", 500);
    greedy.memory_gb = 40;
    start(f, greedy, at(749));
    const auto failed = report("greedy", 749);
    CHECK(failed.state == ports::task_state::failed);
    STRCMP_EQUAL("out of memory", failed.detail.c_str());
    CHECK(report("heavy", 751).state == ports::task_state::finished);
}

TEST(workers, payloads_and_hosts_that_fail_tasks)
{
    struct row
    {
        const char* payload;
        bool host_fails_all;
        ports::task_state state;
    };
    const row rows[] = {
        {"not JSON", false, ports::task_state::finished},
        {R"({"fails": true})", false, ports::task_state::failed},
        {R"({"fails_after_ms": 50})", false, ports::task_state::failed},
        {R"({"run_factor": 3})", false, ports::task_state::running},
        {"", true, ports::task_state::failed},
    };
    int n = 0;
    for (const auto& it : rows)
    {
        auto o = order("t" + std::to_string(n), 100);
        o.payload = it.payload;
        h1().fails_all_tasks = it.host_fails_all;
        start(f, o, at(n * 200));
        ++n;
        CHECK(it.state == report(o.task, n * 200 - 50).state);
    }
}

TEST(workers, job_that_kills_its_host)
{
    auto o = order("t", 100);
    o.payload = R"({"kills_host": true})";
    start(f, o, at(0));
    CHECK(h1().state == ports::live_state::down);
    STRCMP_EQUAL("lost", f.records.at(0).end.c_str());
    advance(f, at(10000));
    CHECK(h1().state == ports::live_state::down);
}

TEST(workers, accelerators_are_never_shared)
{
    auto o = order("a", 100);
    o.accelerators = 1;
    CHECK(start(f, o, at(0)).result == verdict::done);
    o.task = "b";
    CHECK(start(f, o, at(0)).result == verdict::refused);
    advance(f, at(100));
    CHECK(start(f, o, at(100)).result == verdict::done);
}

// The answer to a reboot order is lost and the order is repeated, even after the host has come up
// again. The host must not go down a second time.
TEST(workers, reboot_command_is_executed_once)
{
    CHECK(reboot(f, "h1", "c1", at(0)).result == verdict::done);
    CHECK(reboot(f, "h1", "c1", at(10)).result == verdict::repeated);
    advance(f, at(499));
    CHECK(h1().state == ports::live_state::down);
    advance(f, at(500));
    CHECK(h1().state == ports::live_state::live);
    CHECK_EQUAL(2, h1().boot_count);
    CHECK(reboot(f, "h1", "c1", at(600)).result == verdict::repeated);
    CHECK(h1().state == ports::live_state::live);
    CHECK_EQUAL(2, f.notices.size());
    CHECK(f.notices[0].planned && f.notices[0].state == ports::live_state::down);
}

TEST(workers, host_that_never_returns_waits_for_the_operator)
{
    h1().never_returns = true;
    reboot(f, "h1", "c1", at(0));
    advance(f, at(100000));
    CHECK(h1().state == ports::live_state::down);
    return_host(f, h1());
    CHECK_EQUAL(2, h1().boot_count);
    return_host(f, h1());
    CHECK_EQUAL(2, h1().boot_count);
}
