#include "arguments.hpp"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::client;

namespace
{

const char* const good_settings =
    R"({"operators": ["10.0.0.1:7410", "10.0.0.2:7410"], "token": "from-settings", "timeout_ms": 700})";

environment fake_environment(std::map<std::string, std::string> variables)
{
    const std::map<std::string, std::string> files{{"good.json", good_settings},
        {"bad.json", R"({"operators": [], "tokn": "x"})"},
        {"token", "from-file\nrest"},
        {"night.txt", "show pools"}};
    const auto find = [](const std::map<std::string, std::string>& all, const std::string& name)
    {
        const auto it = all.find(name);
        return it == all.end() ? std::nullopt : std::optional<std::string>{it->second};
    };
    return {[=](const std::string& name) { return find(variables, name); },
        [=](const std::string& name) { return find(files, name); },
        []
        {
            return std::string{"show jobs"};
        }};
}

parsed_arguments read(std::vector<const char*> words, std::map<std::string, std::string> variables)
{
    words.insert(words.begin(), "camphorhitch");
    return read_arguments(
        static_cast<int>(words.size()), words.data(), fake_environment(std::move(variables)));
}

std::string joined(const std::vector<std::string>& all)
{
    std::string text;
    for (const auto& it : all)
    {
        text += it + " ";
    }
    return text;
}

} // namespace

TEST_GROUP(arguments){};

TEST(arguments, options_precede_the_environment_and_that_the_settings_file)
{
    struct row
    {
        std::vector<const char*> words;
        std::map<std::string, std::string> variables;
        const char* servers;
        const char* token;
        int timeout_ms;
    };
    const std::vector<row> rows{
        {{"-s", "a:1", "show hosts"}, {}, "a:1 ", "", 10000},
        {{"-s", "a:1", "-s", "b:2", "show hosts"}, {}, "a:1 b:2 ", "", 10000},
        {{"show hosts"},
            {{"CAMPHORHITCH_SERVERS", "a:1,,b:2"}, {"CAMPHORHITCH_TOKEN", "t"}},
            "a:1 b:2 ",
            "t",
            10000},
        {{"--settings", "good.json", "show hosts"},
            {},
            "10.0.0.1:7410 10.0.0.2:7410 ",
            "from-settings",
            700},
        {{"--settings", "good.json", "show hosts"},
            {{"CAMPHORHITCH_SERVERS", "a:1"}, {"CAMPHORHITCH_TOKEN", "t"}},
            "a:1 ",
            "t",
            700},
        {{"--settings",
             "good.json",
             "-s",
             "b:2",
             "--token-file",
             "token",
             "--timeout-ms",
             "5",
             "show hosts"},
            {{"CAMPHORHITCH_SERVERS", "a:1"}, {"CAMPHORHITCH_TOKEN", "t"}},
            "b:2 ",
            "from-file",
            5},
    };
    for (const auto& it : rows)
    {
        const auto parsed = read(it.words, it.variables);
        const auto* got = std::get_if<arguments>(&parsed);
        CHECK_TRUE(got != nullptr);
        STRCMP_EQUAL(it.servers, joined(got->servers).c_str());
        STRCMP_EQUAL(it.token, got->token.c_str());
        LONGS_EQUAL(it.timeout_ms, got->timeout_ms);
    }
}

TEST(arguments, statements_are_read_from_words_a_file_or_standard_input)
{
    struct row
    {
        std::vector<const char*> words;
        const char* statements;
        const char* name;
        bool apply;
    };
    const std::vector<row> rows{
        {{"show hosts"}, "show hosts", "argument", false},
        {{"show", "hosts"}, "show hosts", "argument", false},
        {{"set pool q budget.absent = 1, spare = true"},
            "set pool q budget.absent = 1, spare = true",
            "argument",
            false},
        {{"-f", "night.txt"}, "show pools", "night.txt", false},
        {{"-f", "-"}, "show jobs", "standard input", false},
        {{"--apply", "night.txt"}, "show pools", "night.txt", true},
    };
    for (const auto& it : rows)
    {
        const auto parsed = read(it.words, {{"CAMPHORHITCH_SERVERS", "a:1"}});
        const auto* got = std::get_if<arguments>(&parsed);
        CHECK_TRUE(got != nullptr);
        STRCMP_EQUAL(it.statements, got->statements.c_str());
        STRCMP_EQUAL(it.name, got->statements_name.c_str());
        CHECK_EQUAL(it.apply, got->apply);
    }
}

TEST(arguments, mistakes_are_findings)
{
    struct row
    {
        std::vector<const char*> words;
        const char* part;
    };
    const std::vector<row> rows{
        {{"show hosts"}, "no server"},
        {{"-s", "a:1"}, "no statement"},
        {{"-s", "a:1", "--nonsense", "show hosts"}, "nonsense"},
        {{"-s", "a:1", "--watch", "-1", "show hosts"}, "negative"},
        {{"-s", "a:1", "--timeout-ms", "0", "show hosts"}, "--timeout-ms"},
        {{"-s", "a:1", "--timeout-ms", "soon", "show hosts"}, "soon"},
        {{"-s", "a:1", "--token-file", "absent", "show hosts"}, "can't read the token"},
        {{"-s", "a:1", "-f", "absent"}, "can't read the statements"},
        {{"--settings", "absent", "show hosts"}, "can't read the settings"},
        {{"--settings", "bad.json", "show hosts"}, "did you mean 'token'?"},
        {{"-s", "a:1", "-f", "night.txt", "--apply", "night.txt"}, "don't go together"},
        {{"-s", "a:1", "-f", "night.txt", "show hosts"}, "not both"},
        {{"-s", "a:1", "--apply", "night.txt", "--wait"}, "--wait is for statements"},
    };
    for (const auto& it : rows)
    {
        const auto parsed = read(it.words, {});
        const auto* found = std::get_if<core::findings>(&parsed);
        CHECK_TRUE(found != nullptr);
        STRCMP_CONTAINS(it.part, core::to_text(*found).c_str());
    }
}

TEST(arguments, help_and_version_need_no_server)
{
    CHECK_TRUE(std::holds_alternative<text_output>(read({"--help"}, {})));
    CHECK_TRUE(std::holds_alternative<text_output>(read({"--version"}, {})));
}
