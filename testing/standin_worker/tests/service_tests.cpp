#include "hosts_file.hpp"
#include "service.hpp"
#include "standin_support/test_client.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::standin_worker;
using standin_support::exchange_ptr;
using standin_support::test_client;

TEST_GROUP(worker_service)
{
    standin_support::standin host{{}};
    std::string received; ///< requests that the neighbour has received
    standin_support::listener& neighbour = host.server.listen(0,
        [this](const exchange_ptr& it)
        {
            received += it->request.method + " " + it->request.path + " " + it->request.body + "\n";
            it->respond({200, {}, ""});
        });
    service workers{host, settings()};
    test_client caller{host.loop, workers.port().port()};
    test_client driver{host.loop, workers.control_port().port()};

    void teardown() override
    {
        // The neighbour runs on this thread, so the notifier's thread could not end while a notice
        // is undelivered.
        CHECK(standin_support::run_until(
            host.loop, [this] { return workers.notices_pending() == 0; }));
    }

    service_settings settings()
    {
        service_settings s;
        s.hosts = make_hosts({2, "h", 2, 1, 0});
        s.livelist = "http://127.0.0.1:" + std::to_string(neighbour.port());
        return s;
    }
};

TEST(worker_service, orders_and_reports)
{
    const std::string task = R"({"task":"t1","run_time_ms":60000,"lease_ttl_ms":60000})";
    struct row
    {
        const char* method;
        const char* path;
        std::string body;
        const char* seen;
    };
    const row rows[] = {
        {"POST", "/v1/hosts/h1/tasks", task, "200 {\"repeat\":false}"},
        {"POST", "/v1/hosts/h1/tasks", task, "200 {\"repeat\":true}"},
        {"POST", "/v1/hosts/h2/tasks", task, "409 "},
        {"POST", "/v1/hosts/h9/tasks", task, "404 "},
        {"POST", "/v1/hosts/h1/tasks", R"({"task":"t2"})", "409 "},
        {"POST", "/v1/hosts/h1/tasks", R"({"tsk":"t2"})", "400 "},
        {"POST",
            "/v1/hosts/h1/tasks/actions",
            R"({"tasks":["t1","t9"],"action":"renew"})",
            "200 {\"done\":[\"t1\"],\"missing\":[\"t9\"]}"},
        {"POST",
            "/v1/hosts/h1/tasks/actions",
            R"({"tasks":["t1"],"action":"stop"})",
            "200 {\"done\":[\"t1\"]"},
        {"GET", "/v1/hosts/h1/tasks", "", "200 {\"boot_count\":1,\"host\":\"h1\",\"tasks\":[{"},
        {"POST", "/v1/hosts/h2/reboot", "{}", "400 "},
        {"POST", "/v1/hosts/h2/reboot", R"({"command":"c"})", "200 {\"repeat\":false}"},
        {"GET", "/v1/hosts/h2/tasks", "", "409 "},
    };
    for (const auto& it : rows)
    {
        const auto seen = caller.call(it.method, it.path, it.body);
        STRCMP_EQUAL(it.seen, seen.substr(0, std::string(it.seen).size()).c_str());
    }
    STRCMP_CONTAINS("\"end\":\"stopped\"", driver.call("GET", "/control/record").c_str());
}

TEST(worker_service, notices_are_delivered_in_order)
{
    STRCMP_CONTAINS(
        "200 {}", driver.call("POST", "/control", R"({"zone":"b","fail":true})").c_str());
    STRCMP_CONTAINS(
        "200 {}", driver.call("POST", "/control", R"({"all":true,"return":true})").c_str());
    const std::string expected = "PUT /v1/hosts/h1 {\"boot_count\":1,\"state\":\"live\"}\n"
                                 "PUT /v1/hosts/h2 {\"boot_count\":1,\"state\":\"live\"}\n"
                                 "PUT /v1/hosts/h2 {\"boot_count\":1,\"state\":\"down\"}\n"
                                 "PUT /v1/hosts/h2 {\"boot_count\":2,\"state\":\"live\"}\n";
    CHECK(
        standin_support::run_until(host.loop, [&] { return received.size() >= expected.size(); }));
    STRCMP_EQUAL(expected.c_str(), received.c_str());
}

// A live host is unreachable: calls fail without an answer, and its tasks continue to run.
TEST(worker_service, unreachable_host_answers_nothing)
{
    caller.call(
        "POST", "/v1/hosts/h1/tasks", R"({"task":"t","run_time_ms":60000,"lease_ttl_ms":60000})");
    driver.call("POST", "/control", R"({"host":"h1","unreachable":true})");
    STRCMP_EQUAL("closed", caller.call("GET", "/v1/hosts/h1/tasks").c_str());
    STRCMP_CONTAINS("\"running\":1", driver.call("GET", "/control/stats").c_str());
}
