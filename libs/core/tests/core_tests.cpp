#include "core/base64.hpp"
#include "core/findings.hpp"
#include "core/invariant.hpp"
#include "core/names.hpp"
#include "core/rendezvous.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch::core;

TEST_GROUP(findings){};

TEST(findings, text_contains_position_and_suggestion)
{
    struct row
    {
        finding input;
        const char* text;
    };
    const row rows[] = {
        {{{"a.json", "/x", 3, 7}, "unknown key", "y"},
            "a.json:3:7 /x: unknown key (did you mean 'y'?)\n"},
        {{{"", "/x", 0, 0}, "missing", ""}, "/x: missing\n"},
        {{{"", "", 0, 0}, "empty", ""}, "empty\n"},
    };
    for (const auto& it : rows)
    {
        STRCMP_EQUAL(it.text, to_text({it.input}).c_str());
    }
}

TEST(findings, nearest_name_within_two_edits_only)
{
    struct row
    {
        const char* word;
        const char* nearest;
    };
    const row rows[] = {{"hots", "hosts"}, {"pool", "pools"}, {"zzz", ""}, {"jobs", "jobs"}};
    for (const auto& it : rows)
    {
        STRCMP_EQUAL(it.nearest, nearest_name(it.word, {"hosts", "pools", "jobs"}).c_str());
    }
}

TEST_GROUP(rendezvous){};

TEST(rendezvous, order_of_members_does_not_matter)
{
    const auto a = rendezvous_order("pool/quotes", {"e1", "e2", "e3"});
    const auto b = rendezvous_order("pool/quotes", {"e3", "e1", "e2"});
    const std::vector<std::string_view> first = {"e1", "e2", "e3"};
    const std::vector<std::string_view> second = {"e3", "e1", "e2"};
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        CHECK(first[a[i]] == second[b[i]]);
    }
}

TEST(rendezvous, a_lost_member_moves_only_its_own_keys)
{
    for (int i = 0; i < 200; ++i)
    {
        const std::string key = "pool/" + std::to_string(i);
        const std::vector<std::string_view> three = {"e1", "e2", "e3"};
        const std::vector<std::string_view> two = {"e1", "e2"};
        const auto before = three[rendezvous_order(key, three)[0]];
        const auto after = two[rendezvous_order(key, two)[0]];
        CHECK(before == "e3" || before == after);
    }
}

TEST_GROUP(invariant){};

TEST(invariant, a_violation_calls_the_handler)
{
    std::string seen;
    auto before = set_invariant_handler([&](const std::string& text) { seen = text; });
    require(true, "fine");
    require(false, "two owners", "h1");
    set_invariant_handler(before);
    STRCMP_EQUAL("two owners: h1", seen.c_str());
}

TEST_GROUP(base64){};

TEST(base64, encodes_and_decodes)
{
    struct row
    {
        const char* bytes;
        const char* text;
    };
    const row rows[] = {
        {"", ""}, {"a", "YQ=="}, {"ab", "YWI="}, {"abc", "YWJj"}, {"\xff\xfe\xfd>", "//79Pg=="}};
    for (const auto& it : rows)
    {
        STRCMP_EQUAL(it.text, to_base64(it.bytes).c_str());
        STRCMP_EQUAL(it.bytes, from_base64(it.text).value().c_str());
    }
    for (const auto* const it : {"YQ", "Y?==", "YQ=a"})
    {
        CHECK(!from_base64(it).has_value());
    }
}
