#include "expectations.hpp"

#include "finding.hpp"

#include <string_view>
#include <vector>

namespace camphorhitch::language
{

namespace
{

struct expectation
{
    std::string_view what;
    std::vector<std::string> words;
    bool is_listed; ///< in the finding
};

template <class E, std::size_t N>
std::vector<std::string> words_of(const core::name_table<E, N>& table)
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
        {a_statement,
            {"show", "why", "set", "drain", "move", "start", "stop", "cancel", "resume", "submit"},
            true},
        {a_table, words_of(table_kind_names), true},
        {a_subject, words_of(subject_kind_names), true},
        {an_owner, words_of(setting_owner_names), true},
        {a_selection, words_of(drain_by_names), true},
        {startable, {"wave", "experiment"}, true},
        {cancellable, {"wave", "job", "jobs"}, true},
        {end_of_statement,
            {"where", "and", "order", "limit", "desc", "policy", "wave", "for", "seed"},
            false},
    };
    return all;
}

/// \return what stands at \p it, for a finding.
std::string found_at(const source& text, const char* it)
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

std::string expected_text(const std::string& what)
{
    for (const auto& it : expectations())
    {
        if (it.what != what || !it.is_listed)
        {
            continue;
        }
        std::string text = what + " (";
        for (const auto& word : it.words)
        {
            text += (&word == &it.words.front() ? "" : ", ") + word;
        }
        return text + ')';
    }
    return what;
}

std::string suggestion_for(const std::string& what, const std::string& found)
{
    for (const auto& it : expectations())
    {
        if (it.what == what)
        {
            const auto near = core::nearest_name(found, it.words);
            return near == found ? std::string{} : near;
        }
    }
    // A keyword is named in quotes.
    const bool is_keyword = what.size() > 2 && what.front() == '\'';
    return is_keyword ? core::nearest_name(found, {what.substr(1, what.size() - 2)})
                      : std::string{};
}

} // namespace

core::finding unexpected(
    const source& text, const char* it, const std::string& what, const std::string& document)
{
    while (it != text.end() && (*it == ' ' || *it == '\t' || *it == '\r'))
    {
        ++it;
    }
    const auto found = found_at(text, it);
    const auto shown = found.empty() ? "the end of the statement" : cited(found);
    return finding_at(text.position_of(it),
        document,
        "expected " + expected_text(what) + ", not " + shown,
        found.empty() ? std::string{} : suggestion_for(what, found));
}

} // namespace camphorhitch::language
