#include "any_document.hpp"
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
bool returns_unchanged(const char* what, Make make)
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

TEST(codec, every_document_returns_unchanged)
{
    CHECK(returns_unchanged("configuration", any_configuration));
    CHECK(returns_unchanged("pool", any_pool));
    CHECK(returns_unchanged("wave", any_wave));
    CHECK(returns_unchanged("roster", any_roster));
    CHECK(returns_unchanged("member", [] { return any_member(0); }));
}
