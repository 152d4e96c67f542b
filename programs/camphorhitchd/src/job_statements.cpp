#include "job_statements.hpp"

#include "fleet_tables.hpp"
#include "statement_checks.hpp"
#include "statement_results.hpp"

#include <map>
#include <memory>
#include <vector>

namespace camphorhitch::daemon
{

namespace
{

using ids_by_pool = std::map<std::string, std::vector<std::string>>;

/// Collects the outcomes of several pools, and tells the end once.
struct gathering
{
    std::size_t missing = 0;
    std::size_t cancelled = 0;
    std::string problems;
    core::error_code code = core::error_code::not_found;
    result_callback done;

    void take(const std::vector<intake_outcome>& outcomes)
    {
        for (const auto& it : outcomes)
        {
            cancelled += it.accepted ? 1 : 0;
            problems += it.accepted ? std::string{} : it.id + ": " + it.text + "\n";
            code = it.accepted ? code : it.code;
        }
        if (--missing == 0)
        {
            const auto n = std::to_string(cancelled);
            done(problems.empty() ? good(n + " jobs cancelled\n") : bad(code, problems));
        }
    }
};

void cancel(const operator_parts& parts,
    const ids_by_pool& all_ids,
    const std::string& command,
    const result_callback& done)
{
    if (all_ids.empty())
    {
        done(good("no job matches\n"));
        return;
    }
    auto all = std::make_shared<gathering>();
    all->missing = all_ids.size();
    all->done = done;
    for (const auto& [pool, ids] : all_ids)
    {
        parts.intake.cancel(pool,
            ids,
            command,
            [all](const std::vector<intake_outcome>& outcomes) { all->take(outcomes); });
    }
}

} // namespace

void cancel_job(const operator_parts& parts,
    const language::cancel_job_statement& s,
    const std::string& command,
    const result_callback& done)
{
    std::string pool;
    if (parts.jobs.find(s.id.text, pool) == nullptr)
    {
        done(bad(core::error_code::not_found, "no job named " + s.id.text));
        return;
    }
    cancel(parts, {{pool, {s.id.text}}}, command, done);
}

void cancel_jobs(const operator_parts& parts,
    const language::cancel_jobs_statement& s,
    const std::string& document,
    const std::string& command,
    const result_callback& done)
{
    const auto all = make_table(language::table_kind::jobs, parts);
    const auto rows = language::select_rows(all, s.where, document);
    if (const auto* wrong = std::get_if<core::findings>(&rows))
    {
        done(bad(*wrong));
        return;
    }
    ids_by_pool by_pool;
    for (const auto n : std::get<std::vector<std::size_t>>(rows))
    {
        const auto& id = std::get<std::string>(all.rows[n][0]);
        const auto& pool = std::get<std::string>(all.rows[n][1]);
        by_pool[pool].push_back(id);
    }
    cancel(parts, by_pool, command, done);
}

void submit_job(const operator_parts& parts,
    const language::submit_job_statement& s,
    const std::string& document,
    const result_callback& done)
{
    auto read = read_submission(s, document);
    if (const auto* wrong = std::get_if<core::findings>(&read))
    {
        done(bad(*wrong));
        return;
    }
    const auto& [pool, job] = std::get<named_submission>(read);
    if (parts.fleet.find_pool(pool) == nullptr)
    {
        done(bad(core::error_code::not_found, "no pool named " + pool));
        return;
    }
    parts.intake.submit(pool,
        {job},
        [done](const std::vector<intake_outcome>& outcomes)
        {
            const auto& it = outcomes.front();
            done(it.accepted ? good("job " + it.id + ": " + it.text + "\n")
                             : bad(it.code, "job " + it.id + ": " + it.text));
        });
}

} // namespace camphorhitch::daemon
