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

/// \return the table without its rows; whether a field exists does not depend on the rows.
language::table columns_of(language::table_kind kind, const service_refs& services)
{
    auto t = make_table(kind, services);
    t.rows.clear();
    return t;
}

template <class Checked>
core::findings findings_in(const Checked& checked)
{
    const auto* findings = std::get_if<core::findings>(&checked);
    return findings == nullptr ? core::findings{} : *findings;
}

struct checker
{
    const service_refs& services;
    const std::string& document;

    core::findings operator()(const language::show_statement& s) const
    {
        return findings_in(language::evaluate(s, columns_of(s.table, services), document));
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
        return findings_in(language::select_rows(columns_of(kind, services), where, document));
    }
};

} // namespace

core::findings check_statements(
    const language::parse_result& text, const service_refs& services, const std::string& document)
{
    auto all = text.findings;
    // The statements that could be parsed are checked even when others could not, so that all
    // errors are reported together.
    for (const auto& it : text.statements)
    {
        const auto findings = std::visit(checker{services, document}, it.body);
        all.insert(all.end(), findings.begin(), findings.end());
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
    if (auto* findings = std::get_if<core::findings>(&decoded))
    {
        // Positions in this generated list do not exist in the text, so findings get the
        // statement's position.
        for (auto& it : *findings)
        {
            it.where.line = s.at.line;
            it.where.column = s.at.column;
        }
        return std::move(*findings);
    }
    out.job = std::move(std::get<std::vector<jobs::submission>>(decoded).front());
    return out;
}

} // namespace camphorhitch::daemon
