#include "service.hpp"
#include "standin_support/test_client.hpp"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::standin_target;
using standin_support::test_client;

TEST_GROUP(targets)
{
    standin_support::standin host{{}};
    service both{host, {2, "h", 0, 2, core::millis{1}}};
    test_client driver{host.loop, both.control_port().port()};

    std::uint16_t port(std::size_t index)
    {
        return both.targets().at(index)->port();
    }

    void control(const std::string& body)
    {
        STRCMP_CONTAINS("200 ", driver.call("POST", "/control", body).c_str());
    }

    std::string call(std::size_t index, const std::string& fields = "")
    {
        test_client fresh(host.loop, port(index));
        return fresh.is_connected() ? fresh.call("POST", "/quote", "body", fields) : "refused";
    }

    std::int64_t stat(std::size_t index, const char* name)
    {
        return both.targets().at(index)->stats().at(name).get<std::int64_t>();
    }

    void await(std::size_t index, const char* name, std::int64_t value)
    {
        CHECK(standin_support::run_until(host.loop, [&] { return stat(index, name) == value; }));
    }
};

TEST(targets, answer_names_host_request_and_body)
{
    const auto answer = call(0, "Request-Id: r1\r\n");
    STRCMP_EQUAL("200 {\"echo\":\"31724ab4313d2d0f\",\"host\":\"h1\",\"request_id\":\"r1\"}\n",
        answer.c_str());
}

// A request that may run once is sent again, through another entry host, to another target. Each
// target has one run of it; the log of all targets must report the duplicate.
TEST(targets, duplicates_are_detected_across_targets)
{
    struct row
    {
        std::size_t index;
        const char* fields;
        std::int64_t duplicates;
        std::int64_t repeats;
    };
    const row rows[] = {
        {0, "Idempotency-Key: k\r\n", 0, 0},
        {1, "Idempotency-Key: k\r\nRequest-Id: other\r\n", 1, 0},
        {1, "Request-Id: r\r\n", 1, 0},
        {1, "Request-Id: r\r\n", 1, 1},
        {1, "", 1, 1},
        {1, "", 1, 1},
    };
    for (const auto& it : rows)
    {
        call(it.index, it.fields);
        CHECK_EQUAL(it.duplicates, stat(1, "duplicates"));
        CHECK_EQUAL(it.repeats, stat(1, "repeats"));
    }
    const auto all = driver.call("GET", "/control/duplicates");
    STRCMP_CONTAINS("\"k\":[{\"at_ms\":", all.c_str());
    STRCMP_CONTAINS(
        "\"none\":[]", driver.call("POST", "/control/runs", R"({"ids":["k","none"]})").c_str());
}

TEST(targets, faults_as_the_caller_sees_them)
{
    struct row
    {
        const char* command;
        const char* seen;
        std::int64_t runs; ///< how many runs the request adds
    };
    const row rows[] = {
        {R"({"host":"h1","fail_all":1})", "500", 1},
        {R"({"host":"h1","cut":1})", "closed", 1},
        {R"({"host":"h1","truncate":1})", "cut short", 1},
        {R"({"host":"h1","malform":1})", "2x0", 1},
        {R"({"host":"h1","refuse":true})", "refused", 0},
        {R"({"host":"h1","refuse":false})", "200", 1},
        {R"({"host":"h1","down":true})", "refused", 0},
        {R"({"host":"h1","down":false})", "200", 1},
        {R"({"host":"h2","fail_all":1})", "200", 1},
    };
    for (const auto& it : rows)
    {
        control(R"({"host":"h1","reset":true})");
        control(it.command);
        const auto before = stat(0, "runs");
        STRCMP_EQUAL(it.seen, call(0).substr(0, std::string(it.seen).size()).c_str());
        CHECK_EQUAL(before + it.runs, stat(0, "runs"));
    }
    STRCMP_CONTAINS("404", driver.call("POST", "/control", R"({"host":"h3"})").c_str());
    STRCMP_CONTAINS("400", driver.call("POST", "/control", R"({"all":true,"x":1})").c_str());
}

TEST(targets, requests_beyond_the_slots_are_counted)
{
    test_client first(host.loop, port(0));
    test_client second(host.loop, port(0));
    test_client third(host.loop, port(0));
    for (auto* const it : {&first, &second, &third})
    {
        it->send("GET", "/", "", "Target-Delay-Ms: 60000\r\n");
    }
    await(0, "running", 3);
    CHECK_EQUAL(3, stat(0, "most_concurrent"));
    CHECK_EQUAL(1, stat(0, "overloads"));
    CHECK_EQUAL(3, stat(0, "most_connections"));
    // The slot stays in use after the caller has closed its connection, because the work continues.
    third.close();
    await(0, "abandoned", 1);
    CHECK_EQUAL(3, stat(0, "running"));
}

// A host goes down with two requests in flight. One caller has closed its connection before. The
// connection of the other caller must close, and only that request counts as cut off.
TEST(targets, going_down_cuts_off_requests_in_flight)
{
    test_client cut(host.loop, port(0));
    test_client gone(host.loop, port(0));
    cut.send("GET", "/", "", "Target-Delay-Ms: 60000\r\n");
    gone.send("GET", "/", "", "Target-Delay-Ms: 60000\r\n");
    await(0, "running", 2);
    gone.close();
    await(0, "abandoned", 1);
    control(R"({"host":"h1","down":true,"planned":true})");
    STRCMP_EQUAL("closed", cut.read_answer().c_str());
    CHECK_EQUAL(1, stat(0, "cut_off"));
    CHECK_EQUAL(1, stat(0, "cut_off_planned"));
    CHECK_EQUAL(0, stat(0, "running"));
}

// An idle connection becomes silent. The next request on it must not run and not be answered, while
// new connections work.
TEST(targets, silent_connections_discard_requests)
{
    test_client old(host.loop, port(0));
    STRCMP_CONTAINS("200", old.call("GET", "/").c_str());
    control(R"({"host":"h1","silent":1})");
    old.send("GET", "/");
    STRCMP_CONTAINS("200", call(0).c_str());
    CHECK_EQUAL(2, stat(0, "runs"));
    await(0, "connections", 1);
}

TEST(targets, hung_requests_end_when_their_caller_closes_the_connection)
{
    control(R"({"host":"h1","hang":1})");
    test_client caller(host.loop, port(0));
    caller.send("GET", "/");
    await(0, "running", 1);
    caller.close();
    await(0, "running", 0);
}
