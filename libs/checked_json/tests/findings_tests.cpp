#include "sample.hpp"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::checked_json;

namespace
{

std::string findings_of(const std::string& text, strictness mode, const parse_limits& limits = {})
{
    const auto r = decode<sample>(text, "s", mode, limits);
    const auto* found = std::get_if<core::findings>(&r);
    return found == nullptr ? std::string{} : core::to_text(*found);
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_GROUP(reading){};

TEST(reading, each_error_is_reported_with_its_position)
{
    struct row
    {
        const char* text;
        const char* findings;
    };
    const row rows[] = {
        {R"({"name":"a"})", ""},
        {R"({"//":"a comment","name":"a"})", ""},
        {R"({})", "s:1:1: lacks the key 'name'\n"},
        {R"([])", "s:1:1: must be an object, is a list\n"},
        {R"(7)", "s:1:1: must be an object, is a number\n"},
        {"{\"name\":\n  7}", "s:2:3 /name: must be a text, is a number\n"},
        {R"({"name":"a b"})", "s:1:9 /name: may hold letters, digits, '.', '_' and '-' only\n"},
        {R"({"name":""})", "s:1:9 /name: must have 1 to 64 characters\n"},
        {"{\"name\":\"a\",\n\"sise\":1}", "s:2:1 /sise: unknown key (did you mean 'size'?)\n"},
        {R"({"name":"a","a/b~":1})", "s:1:13 /a~1b~0: unknown key\n"},
        {R"({"name":"a","ready":1})", "s:1:21 /ready: must be true or false, is a number\n"},
        {R"({"name":"a","size":11})", "s:1:20 /size: must be at most 10\n"},
        {R"({"name":"a","size":0})", "s:1:20 /size: must be at least 1\n"},
        {R"({"name":"a","size":2.5})",
            "s:1:20 /size: must be a whole number, is a floating-point number\n"},
        {R"({"name":"a","size":null})", "s:1:20 /size: must be a whole number, is null\n"},
        {R"({"name":"a","size":18446744073709551615})",
            "s:1:20 /size: must be a whole number, is a number above 2^63\n"},
        {R"({"name":"a","epoch":18446744073709551615})", ""},
        {R"({"name":"a","epoch":-1})", "s:1:21 /epoch: must be at least 0\n"},
        {R"({"name":"a","share":1.5})", "s:1:21 /share: must be at most 1\n"},
        {R"({"name":"a","share":true})", "s:1:21 /share: must be a number, is true or false\n"},
        {R"({"name":"a","wait_ms":1001})", "s:1:23 /wait_ms: must be at most 1000 ms\n"},
        {R"({"name":"a","wait_ms":"1"})",
            "s:1:23 /wait_ms: must be a whole number of milliseconds, is a text\n"},
        {R"({"name":"a","shade":"gren"})",
            "s:1:21 /shade: 'gren' is none of: red, green (did you mean 'green'?)\n"},
        {R"({"name":"a","address":"localhost:80"})",
            "s:1:23 /address: must be an IP number and a port, as 10.0.0.7:8080 (no host name)\n"},
        {R"({"name":"a","tags":["x","y","x"]})", "s:1:29 /tags/2: 'x' stands twice in the list\n"},
        {R"({"name":"a","tags":"x"})", "s:1:20 /tags: must be a list, is a text\n"},
        {R"({"name":"a","parts":[{"id":"p"},{"id":"p"}]})",
            "s:1:33 /parts/1: id 'p' stands twice in the list\n"},
        {R"({"name":"a","parts":[{"id":"123456789"}]})",
            "s:1:28 /parts/0/id: must have at most 8 bytes\n"},
        {R"({"name":"a","parts":[{"id":""}]})", "s:1:28 /parts/0/id: must not be empty\n"},
        {R"({"name":"a","name":"b"})", "s:1:13 /name: key stands twice\n"},
        {"{\"size\":0,\n\"wait_ms\":0,\n\"parts\":[{\"cuont\":1}]}",
            "s:1:1: lacks the key 'name'\n"
            "s:1:9 /size: must be at least 1\n"
            "s:2:11 /wait_ms: must be at least 1 ms\n"
            "s:3:10 /parts/0: lacks the key 'id'\n"
            "s:3:11 /parts/0/cuont: unknown key (did you mean 'count'?)\n"},
    };
    for (const auto& it : rows)
    {
        STRCMP_EQUAL(it.findings, findings_of(it.text, strictness::strict).c_str());
    }
}

TEST(reading, lenient_mode_ignores_unknown_keys_only)
{
    struct row
    {
        const char* text;
        const char* findings;
    };
    const row rows[] = {
        {R"({"name":"a","new":{"x":[1]}})", ""},
        {R"({"name":"a","size":11})", "s:1:20 /size: must be at most 10\n"},
        {R"({"new":1})", "s:1:1: lacks the key 'name'\n"},
        {R"({"name":"a","new":1,"new":2})", "s:1:21 /new: key stands twice\n"},
    };
    for (const auto& it : rows)
    {
        STRCMP_EQUAL(it.findings, findings_of(it.text, strictness::lenient).c_str());
    }
}

TEST(reading, invalid_or_too_large_text_gives_one_finding_with_its_position)
{
    struct row
    {
        std::string text;
        const char* begin;
    };
    const row rows[] = {
        {"", "s:1: syntax error while parsing value - unexpected end of input"},
        {"{\"name\":\n  \"a\",}", "s:2:7: syntax error while parsing object key"},
        {"{\"name\" 1}", "s:1:9: syntax error while parsing object separator"},
        {"{\"name\":\"\xff\"}",
            "s:1:9: syntax error while parsing value - invalid string: ill-formed UTF-8 byte; "
            "last read: '\"?'\n"},
        {"{\"a\":[1,2,{\"b\":tru}]}", "s:1:16 /a/2: syntax error while parsing value"},
        {"{\"a\":1e999}", "s:1:6: number overflow parsing '1e999'"},
        {nested(9), "s:1:9 /0/0/0/0/0/0/0: nested deeper than 8"},
        {"[1,2,3,4,5,6,7,8,9,10]", "s:1:20: more than 10 values"},
        {std::string(101, ' '), "s: is 101 bytes long, at most 100 are allowed"},
    };
    for (const auto& it : rows)
    {
        const auto text = findings_of(it.text, strictness::strict, {100, 8, 10});
        STRNCMP_EQUAL(it.begin, text.c_str(), std::string{it.begin}.size());
        LONGS_EQUAL(1, std::count(text.begin(), text.end(), '\n'));
    }
}

/// Guards against hostile text with thousands of unknown keys, or with a key of half a megabyte
/// that contains a line break and a forged log event. The findings stay short, and no key can add a
/// line that looks like output of this program.
TEST(reading, hostile_keys_are_truncated_and_findings_are_bounded)
{
    std::string many = "{\"name\":\"a\"";
    for (int i = 0; i < 5000; ++i)
    {
        many += ",\"k" + std::to_string(i) + "\":0";
    }
    const auto text = findings_of(many + "}", strictness::strict);
    LONGS_EQUAL(101, std::count(text.begin(), text.end(), '\n'));
    CHECK(text.find("has more findings than are shown here") != std::string::npos);

    const std::string large = "x\\nevent=forged" + std::string(500000, 'y');
    const auto one = findings_of("{\"name\":\"a\",\"" + large + "\":0}", strictness::strict);
    LONGS_EQUAL(1, std::count(one.begin(), one.end(), '\n'));
    CHECK(one.size() < 200);
}

TEST(reading, place_of_finds_each_value)
{
    struct row
    {
        const char* pointer;
        int line;
        int column;
    };
    const row rows[] = {{"", 1, 1},
        {"/a", 2, 5},
        {"/a/1", 3, 2},
        {"/a/1/x~1y", 3, 9},
        {"/b", 1, 1},
        {"/a/9", 2, 5}};
    const auto parsed = parse("{\n\"a\":[0,\n {\"x/y\":true}]}", "d");
    for (const auto& it : rows)
    {
        const auto where = place_of(std::get<document>(parsed), it.pointer);
        LONGS_EQUAL(it.line, where.line);
        LONGS_EQUAL(it.column, where.column);
    }
}

TEST(reading, addresses_are_ip_addresses_with_a_port)
{
    struct row
    {
        std::string text;
        bool is_valid;
    };
    const row rows[] = {{"10.0.0.7:8080", true},
        {"[fd00::7]:0", true},
        {"10.0.0.7", false},
        {"10.0.0.7:", false},
        {"10.0.0.7:65536", false},
        {"10.0.0.7:-1", false},
        {"10.0.0.7:80x", false},
        {"fd00::7:80", false},
        {"[fd00::7:80", false},
        {"host:80", false},
        {std::string("10.0.0.7\0x:80", 13), false},
        {"", false}};
    for (const auto& it : rows)
    {
        CHECK_EQUAL(it.is_valid, check_address(it.text).empty());
    }
}
