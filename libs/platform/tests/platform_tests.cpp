#include "messages.hpp"
#include "platform/platform_client.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;

TEST_GROUP(platform_messages){};

TEST(platform_messages, a_damaged_list_is_not_known)
{
    for (const char* text : {"", "{}", "[]", "{\"hosts\":3}", "\xff"})
    {
        CHECK_FALSE(platform::read_live_list(text).known);
        CHECK_FALSE(platform::read_task_reports("h1", text).known);
    }
}

TEST(platform_messages, invalid_rows_are_omitted)
{
    const auto list = platform::read_live_list(
        R"({"hosts":[{"id":"h1","state":"live","boot_count":3},{"id":"h2","state":"odd"},7,
            {"id":"h3","state":"leaving","boot_count":"x"}]})");
    CHECK(list.known);
    LONGS_EQUAL(2, list.hosts.size());
    LONGS_EQUAL(3, list.hosts[0].boot_count);
    CHECK(list.hosts[1].state == ports::live_state::leaving);
}

// Guards against an end of the process: the stack overflowed when a list with deeply nested rows
// was copied.
TEST(platform_messages, deeply_nested_rows_are_omitted)
{
    constexpr std::size_t levels = 200'000;
    const auto nested = std::string(levels, '[') + std::string(levels, ']');
    const auto list =
        platform::read_live_list(R"({"hosts":[)" + nested + R"(,{"id":"h1","state":"live"}]})");
    CHECK(list.known);
    LONGS_EQUAL(1, list.hosts.size());
    const auto reports = platform::read_task_reports(
        "h1", R"({"tasks":[{"task":)" + nested + R"(},{"task":"t","state":"running"}]})");
    CHECK(reports.known);
    LONGS_EQUAL(1, reports.tasks.size());
}

TEST_GROUP(platform_client){};

// The answer to an order is lost after the worker has accepted the order. The status must not be
// "refused", as the order would be repeated under another task name and the job would run twice.
TEST(platform_client, the_status_of_an_order_claims_no_more_than_is_proven)
{
    struct row
    {
        ports::call_end end;
        int status;
        ports::platform_status expected;
    };
    const row rows[] = {
        {ports::call_end::answered, 200, ports::platform_status::ok},
        {ports::call_end::answered, 409, ports::platform_status::refused},
        {ports::call_end::answered, 500, ports::platform_status::unknown},
        {ports::call_end::not_sent, 0, ports::platform_status::refused},
        {ports::call_end::interrupted, 0, ports::platform_status::unknown},
        {ports::call_end::answer_broken, 200, ports::platform_status::unknown},
    };
    for (const auto& it : rows)
    {
        ports::http_client http;
        http.send = [&](const ports::http_call&, std::function<void(ports::http_outcome)> done)
        {
            ports::http_outcome out;
            out.end = it.end;
            out.response.status = it.status;
            done(out);
            return ports::call_id{1};
        };
        auto built = platform::platform_client::builder()
                         .http(http)
                         .live_list("127.0.0.1:1")
                         .workers("127.0.0.1:2")
                         .build();
        CHECK(core::is_ok(built));
        auto reported = ports::platform_status::ok;
        core::value(built).port().start_task(
            {}, [&](ports::platform_status status) { reported = status; });
        CHECK(reported == it.expected);
    }
}
