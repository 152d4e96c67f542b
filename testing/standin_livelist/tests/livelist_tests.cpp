#include "service.hpp"
#include "standin_support/test_client.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::standin_livelist;
using standin_support::test_client;

TEST_GROUP(livelist){};

TEST(livelist, readers_get_lagging_states)
{
    const auto at = [](int ms)
    {
        return core::mono_time{core::millis{ms}};
    };
    lagging_list list;
    set_state(list, {"h1", ports::live_state::live, 1}, at(100));
    set_state(list, {"h1", ports::live_state::down, 1}, at(200));
    set_state(list, {"h1", ports::live_state::live, 2}, at(300));
    struct row
    {
        int then_ms;
        std::size_t hosts;
        ports::live_state state;
        std::int64_t boot_count;
    };
    const row rows[] = {
        {99, 0, ports::live_state::live, 0},
        {100, 1, ports::live_state::live, 1},
        {299, 1, ports::live_state::down, 1},
        {300, 1, ports::live_state::live, 2},
    };
    for (const auto& it : rows)
    {
        const auto seen = read(list, at(it.then_ms));
        CHECK_EQUAL(it.hosts, seen.size());
        for (const auto& host : seen)
        {
            CHECK(it.state == host.state);
            CHECK_EQUAL(it.boot_count, host.boot_count);
        }
    }
}

// The platform's own updates must succeed during an outage for readers, because hosts change their
// states meanwhile.
TEST(livelist, updates_succeed_during_an_outage_for_readers)
{
    standin_support::standin host{{}};
    service list(host, core::millis{0});
    test_client platform(host.loop, list.control_port().port());
    const auto* const down = R"({"state":"down","boot_count":3})";
    platform.call("POST", "/control", R"({"outage_ms":60000})");
    STRCMP_CONTAINS("200", platform.call("PUT", "/v1/hosts/h1", down).c_str());
    STRCMP_CONTAINS("400", platform.call("PUT", "/v1/hosts/h1", R"({"state":"odd"})").c_str());
    {
        test_client reader(host.loop, list.port().port());
        STRCMP_EQUAL("closed", reader.call("GET", "/v1/hosts").c_str());
    }
    platform.call("POST", "/control", R"({"outage_ms":0})");
    test_client reader(host.loop, list.port().port());
    STRCMP_CONTAINS(
        R"([{"boot_count":3,"id":"h1","state":"down"}])", reader.call("GET", "/v1/hosts").c_str());
}
