#include "hosted/keys.hpp"
#include "hosted/relay_registry.hpp"
#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using hosted::relay_registry;

namespace
{

/// A node that registers as a relay, or follows the registered relays.
struct registered_node
{
    daemon_fakes::process process;
    daemon_fakes::log_recorder log;
    std::vector<ports::relay_endpoint> listed;
    int calls = 0;
    hosted::context ctx;
    std::unique_ptr<relay_registry> registry;

    registered_node(daemon_fakes::virtual_time& time, store& s, const std::string& member)
    {
        ctx.member = member;
        ctx.time = time.port(process);
        ctx.store = s.port(process);
        ctx.tel = log.port(time);
        registry = std::make_unique<relay_registry>(ctx,
            hosted::registry_settings{},
            [this](std::vector<ports::relay_endpoint> all)
            {
                listed = std::move(all);
                ++calls;
            });
    }
};

struct damaged_row
{
    const char* name;
    const char* text;
};

const damaged_row damaged_entries[] = {
    {"no document", "\xff{"},
    {"another type", "[1]"},
    {"a field missing", R"({"address":"10.0.0.1:7060","zone":"z"})"},
    {"a field of another type", R"({"address":7060,"zone":"z","share":1})"},
    {"no address", R"({"address":"","zone":"z","share":1})"},
    {"no share", R"({"address":"10.0.0.1:7060","zone":"z","share":0})"},
    {"a share too large", R"({"address":"10.0.0.1:7060","zone":"z","share":1e999})"},
    {"no port", R"({"address":"10.0.0.1","zone":"z","share":1})"},
    {"a port out of range", R"({"address":"10.0.0.1:65536","zone":"z","share":1})"},
    {"a port far out of range", R"({"address":"10.0.0.1:4294967376","zone":"z","share":1})"},
    {"a negative port", R"({"address":"10.0.0.1:-1","zone":"z","share":1})"},
    {"a host name", R"({"address":"relay.example:7060","zone":"z","share":1})"},
    {"text after the IP number", R"({"address":"10.0.0.1\u0000x:7060","zone":"z","share":1})"},
};

} // namespace

TEST_GROUP(relay_registry)
{
    daemon_fakes::virtual_time time;
    store kv{time};
    registered_node a{time, kv, "a"};
    registered_node watcher{time, kv, "w"};
    const ports::relay_endpoint endpoint{"a", "10.0.0.1:7060", "z", 0.25};

    bool lists(std::size_t n)
    {
        return time.run_until([&] { return watcher.listed.size() == n; }, 40s);
    }
};

TEST(relay_registry, a_written_endpoint_is_read_back)
{
    const auto read = hosted::read_relay("a", hosted::write_relay(endpoint));
    CHECK(core::is_ok(read));
    STRCMP_EQUAL("a", core::value(read).member.c_str());
    STRCMP_EQUAL("10.0.0.1:7060", core::value(read).address.c_str());
    STRCMP_EQUAL("z", core::value(read).zone.c_str());
    DOUBLES_EQUAL(0.25, core::value(read).cpu_share, 0);
}

TEST(relay_registry, followers_see_who_offers_and_who_withdraws)
{
    watcher.registry->follow();
    a.registry->advertise(endpoint);
    CHECK(lists(1));
    time.run_for(30s);
    CHECK_EQUAL(1U, watcher.listed.size());
    a.registry->withdraw();
    CHECK(lists(0));
}

// Each node rewrites its key twice a minute. Guards against a coordinator of many nodes that spends
// its time on applying unchanged lists.
TEST(relay_registry, an_entry_rewritten_without_a_change_is_not_reported)
{
    watcher.registry->follow();
    a.registry->advertise(endpoint);
    CHECK(lists(1));
    const auto before = watcher.calls;
    const auto written = kv.find(hosted::relay_key("a"))->modified;
    time.run_for(70s);
    CHECK(kv.find(hosted::relay_key("a"))->modified > written);
    CHECK_EQUAL(before, watcher.calls);
}

TEST(relay_registry, a_dead_node_is_removed_after_its_lease)
{
    watcher.registry->follow();
    a.registry->advertise(endpoint);
    CHECK(lists(1));
    a.process.dead = true;
    CHECK(lists(0));
}

// The store removes the key while the lease continues. The node must be listed again.
TEST(relay_registry, a_removed_entry_is_written_again)
{
    watcher.registry->follow();
    a.registry->advertise(endpoint);
    CHECK(lists(1));
    kv.revoke(hosted::relay_key("a"));
    CHECK(lists(0));
    CHECK(lists(1));
}

// The node is paused for longer than its lease. It must be listed again once it continues.
TEST(relay_registry, an_expired_entry_is_written_again)
{
    watcher.registry->follow();
    a.registry->advertise(endpoint);
    CHECK(lists(1));
    a.process.paused = true;
    CHECK(lists(0));
    time.resume(a.process);
    CHECK(lists(1));
}

TEST(relay_registry, an_unreadable_entry_is_ignored)
{
    watcher.registry->follow();
    a.registry->advertise(endpoint);
    for (const auto& row : damaged_entries)
    {
        CHECK_TEXT(!core::is_ok(hosted::read_relay("b", row.text)), row.name);
        kv.put(hosted::relay_key("b"), row.text);
    }
    CHECK(lists(1));
    CHECK(watcher.log.has("relay_entry_damaged"));
}

// Guards against an end of the process, or a list that is not followed any more, caused by a deeply
// nested entry.
TEST(relay_registry, a_deeply_nested_entry_is_ignored)
{
    constexpr std::size_t levels = 200'000;
    const auto nested = std::string(levels, '[') + std::string(levels, ']');
    kv.put(hosted::relay_key("b"), nested);
    watcher.registry->follow();
    kv.put(hosted::relay_key("c"), R"({"address":)" + nested + R"(,"zone":"z","share":1})");
    kv.put(hosted::relay_key("d"), std::string(levels, '['));
    a.registry->advertise(endpoint);
    CHECK(lists(1));
    STRCMP_EQUAL("a", watcher.listed[0].member.c_str());
}

// Guards against a log line for each time that the list is read, about an entry that stays damaged.
TEST(relay_registry, a_damaged_entry_is_logged_once)
{
    const auto lines_with = [this](const char* text)
    {
        return std::count_if(watcher.log.lines.begin(),
            watcher.log.lines.end(),
            [text](const auto& it) { return it.find(text) != std::string::npos; });
    };
    kv.put(hosted::relay_key("b"), "{");
    watcher.registry->follow();
    for (int i = 0; i < 3; ++i)
    {
        kv.busy = true;
        kv.put(hosted::relay_key("c"), hosted::write_relay(endpoint));
        time.run_for(40s);
        kv.put(hosted::relay_key("c"), hosted::write_relay(endpoint));
        kv.compact();
        kv.busy = false;
        time.run_for(40s);
    }
    CHECK(lines_with("history_lost") >= 2);
    LONGS_EQUAL(1, lines_with("relay_entry_damaged"));
    kv.put(hosted::relay_key("b"), "[");
    time.run_for(40s);
    LONGS_EQUAL(2, lines_with("relay_entry_damaged"));
}

TEST(relay_registry, calls_to_a_failing_store_are_retried)
{
    kv.busy = true;
    a.registry->advertise(endpoint);
    watcher.registry->follow();
    time.run_for(5s);
    kv.busy = false;
    CHECK(lists(1));
}
