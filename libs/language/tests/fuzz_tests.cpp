#include "language/parse.hpp"

#include <algorithm>
#include <rapidcheck.h>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::language;

namespace
{

/// Checks one property. The main() of the test program sets a fixed seed.
template <class Property>
void check_property(const char* text, Property property)
{
    CHECK_TEXT(rc::check(text, property), text);
}

/// Asserts that the position of every finding lies inside the text.
void check_places(const std::string& text, const core::findings& found)
{
    const auto lines = 1 + std::count(text.begin(), text.end(), '\n');
    for (const auto& it : found)
    {
        RC_ASSERT(it.where.line >= 1 && it.where.line <= lines);
        RC_ASSERT(it.where.column >= 1);
        RC_ASSERT(it.where.column <= static_cast<int>(text.size()) + 1);
        RC_ASSERT(!it.text.empty());
    }
}

/// Asserts that every statement, printed and parsed again, is equal to the original.
void check_round_trip(const parse_result& read)
{
    for (const auto& it : read.statements)
    {
        const auto again = parse(to_text(it.body), "");
        RC_ASSERT(again.statements.size() == 1U);
        RC_ASSERT(again.statements[0].body == it.body);
    }
}

/// \return whether the text contains only comments and separators.
bool is_blank(const std::string& text)
{
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line))
    {
        const auto first = line.find_first_not_of("; \t\r");
        if (first != std::string::npos && line[first] != '#')
        {
            return false;
        }
    }
    return true;
}

rc::Gen<std::string> any_name()
{
    return rc::gen::map(rc::gen::oneOf(rc::gen::nonEmpty(rc::gen::container<std::string>(
                                           rc::gen::elementOf(std::string("ab9_.:/@+-\xc3\xb0")))),
                            rc::gen::arbitrary<std::string>()),
        [](const std::string& it) { return quoted_if_needed(it); });
}

std::string any_of(const std::vector<std::string>& all)
{
    return *rc::gen::elementOf(all);
}

std::string any_where()
{
    std::string text = " where ";
    const int more = *rc::gen::inRange(0, 3);
    for (int i = 0; i <= more; ++i)
    {
        text += (i == 0 ? "" : " and ") + *any_name() +
                any_of({" = ", "!=", "<", " <= ", ">", ">= ", "~"}) + *any_name();
    }
    return text;
}

std::string maybe(const std::string& text)
{
    return *rc::gen::arbitrary<bool>() ? text : std::string{};
}

/// \return a random statement that matches the grammar.
std::string any_statement()
{
    const auto n = *any_name();
    const auto m = *any_name();
    const auto where = any_where();
    switch (*rc::gen::inRange(0, 9))
    {
    case 0:
        return "show " + any_of({"hosts", "jobs", "config"}) + maybe(where) +
               maybe(" order by " + m + maybe(" desc")) + maybe(" limit 3");
    case 1:
        return "why " + any_of({"host", "job", "request", "wave", "pool"}) + ' ' + n;
    case 2:
        return "drain " + any_of({"host", "zone", "rack", "pool"}) + ' ' + n + maybe(" wave " + m) +
               maybe(" policy " + n);
    case 3:
        return "move host " + n + " to pool " + m;
    case 4:
        return "start wave " + n + maybe(where) + maybe(" policy " + m);
    case 5:
        return "start experiment " + n + " arms x=" + n + ",y=" + m + " on pool " + n +
               maybe(" for 90s") + maybe(" seed 7");
    case 6:
        return "cancel jobs" + where;
    case 7:
        return "set pool " + n + " policy = " + m + maybe(", spare = true");
    default:
        return any_of({"stop experiment ", "cancel wave ", "resume wave ", "cancel job "}) + n;
    }
}

} // namespace

TEST_GROUP(fuzz){};

TEST(fuzz, random_bytes)
{
    check_property("any bytes give statements or findings",
        [](const std::string& text)
        {
            const auto read = parse(text, "");
            check_places(text, read.findings);
            check_round_trip(read);
        });
}

TEST(fuzz, valid_statements)
{
    check_property("statements are read without findings",
        []()
        {
            const auto text = any_statement() + any_of({"", ";", "\n", " # x"});
            const auto read = parse(text, "");
            RC_ASSERT(core::to_text(read.findings) == "");
            RC_ASSERT(read.statements.size() == 1U);
            check_round_trip(read);
        });
}

TEST(fuzz, mutated_statements)
{
    check_property("changed statements give statements or findings",
        []()
        {
            auto text = any_statement() + "\n" + any_statement();
            const int changes = *rc::gen::inRange(1, 5);
            for (int i = 0; i < changes; ++i)
            {
                const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
                const auto size = *rc::gen::inRange<std::size_t>(0, 4);
                text.replace(at,
                    size,
                    any_of({"",
                        "\"",
                        "{",
                        "}",
                        ";",
                        "\n",
                        "#",
                        "=",
                        ",",
                        "\\",
                        "x",
                        "\x80",
                        std::string(1, '\0')}));
            }
            const auto read = parse(text, "");
            check_places(text, read.findings);
            check_round_trip(read);
            const bool nothing_read = read.statements.empty() && read.findings.empty();
            RC_ASSERT(nothing_read == is_blank(text));
        });
}
