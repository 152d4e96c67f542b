#include "standin_support/json.hpp"
#include "standin_support/router.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::standin_support;

TEST_GROUP(standin_text){};

TEST(standin_text, reader_reports_all_findings_together)
{
    object_reader reader(R"({"n": "12x", "on": 1, "share": 2, "inner": {"odd": 1}, "more": 0})");
    std::int64_t n = 0;
    bool on = false;
    double share = 0;
    reader.read("n", n);
    reader.read("on", on);
    reader.read_share("share", share);
    reader.object("inner");
    STRCMP_EQUAL("/n: must be an integer\n"
                 "/on: must be true or false\n"
                 "/share: must be a number from 0 to 1\n"
                 "/more: not known here\n"
                 "/inner/odd: not known here\n",
        core::to_text(reader.finish()).c_str());
}

TEST(standin_text, reader_accepts_integers_as_numbers_or_text)
{
    for (const auto* const it : {R"({"n": 9007199254740993})", R"({"n": "9007199254740993"})"})
    {
        object_reader reader(it);
        std::int64_t n = 0;
        CHECK(reader.read("n", n));
        CHECK_EQUAL(9007199254740993, n);
        CHECK(reader.finish().empty());
    }
}

TEST(standin_text, patterns_match_whole_segments_of_paths)
{
    struct row
    {
        const char* pattern;
        const char* path;
        bool fits;
    };
    const row rows[] = {
        {"/v1/hosts/*/tasks", "/v1/hosts/h1/tasks", true},
        {"/v1/hosts/*/tasks", "/v1/hosts/h1/tasks/actions", false},
        {"/v1/hosts/*/tasks", "/v1/hosts/h1", false},
        {"/v1/hosts", "/v1/hosts", true},
        {"/v1/hosts", "/v1/host", false},
    };
    for (const auto& it : rows)
    {
        path_parts parts;
        CHECK_EQUAL(it.fits, matches(it.pattern, it.path, parts));
    }
    path_parts parts;
    matches("/v1/hosts/*/tasks", "/v1/hosts/h1/tasks", parts);
    STRCMP_EQUAL("h1", parts.at(0).c_str());
}
