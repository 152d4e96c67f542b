#include "expectations.hpp"

#include "finding.hpp"

#include <string_view>
#include <vector>

namespace camphorhitch::language
{

namespace
{

/// An expected element of the grammar and the words that it can be.
struct expectation
{
    std::string_view expected;
    std::vector<std::string> words;
    bool is_listed; ///< whether the finding lists the words
};

template <class E, std::size_t N>
std::vector<std::string> names_in(const core::name_table<E, N>& table)
{
    std::vector<std::string> all;
    for (const auto& it : table)
    {
        all.emplace_back(it.name);
    }
    return all;
}

const std::vector<expectation>& expectations()
{
    static const std::vector<expectation> all = {
        {expected_statement,
            {"show", "why", "set", "drain", "move", "start", "stop", "cancel", "resume", "submit"},
            true},
        {expected_table, names_in(table_kind_names), true},
        {expected_subject, names_in(subject_kind_names), true},
        {expected_owner, names_in(setting_owner_names), true},
        {expected_selection, names_in(drain_scope_names), true},
        {expected_startable, {"wave", "experiment"}, true},
        {expected_cancellable, {"wave", "job", "jobs"}, true},
        {expected_end,
            {"where", "and", "order", "limit", "desc", "policy", "wave", "for", "seed"},
            false},
    };
    return all;
}

/// \return the word or character at \p it; empty at the end of the statement.
std::string input_at(const source& text, const char* it)
{
    const char* after = it;
    while (after != text.end() && is_word_char(*after))
    {
        ++after;
    }
    if (after != it)
    {
        return std::string(it, after);
    }
    const bool is_end = it == text.end() || *it == '\n' || *it == ';' || *it == '#';
    return is_end ? std::string{} : std::string(1, *it);
}

std::string describe_expected(const std::string& expected)
{
    for (const auto& it : expectations())
    {
        if (it.expected != expected || !it.is_listed)
        {
            continue;
        }
        std::string text = expected + " (";
        for (const auto& word : it.words)
        {
            text += (&word == &it.words.front() ? "" : ", ") + word;
        }
        return text + ')';
    }
    return expected;
}

std::string suggestion_for(const std::string& expected, const std::string& found)
{
    for (const auto& it : expectations())
    {
        if (it.expected == expected)
        {
            const auto near = core::nearest_name(found, it.words);
            return near == found ? std::string{} : near;
        }
    }
    // The description of a keyword is the keyword in quotes.
    const bool is_keyword = expected.size() > 2 && expected.front() == '\'';
    return is_keyword ? core::nearest_name(found, {expected.substr(1, expected.size() - 2)})
                      : std::string{};
}

} // namespace

core::finding unexpected_input(
    const source& text, const char* it, const std::string& expected, const std::string& document)
{
    while (it != text.end() && (*it == ' ' || *it == '\t' || *it == '\r'))
    {
        ++it;
    }
    const auto found = input_at(text, it);
    const auto shown = found.empty() ? "the end of the statement" : quoted_excerpt(found);
    return finding_at(text.position_of(it),
        document,
        "expected " + describe_expected(expected) + ", not " + shown,
        found.empty() ? std::string{} : suggestion_for(expected, found));
}

} // namespace camphorhitch::language
