#include "statement_checks.hpp"

#include "fleet_tables.hpp"
#include "jobs/codec.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace camphorhitch::daemon
{

namespace
{

/// \return the table's columns alone: whether a field exists does not depend on the rows.
language::table columns_of(language::table_kind kind, const operator_parts& parts)
{
    auto t = make_table(kind, parts);
    t.rows.clear();
    return t;
}

template <class Checked>
core::findings findings_in(const Checked& checked)
{
    const auto* wrong = std::get_if<core::findings>(&checked);
    return wrong == nullptr ? core::findings{} : *wrong;
}

struct checker
{
    const operator_parts& parts;
    const std::string& document;

    core::findings operator()(const language::show_statement& s) const
    {
        return findings_in(language::evaluate(s, columns_of(s.table, parts), document));
    }
    core::findings operator()(const language::start_wave_statement& s) const
    {
        return conditions(language::table_kind::hosts, s.where);
    }
    core::findings operator()(const language::cancel_jobs_statement& s) const
    {
        return conditions(language::table_kind::jobs, s.where);
    }
    core::findings operator()(const language::submit_job_statement& s) const
    {
        return findings_in(read_submission(s, document));
    }
    template <class Statement>
    core::findings operator()(const Statement& /*s*/) const
    {
        return {};
    }

    core::findings conditions(language::table_kind kind, const language::conditions& where) const
    {
        return findings_in(language::select_rows(columns_of(kind, parts), where, document));
    }
};

} // namespace

core::findings check_statements(
    const language::parse_result& text, const operator_parts& parts, const std::string& document)
{
    auto all = text.findings;
    // Beside a text that can't be read the statements that can be are checked as well, so that
    // all mistakes come together.
    for (const auto& it : text.statements)
    {
        const auto wrong = std::visit(checker{parts, document}, it.body);
        all.insert(all.end(), wrong.begin(), wrong.end());
    }
    std::stable_sort(all.begin(),
        all.end(),
        [](const core::finding& a, const core::finding& b) {
            return std::tie(a.where.line, a.where.column) < std::tie(b.where.line, b.where.column);
        });
    return all;
}

std::variant<named_submission, core::findings> read_submission(
    const language::submit_job_statement& s, const std::string& document)
{
    auto object = nlohmann::json::parse(s.json, nullptr, false);
    const auto named = object.find("pool");
    if (named == object.end() || !named->is_string())
    {
        return core::findings{
            {{document, "/pool", s.at.line, s.at.column}, "the job must name its pool", ""}};
    }
    named_submission out;
    out.pool = named->get<std::string>();
    object.erase("pool");
    const nlohmann::json list = {{"jobs", {object}}};
    auto decoded = jobs::decode_submissions(list.dump(), document);
    if (auto* wrong = std::get_if<core::findings>(&decoded))
    {
        // The places in the list made here are not the text's: the statement's is.
        for (auto& it : *wrong)
        {
            it.where.line = s.at.line;
            it.where.column = s.at.column;
        }
        return std::move(*wrong);
    }
    out.job = std::move(std::get<std::vector<jobs::submission>>(decoded).front());
    return out;
}

} // namespace camphorhitch::daemon
