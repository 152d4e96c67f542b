#include "hosted/keys.hpp"
#include "hosted/relay_registry.hpp"
#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using hosted::relay_registry;

namespace
{

/// A node that offers to relay, or follows those that do.
struct registered
{
    daemon_fakes::process process;
    daemon_fakes::log_recorder log;
    std::vector<ports::relay_endpoint> seen;
    int told = 0;
    hosted::context ctx;
    std::unique_ptr<relay_registry> made;

    registered(daemon_fakes::virtual_time& time, store& s, const std::string& member)
    {
        ctx.member = member;
        ctx.time = time.port(process);
        ctx.store = s.port(process);
        ctx.tel = log.port(time);
        made = std::make_unique<relay_registry>(ctx,
            hosted::registry_settings{},
            [this](std::vector<ports::relay_endpoint> all)
            {
                seen = std::move(all);
                ++told;
            });
    }
};

struct damaged_row
{
    const char* name;
    const char* text;
};

const damaged_row damaged[] = {
    {"no document", "\xff{"},
    {"another type", "[1]"},
    {"a field missing", R"({"address":"10.0.0.1:7060","zone":"z"})"},
    {"a field of another type", R"({"address":7060,"zone":"z","share":1})"},
    {"no address", R"({"address":"","zone":"z","share":1})"},
    {"no share", R"({"address":"10.0.0.1:7060","zone":"z","share":0})"},
};

} // namespace

TEST_GROUP(relay_registry)
{
    daemon_fakes::virtual_time time;
    store kept{time};
    registered a{time, kept, "a"};
    registered watcher{time, kept, "w"};
    const ports::relay_endpoint place{"a", "10.0.0.1:7060", "z", 0.25};

    bool sees(std::size_t n)
    {
        return time.run_until([&] { return watcher.seen.size() == n; }, 40s);
    }
};

TEST(relay_registry, a_place_comes_back_as_it_was)
{
    const auto read = hosted::read_relay("a", hosted::write_relay(place));
    CHECK(core::is_ok(read));
    STRCMP_EQUAL("a", core::value(read).member.c_str());
    STRCMP_EQUAL("10.0.0.1:7060", core::value(read).address.c_str());
    STRCMP_EQUAL("z", core::value(read).zone.c_str());
    DOUBLES_EQUAL(0.25, core::value(read).cpu_share, 0);
}

TEST(relay_registry, followers_see_who_offers_and_who_withdraws)
{
    watcher.made->follow();
    a.made->offer(place);
    CHECK(sees(1));
    time.run_for(30s);
    CHECK_EQUAL(1U, watcher.seen.size());
    a.made->withdraw();
    CHECK(sees(0));
}

// Guards against a coordinator of many nodes that does little but take in lists as it has them:
// each node writes its key twice a minute.
TEST(relay_registry, an_entry_written_again_as_it_was_is_not_told)
{
    watcher.made->follow();
    a.made->offer(place);
    CHECK(sees(1));
    const auto before = watcher.told;
    const auto written = kept.find(hosted::relay_key("a"))->modified;
    time.run_for(70s);
    CHECK(kept.find(hosted::relay_key("a"))->modified > written);
    CHECK_EQUAL(before, watcher.told);
}

TEST(relay_registry, a_dead_node_is_listed_no_more_after_its_lease)
{
    watcher.made->follow();
    a.made->offer(place);
    CHECK(sees(1));
    a.process.dead = true;
    CHECK(sees(0));
}

// The store takes the key away while the lease goes on: the node is listed again.
TEST(relay_registry, an_entry_that_was_taken_away_is_written_again)
{
    watcher.made->follow();
    a.made->offer(place);
    CHECK(sees(1));
    kept.revoke(hosted::relay_key("a"));
    CHECK(sees(0));
    CHECK(sees(1));
}

// The node stands still for longer than its lease, and is listed again once it goes on.
TEST(relay_registry, a_lapsed_entry_is_written_again)
{
    watcher.made->follow();
    a.made->offer(place);
    CHECK(sees(1));
    a.process.paused = true;
    CHECK(sees(0));
    time.resume(a.process);
    CHECK(sees(1));
}

TEST(relay_registry, an_entry_that_cannot_be_read_is_passed_over)
{
    watcher.made->follow();
    a.made->offer(place);
    for (const auto& row : damaged)
    {
        CHECK_TEXT(!core::is_ok(hosted::read_relay("b", row.text)), row.name);
        kept.put(hosted::relay_key("b"), row.text);
    }
    CHECK(sees(1));
    CHECK(watcher.log.has("relay_entry_damaged"));
}

TEST(relay_registry, a_store_that_fails_is_tried_again)
{
    kept.busy = true;
    a.made->offer(place);
    watcher.made->follow();
    time.run_for(5s);
    kept.busy = false;
    CHECK(sees(1));
}
