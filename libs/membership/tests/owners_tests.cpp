#include "membership/accept_config.hpp"
#include "membership/owners.hpp"

#include "fixture.hpp"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::membership;
using namespace camphorhitch::membership::testing;

TEST_GROUP(owners){};

/// Guards against two versions that rank members differently: a slot would have two first holders
/// at one epoch, and both could grant the same key. These values are part of the protocol.
TEST(owners, ranks_are_the_same_in_every_version)
{
    struct row
    {
        std::uint32_t slot;
        const char* first;
        const char* second;
    };
    const row rows[] = {
        {0, "e2", "e3"}, {1, "e6", "e2"}, {77, "e5", "e4"}, {128, "e5", "e4"}, {255, "e3", "e4"}};
    const auto all = members(6);
    for (const auto& it : rows)
    {
        const auto holders = claim_holders(all, it.slot);
        STRCMP_EQUAL(it.first, holders.first->id.c_str());
        STRCMP_EQUAL(it.second, holders.second->id.c_str());
    }
    LONGS_EQUAL(57, slot_of_key("7f3c-deposit-1"));
    STRCMP_EQUAL("e3", owner_of_pool(roster(1, all), "quotes")->id.c_str());
}

TEST(owners, second_holder_is_in_another_zone_where_there_is_one)
{
    auto same_zone = members(4);
    for (auto& it : same_zone)
    {
        it.zone = "z";
    }
    for (std::uint32_t slot = 0; slot < slot_count; ++slot)
    {
        const auto all = members(6);
        const auto spread = claim_holders(all, slot);
        CHECK(spread.first->zone != spread.second->zone);
        const auto packed = claim_holders(same_zone, slot);
        CHECK(packed.second != nullptr && packed.second != packed.first);
        const auto single = members(1);
        POINTERS_EQUAL(nullptr, claim_holders(single, slot).second);
        POINTERS_EQUAL(nullptr, claim_holders({}, slot).first);
    }
}

TEST(owners, every_member_holds_slots)
{
    std::set<std::string> holders;
    const auto all = members(9);
    for (std::uint32_t slot = 0; slot < slot_count; ++slot)
    {
        holders.insert(claim_holders(all, slot).first->id);
    }
    LONGS_EQUAL(9, holders.size());
}

TEST_GROUP(accept_config){};

/// Guards against putting replaced settings in force. A host boots while the service is down and
/// hears only a peer that was cut off before the newest change. That peer's configuration contains
/// settings that operators have replaced, so the host waits.
TEST(accept_config, never_returns_to_an_older_version)
{
    struct row
    {
        std::optional<std::int64_t> current;
        std::int64_t offered;
        config_source source;
        bool accepted;
    };
    const row rows[] = {
        {std::nullopt, 7, config_source::store, true},
        {std::nullopt, 7, config_source::fresh_peer, true},
        {std::nullopt, 7, config_source::stale_peer, false},
        {7, 8, config_source::store, true},
        {7, 8, config_source::stale_peer, true},
        {7, 7, config_source::store, false},
        {7, 6, config_source::store, false},
        {7, 6, config_source::fresh_peer, false},
    };
    for (const auto& it : rows)
    {
        CHECK_EQUAL(it.accepted, accept_config(it.current, it.offered, it.source));
    }
}
