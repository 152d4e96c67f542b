#include "any_document.hpp"
#include "describe_config.hpp"
#include "describe_fleet.hpp"
#include "field_count.hpp"
#include "model/codec.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::model;

namespace
{

decoded<configuration> read(const configuration& d)
{
    return decode_configuration(encode(d), "d", strictness::strict);
}

decoded<pool_document> read(const pool_document& d)
{
    return decode_pool(encode(d), "d", strictness::strict);
}

decoded<wave_document> read(const wave_document& d)
{
    return decode_wave(encode(d), "d", strictness::strict);
}

decoded<roster_document> read(const roster_document& d)
{
    return decode_roster(encode(d), "d");
}

decoded<member_record> read(const member_record& d)
{
    return decode_member(encode(d), "d");
}

template <class Make>
bool is_unchanged_by_round_trip(const char* what, Make make)
{
    return rc::check(what,
        [&]
        {
            const auto before = make();
            const auto after = read(before);
            if (const auto* found = std::get_if<core::findings>(&after))
            {
                RC_FAIL(core::to_text(*found));
            }
            RC_ASSERT(std::get<0>(after) == before);
        });
}

} // namespace

TEST_GROUP(codec){};

TEST(codec, a_round_trip_leaves_every_document_unchanged)
{
    CHECK(is_unchanged_by_round_trip("configuration", any_configuration));
    CHECK(is_unchanged_by_round_trip("pool", any_pool));
    CHECK(is_unchanged_by_round_trip("wave", any_wave));
    CHECK(is_unchanged_by_round_trip("roster", any_roster));
    CHECK(is_unchanged_by_round_trip("member", [] { return any_member(0); }));
}

/// Guards against a member that is added to a struct but not to its describe(). Each write would
/// lose the value without an error, because the document is read with the default of the member.
TEST(codec, every_member_of_every_struct_has_a_key)
{
    struct row
    {
        const char* record;
        std::size_t members;
        std::size_t keys;
    };
    const row rows[] = {
        {"budget", field_count<availability_budget>(), key_count<availability_budget>()},
        {"class_limits", field_count<class_limits>(), key_count<class_limits>()},
        {"pool_config", field_count<pool_config>(), key_count<pool_config>()},
        {"policy_config", field_count<policy_config>(), key_count<policy_config>()},
        {"team_config", field_count<team_config>(), key_count<team_config>()},
        {"configuration", field_count<configuration>(), key_count<configuration>()},
        {"decision_record", field_count<decision_record>(), key_count<decision_record>()},
        {"host_record", field_count<host_record>(), key_count<host_record>()},
        {"released_host", field_count<released_host>(), key_count<released_host>()},
        {"pool_document", field_count<pool_document>(), key_count<pool_document>()},
        {"wave_document", field_count<wave_document>(), key_count<wave_document>()},
        {"member_record", field_count<member_record>(), key_count<member_record>()},
        {"former_roster", field_count<former_roster>(), key_count<former_roster>()},
        {"roster_document", field_count<roster_document>(), key_count<roster_document>()},
    };
    for (const auto& it : rows)
    {
        CHECK_EQUAL_TEXT(it.members, it.keys, it.record);
    }
}
