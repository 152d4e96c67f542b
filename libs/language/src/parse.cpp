#include "language/parse.hpp"

#include "checked_json/document.hpp"
#include "finding.hpp"
#include "grammar.hpp"
#include "language/settings.hpp"
#include "source.hpp"

#include <set>

namespace camphorhitch::language
{

namespace
{

constexpr std::size_t least_arms = 2;

/// What the grammar can't see: mistakes inside a statement that is well formed.
struct checker
{
    const std::string& document;
    core::findings& found;

    void operator()(const set_statement& s) const
    {
        append(check(s, document));
    }

    void operator()(const start_experiment_statement& s) const
    {
        if (s.arms.size() < least_arms)
        {
            found.push_back(
                finding_at(s.id.at, document, "an experiment compares two arms or more"));
        }
        std::set<std::string> arms;
        for (const auto& it : s.arms)
        {
            require_new(arms, it.arm, "arm");
        }
        std::set<std::string> pools;
        for (const auto& it : s.pools)
        {
            require_new(pools, it, "pool");
        }
    }

    void operator()(const submit_job_statement& s) const
    {
        const auto read = checked_json::parse(s.json, document);
        if (const auto* wrong = std::get_if<core::findings>(&read))
        {
            for (auto it : *wrong)
            {
                it.where.column += it.where.line == 1 ? s.at.column - 1 : 0;
                it.where.line += s.at.line - 1;
                found.push_back(std::move(it));
            }
        }
    }

    template <class Other>
    void operator()(const Other&) const
    {
    }

    void require_new(std::set<std::string>& known, const name& it, const char* what) const
    {
        if (!known.insert(it.text).second)
        {
            found.push_back(finding_at(
                it.at, document, std::string(what) + ' ' + cited(it.text) + " is named twice"));
        }
    }

    void append(core::findings more) const
    {
        for (auto& it : more)
        {
            found.push_back(std::move(it));
        }
    }
};

} // namespace

parsed parse(const std::string& text, const std::string& document)
{
    parsed all;
    const source from(text);
    if (text.size() > longest_text)
    {
        all.found.push_back(finding_at(
            {1, 1}, document, "longer than " + std::to_string(longest_text) + " bytes, not read"));
        return all;
    }
    const char* it = from.skip_blank(from.begin());
    while (it != from.end())
    {
        if (all.found.size() >= most_findings)
        {
            all.found.push_back(finding_at(
                from.position_of(it), document, "too many findings; not read from here on"));
            break;
        }
        auto read = read_statement(from, it, document);
        if (auto* wrong = std::get_if<core::finding>(&read))
        {
            all.found.push_back(std::move(*wrong));
            it = from.skip_blank(from.end_of_statement(it));
            continue;
        }
        auto& good = std::get<statement_end>(read);
        std::visit(checker{document, all.found}, good.what);
        all.statements.push_back({from.position_of(it), std::move(good.what)});
        it = from.skip_blank(good.after);
    }
    return all;
}

} // namespace camphorhitch::language
