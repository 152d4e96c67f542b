#include "run.hpp"

#include <deque>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch::client;

namespace
{

const char* const good = R"({"settled": true, "results": [{"code": "ok", "text": "table\n"}]})";
const char* const unsettled = R"({"settled": false, "results": [{"code": "ok", "text": "t\n"}]})";
const char* const no_settled = R"({"settled": false, "results": []})";

raw_answer answered(const std::string& body)
{
    return {true, true, "", 200, body};
}

raw_answer lost(bool sent)
{
    return {false, sent, "gone", 0, ""};
}

/// Process in which calls return the given answers in order, the last one repeatedly. Only sleep()
/// advances the time.
struct fake_process
{
    std::deque<raw_answer> answers;
    std::vector<std::string> asked; ///< "server method path id"
    std::vector<std::string> bodies;
    std::ostringstream out;
    std::ostringstream err;
    std::chrono::steady_clock::time_point time;

    raw_answer next(const std::string& server, const operator_request& r)
    {
        asked.push_back(server + " " + r.method + " " + r.path + " " + r.command_id);
        bodies.push_back(r.body);
        const auto it = answers.front();
        if (answers.size() > 1)
        {
            answers.pop_front();
        }
        return it;
    }

    exit_code run(const arguments& a, bool is_terminal = false)
    {
        return camphorhitch::client::run(a,
            {[this](const auto& server, const auto& r) { return next(server, r); },
                [] { return std::string{"fresh-id"}; },
                [this] { return time; },
                [this](std::chrono::milliseconds it) { time += it; },
                out,
                err,
                is_terminal});
    }
};

arguments ask(const std::string& text)
{
    arguments a;
    a.servers = {"a:1", "b:2"};
    a.statements = text;
    return a;
}

} // namespace

TEST_GROUP(run){};

TEST(run, servers_are_tried_in_order_with_one_command_id)
{
    struct row
    {
        std::deque<raw_answer> answers;
        exit_code code;
        std::size_t calls;
    };
    const std::string unavailable = R"({"results": [{"code": "unavailable", "text": "no"}]})";
    const std::string refused = R"({"results": [{"code": "refused", "text": "no"}]})";
    const std::vector<row> rows{
        {{answered(good)}, exit_code::ok, 1},
        {{lost(false), answered(good)}, exit_code::ok, 2},
        {{lost(true), answered(good)}, exit_code::ok, 2},
        {{answered(unavailable), answered(good)}, exit_code::ok, 2},
        {{answered(refused), answered(good)}, exit_code::refused, 1},
        {{lost(false), lost(false)}, exit_code::unavailable, 2},
        {{answered(unavailable), answered(unavailable)}, exit_code::unavailable, 2},
        {{lost(true), lost(false)}, exit_code::unknown_effect, 2},
        {{lost(true), answered(unavailable)}, exit_code::unknown_effect, 2},
    };
    for (const auto& it : rows)
    {
        fake_process p;
        p.answers = it.answers;
        CHECK_EQUAL(static_cast<int>(it.code), static_cast<int>(p.run(ask("show hosts"))));
        CHECK_EQUAL(it.calls, p.asked.size());
        STRCMP_EQUAL("a:1 POST /v1/execute fresh-id", p.asked.front().c_str());
        STRCMP_CONTAINS("fresh-id", p.asked.back().c_str());
    }
}

// Guards against a second wave when the connection breaks after the command was sent, so that its
// effect is unknown. The client prints the command id; a repeat with this id starts the wave only
// once, while a repeat without it would start a second wave.
TEST(run, an_unknown_effect_prints_the_id_for_a_safe_repeat)
{
    fake_process p;
    p.answers = {lost(true)};
    CHECK_EQUAL(5, static_cast<int>(p.run(ask("drain host h1"))));
    STRCMP_CONTAINS("--command-id fresh-id", p.err.str().c_str());

    fake_process again;
    again.answers = {lost(true)};
    auto a = ask("drain host h1");
    a.command_id = "given-id";
    CHECK_EQUAL(5, static_cast<int>(again.run(a)));
    STRCMP_CONTAINS("--command-id given-id", again.err.str().c_str());
    STRCMP_EQUAL("a:1 POST /v1/execute given-id", again.asked.front().c_str());
}

TEST(run, a_problem_of_all_servers_is_printed_once)
{
    fake_process p;
    p.answers = {answered(R"({"results": [{"code": "unavailable", "text": "no service\n"}]})")};
    CHECK_EQUAL(4, static_cast<int>(p.run(ask("drain host h1"))));
    CHECK_EQUAL(2U, p.asked.size());
    STRCMP_EQUAL("no service\n", p.err.str().c_str());
}

TEST(run, a_file_is_sent_unchanged)
{
    fake_process p;
    p.answers = {answered(good)};
    auto a = ask("{\"pools\": []}");
    a.apply = true;
    CHECK_EQUAL(0, static_cast<int>(p.run(a)));
    STRCMP_EQUAL("a:1 PUT /v1/apply fresh-id", p.asked.front().c_str());
    STRCMP_EQUAL("{\"pools\": []}", p.bodies.front().c_str());
}

TEST(run, wait_queries_until_the_command_is_in_force)
{
    fake_process p;
    p.answers = {answered(unsettled), answered(no_settled), lost(true), answered(good)};
    auto a = ask("set pool q spare = true");
    a.wait = true;
    CHECK_EQUAL(0, static_cast<int>(p.run(a)));
    STRCMP_CONTAINS("\"check_only\":false", p.bodies.front().c_str());
    for (std::size_t i = 1; i < p.bodies.size(); ++i)
    {
        STRCMP_CONTAINS("\"check_only\":true", p.bodies[i].c_str());
    }
    STRCMP_EQUAL("t\n", p.out.str().c_str());
    STRCMP_EQUAL("in force everywhere\n", p.err.str().c_str());
}

TEST(run, wait_ends_after_wait_seconds)
{
    fake_process p;
    p.answers = {answered(unsettled), answered(no_settled)};
    auto a = ask("set pool q spare = true");
    a.wait = true;
    a.wait_seconds = 2;
    const auto start = p.time;
    CHECK_EQUAL(7, static_cast<int>(p.run(a)));
    CHECK_TRUE(p.time - start == std::chrono::seconds{2});
}

TEST(run, watch_clears_only_a_terminal_and_ends_with_the_first_failure)
{
    const std::string clear = "\x1b[H\x1b[2J";
    for (const bool is_terminal : {false, true})
    {
        fake_process p;
        p.answers = {
            answered(good), answered(good), answered(R"({"results": [{"code": "refused"}]})")};
        auto a = ask("show hosts");
        a.watch_seconds = 3;
        CHECK_EQUAL(1, static_cast<int>(p.run(a, is_terminal)));
        const auto expected = is_terminal ? clear + "table\n" + clear + "table\n" + clear
                                          : std::string{"table\n\ntable\n\n"};
        STRCMP_EQUAL(expected.c_str(), p.out.str().c_str());
    }
}
