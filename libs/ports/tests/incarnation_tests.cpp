#include "ports/incarnation.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using ports::incarnation;

TEST_GROUP(incarnation){};

TEST(incarnation, a_text_is_read_back)
{
    struct row
    {
        const char* text;
        incarnation value;
    };
    const row rows[] = {
        {"i-1", {"i-1", 0}},
        {"i-1/1764800000123", {"i-1", 1764800000123}},
    };
    for (const auto& it : rows)
    {
        CHECK_TEXT(ports::read_incarnation(it.text) == it.value, it.text);
        STRCMP_EQUAL(it.text, ports::write_incarnation(it.value).c_str());
    }
}

// Guards against a start time that is read from a text without one: two runners, or two
// incarnations, would count as the same.
TEST(incarnation, a_text_without_a_valid_start_time_is_an_id)
{
    for (const auto* const it : {"", "/", "i-1/", "i-1/x", "i-1/0", "i-1/-5", "i-1/1.5", "i-1/ 7"})
    {
        CHECK_TEXT((ports::read_incarnation(it) == incarnation{it, 0}), it);
    }
    CHECK(ports::read_incarnation("i-1/99999999999999999999").born_ms == 0);
}

TEST(incarnation, incarnations_of_one_runner_have_its_id)
{
    CHECK(ports::is_same_runner("i-1/7", "i-1/8"));
    CHECK(ports::is_same_runner("i-1", "i-1/8"));
    CHECK_FALSE(ports::is_same_runner("i-1/7", "i-2/7"));
}
