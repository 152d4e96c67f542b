#include "route_table.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <set>

using namespace camphorhitch;
using namespace camphorhitch::relay;

namespace
{

constexpr int zones = 6;

std::string zone_of(int i)
{
    return "z" + std::to_string(i % zones);
}

ports::relay_endpoint relay_of(int i, double share = 0.25)
{
    return {"n" + std::to_string(i), "10.0.0.1:7400", zone_of(i), share};
}

ports::runner_ref runner_of(int i)
{
    return {"r" + std::to_string(i), "10.1.0.1:80", zone_of(i)};
}

/// A fleet in which each runner has a route.
struct routed_fleet
{
    route_table t;
    int runners = 0;

    routed_fleet(int relays, int all_runners) : runners(all_runners)
    {
        for (int i = 0; i < relays; ++i)
        {
            add_relay(t, relay_of(i));
        }
        find_routes();
    }

    std::vector<std::string> find_routes()
    {
        std::vector<std::string> out;
        for (int i = 0; i < runners; ++i)
        {
            out.push_back(find_route(t, runner_of(i), {}));
        }
        return out;
    }
};

struct size_row
{
    int relays;
    int runners;
};

constexpr size_row sizes[] = {{3, 50}, {47, 372}, {1000, 10000}};

} // namespace

TEST_GROUP(route_table){};

// Guards against a coordinator that stops responding in a large fleet: relays renew their records
// many times a second, and each renewal once compared all runners with all relays.
TEST(route_table, a_renewed_record_costs_nothing)
{
    for (const auto& it : sizes)
    {
        routed_fleet f(it.relays, it.runners);
        const auto before = f.t.comparisons;
        const auto routes = f.find_routes();
        for (int i = 0; i < it.relays; ++i)
        {
            add_relay(f.t, relay_of(i));
        }
        CHECK(f.find_routes() == routes);
        CHECK_EQUAL(before, f.t.comparisons);
    }
}

// Guards against the same overload while relays connect one by one: each relay that became ready
// once caused a comparison of all runners with all relays.
TEST(route_table, an_added_relay_costs_one_comparison_for_each_runner)
{
    for (const auto& it : sizes)
    {
        routed_fleet f(it.relays, it.runners);
        const auto before = f.t.comparisons;
        add_relay(f.t, relay_of(it.relays));
        f.find_routes();
        CHECK(f.t.comparisons - before <= static_cast<std::uint64_t>(it.runners));
    }
}

// Guards against calls to one runner by two relays alternately: the relay of a runner must not
// depend on the order in which the relays were added.
TEST(route_table, routes_do_not_depend_on_the_order_of_events)
{
    routed_fleet grown(2, 300);
    for (int i = 2; i < 20; ++i)
    {
        add_relay(grown.t, relay_of(i));
    }
    routed_fleet complete(20, 300);
    CHECK(grown.find_routes() == complete.find_routes());
    remove_relay(grown.t, relay_of(7).member);
    remove_relay(grown.t, relay_of(8).member);
    add_relay(grown.t, relay_of(8));
    remove_relay(complete.t, relay_of(7).member);
    CHECK(grown.find_routes() == complete.find_routes());
}

TEST(route_table, a_removed_relay_moves_only_its_own_runners)
{
    routed_fleet f(12, 300);
    const auto before = f.find_routes();
    remove_relay(f.t, "n3");
    const auto after = f.find_routes();
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        CHECK(before[i] == "n3" ? after[i] != "n3" : after[i] == before[i]);
    }
}

TEST(route_table, a_relay_in_the_runners_zone_is_preferred_to_any_other)
{
    route_table t;
    CHECK(find_route(t, runner_of(0), {}).empty());
    add_relay(t, relay_of(1));
    STRCMP_EQUAL("n1", find_route(t, runner_of(0), {}).c_str());
    add_relay(t, relay_of(0, 0.01));
    STRCMP_EQUAL("n0", find_route(t, runner_of(0), {}).c_str());
    remove_relay(t, "n0");
    STRCMP_EQUAL("n1", find_route(t, runner_of(0), {}).c_str());
}

TEST(route_table, an_avoided_relay_is_not_chosen_when_it_is_added_again)
{
    route_table t;
    add_relay(t, relay_of(0));
    add_relay(t, relay_of(1));
    forget_route(t, "r0");
    STRCMP_EQUAL("n1", find_route(t, runner_of(0), "n0").c_str());
    add_relay(t, relay_of(0, 0.5));
    STRCMP_EQUAL("n1", find_route(t, runner_of(0), "n0").c_str());
    forget_route(t, "r0");
    STRCMP_EQUAL("n0", find_route(t, runner_of(0), {}).c_str());
}

TEST(route_table, runners_are_spread_by_share)
{
    route_table t;
    add_relay(t, relay_of(0, 0.1));
    add_relay(t, relay_of(6, 0.4));
    int small = 0;
    constexpr int runners = 1000;
    for (int i = 0; i < runners; ++i)
    {
        small += find_route(t, runner_of(i * zones), {}) == "n0" ? 1 : 0;
    }
    CHECK(small > 140 && small < 260);
}
