#include "fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::relay;
using namespace camphorhitch::relay::testing;
using namespace std::chrono_literals;

namespace
{

struct bad_frame_row
{
    const char* name;
    std::string bytes;
    const char* logged;
};

const bad_frame_row bad_frames[] = {
    {"a length beyond the bound", std::string("\xff\xff\xff\x7f", 4), "a frame of 2147483647"},
    {"not a whole word", std::string("\x03\0\0\0abc", 7), "bad frame"},
    {"no message", std::string("\x08\0\0\0", 4) + std::string(8, '\xff'), "bad frame"},
};

} // namespace

TEST_GROUP(relay_server)
{
    relay_node node{"a"};
};

TEST(relay_server, a_bad_frame_ends_its_connection_only)
{
    http_fakes::raw_caller sound(node.port);
    for (const auto& row : bad_frames)
    {
        http_fakes::raw_caller caller(node.port);
        caller.write(node.loop, row.bytes);
        CHECK_TEXT(http_fakes::run_until(node.loop, [&] { return caller.closed(); }), row.name);
        CHECK_TEXT(node.log.has(row.logged), row.name);
    }
    CHECK(!sound.closed());
}

TEST(relay_server, an_idle_connection_receives_heartbeats)
{
    http_fakes::raw_caller caller(node.port);
    http_fakes::run_for(node.loop, 900ms);
    const auto received = caller.read();
    // The first frame states what the relay supports.
    const std::size_t greeting = 4 + static_cast<unsigned char>(received.at(0));
    CHECK(greeting > 4);
    CHECK(received.size() >= greeting + 3 * 4);
    CHECK(received.substr(greeting) == std::string(received.size() - greeting, '\0'));
}

TEST(relay_server, connections_are_bounded)
{
    std::list<http_fakes::raw_caller> callers;
    for (std::size_t i = 0; i < server_limits{}.max_connections + 2; ++i)
    {
        callers.emplace_back(node.port);
        http_fakes::run_for(node.loop, 5ms);
    }
    CHECK(callers.front().closed());
    CHECK(!callers.back().closed());
}

TEST(relay_server, an_address_in_use_is_an_error)
{
    const auto again = server::open(http_fakes::loopback(node.port),
        {&node.loop,
            node.runners.port(),
            node.log.port(),
            [this]
            {
                return node.loop.scheduler().now();
            }},
        {});
    CHECK(!core::is_ok(again));
}
