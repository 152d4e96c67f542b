#include "answers.hpp"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch::client;

namespace
{

raw_answer answer(long status, const std::string& body)
{
    return {true, true, "", status, body};
}

std::string results(const std::string& codes)
{
    return R"({"settled": false, "results": [)" + codes + "]}";
}

} // namespace

TEST_GROUP(answers){};

TEST(answers, each_code_has_its_exit_code_and_the_most_severe_is_returned)
{
    struct row
    {
        raw_answer raw;
        exit_code code;
    };
    const std::string ok = R"({"code": "ok", "text": "t"})";
    const std::vector<row> rows{
        {answer(200, results("")), exit_code::ok},
        {answer(200, results(ok)), exit_code::ok},
        {answer(200, results(R"({"code": "refused"})")), exit_code::refused},
        {answer(200, results(R"({"code": "conflict"})")), exit_code::conflict},
        {answer(200, results(R"({"code": "unavailable"})")), exit_code::unavailable},
        {answer(200, results(R"({"code": "unknown_effect"})")), exit_code::unknown_effect},
        {answer(200, results(R"({"code": "of a newer daemon"})")), exit_code::refused},
        {answer(200, results("7")), exit_code::refused},
        {answer(200, results(R"({"code": "conflict"}, )" + ok)), exit_code::conflict},
        {answer(200, results(ok + R"(, {"code": "unknown_effect"})")), exit_code::unknown_effect},
        {answer(401, ""), exit_code::unauthorized},
        {answer(400, R"({"text": "no"})"), exit_code::refused},
        {answer(503, R"({"outcome": "not-run"})"), exit_code::unavailable},
        {answer(200, "no JSON"), exit_code::refused},
        {answer(200, "{}"), exit_code::refused},
        {answer(200, R"({"results": 1})"), exit_code::refused},
    };
    for (const auto& it : rows)
    {
        const auto got = read_answer("a:1", it.raw, false);
        CHECK_EQUAL(static_cast<int>(it.code), static_cast<int>(got.code));
    }
}

TEST(answers, tables_go_to_output_and_refusals_to_problems)
{
    const auto body =
        results(R"({"code": "ok", "text": "table\n"}, {"code": "refused", "text": "why\n"})");
    const auto got = read_answer("a:1", answer(200, body), false);
    STRCMP_EQUAL("table\n", got.text.c_str());
    STRCMP_EQUAL("why\n", got.problem.c_str());
    CHECK_FALSE(got.settled);
}

TEST(answers, json_is_the_whole_answer_without_tables)
{
    const auto got = read_answer("a:1", answer(200, R"({"results":[],"extra":1})"), true);
    STRCMP_EQUAL("{\n  \"extra\": 1,\n  \"results\": []\n}\n", got.text.c_str());
    CHECK_TRUE(got.settled);
}
