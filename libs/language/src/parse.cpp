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

constexpr std::size_t min_arms = 2;

/// Finds mistakes in well-formed statements that the grammar cannot detect.
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
        if (s.arms.size() < min_arms)
        {
            found.push_back(
                finding_at(s.id.at, document, "an experiment compares two arms or more"));
        }
        std::set<std::string> arms;
        for (const auto& it : s.arms)
        {
            require_unique(arms, it.arm, "arm");
        }
        std::set<std::string> pools;
        for (const auto& it : s.pools)
        {
            require_unique(pools, it, "pool");
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

    void require_unique(std::set<std::string>& known, const name& it, const char* what) const
    {
        if (!known.insert(it.text).second)
        {
            found.push_back(finding_at(it.at,
                document,
                std::string(what) + ' ' + quoted_excerpt(it.text) + " is named twice"));
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

parse_result parse(const std::string& text, const std::string& document)
{
    parse_result all;
    const source from(text);
    if (text.size() > max_text_bytes)
    {
        all.findings.push_back(finding_at({1, 1},
            document,
            "longer than " + std::to_string(max_text_bytes) + " bytes, not read"));
        return all;
    }
    const char* it = from.skip_separators(from.begin());
    while (it != from.end())
    {
        if (all.findings.size() >= max_findings)
        {
            all.findings.push_back(finding_at(
                from.position_of(it), document, "too many findings; not read from here on"));
            break;
        }
        auto read = read_statement(from, it, document);
        if (auto* wrong = std::get_if<core::finding>(&read))
        {
            all.findings.push_back(std::move(*wrong));
            it = from.skip_separators(from.end_of_statement(it));
            continue;
        }
        auto& good = std::get<parsed_statement>(read);
        std::visit(checker{document, all.findings}, good.body);
        all.statements.push_back({from.position_of(it), std::move(good.body)});
        it = from.skip_separators(good.end);
    }
    return all;
}

} // namespace camphorhitch::language
