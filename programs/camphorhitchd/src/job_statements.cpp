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

/// Collects the outcomes of several pools and reports one result.
struct outcome_collector
{
    std::size_t pending = 0;
    std::size_t cancelled = 0;
    std::string problems;
    core::error_code code = core::error_code::not_found;
    result_callback done;

    void record(const std::vector<intake_outcome>& outcomes)
    {
        for (const auto& it : outcomes)
        {
            cancelled += it.accepted ? 1 : 0;
            problems += it.accepted ? std::string{} : it.id + ": " + it.text + "\n";
            code = it.accepted ? code : it.code;
        }
        if (--pending == 0)
        {
            const auto n = std::to_string(cancelled);
            done(problems.empty() ? success_result(n + " jobs cancelled\n")
                                  : error_result(code, problems));
        }
    }
};

void cancel(const service_refs& services,
    const ids_by_pool& all_ids,
    const std::string& command,
    const result_callback& done)
{
    if (all_ids.empty())
    {
        done(success_result("no job matches\n"));
        return;
    }
    auto all = std::make_shared<outcome_collector>();
    all->pending = all_ids.size();
    all->done = done;
    for (const auto& [pool, ids] : all_ids)
    {
        services.intake.cancel(pool,
            ids,
            command,
            [all](const std::vector<intake_outcome>& outcomes) { all->record(outcomes); });
    }
}

} // namespace

void cancel_job(const service_refs& services,
    const language::cancel_job_statement& s,
    const std::string& command,
    const result_callback& done)
{
    std::string pool;
    if (services.jobs.find(s.id.text, pool) == nullptr)
    {
        done(error_result(core::error_code::not_found, "no job named " + s.id.text));
        return;
    }
    cancel(services, {{pool, {s.id.text}}}, command, done);
}

void cancel_jobs(const service_refs& services,
    const language::cancel_jobs_statement& s,
    const std::string& document,
    const std::string& command,
    const result_callback& done)
{
    const auto all = make_table(language::table_kind::jobs, services);
    const auto rows = language::select_rows(all, s.where, document);
    if (const auto* findings = std::get_if<core::findings>(&rows))
    {
        done(error_result(*findings));
        return;
    }
    ids_by_pool by_pool;
    for (const auto n : std::get<std::vector<std::size_t>>(rows))
    {
        const auto& id = std::get<std::string>(all.rows[n][0]);
        const auto& pool = std::get<std::string>(all.rows[n][1]);
        by_pool[pool].push_back(id);
    }
    cancel(services, by_pool, command, done);
}

void submit_job(const service_refs& services,
    const language::submit_job_statement& s,
    const std::string& document,
    const result_callback& done)
{
    auto read = read_submission(s, document);
    if (const auto* findings = std::get_if<core::findings>(&read))
    {
        done(error_result(*findings));
        return;
    }
    const auto& [pool, job] = std::get<named_submission>(read);
    if (services.fleet.find_pool(pool) == nullptr)
    {
        done(error_result(core::error_code::not_found, "no pool named " + pool));
        return;
    }
    services.intake.submit(pool,
        {job},
        [done](const std::vector<intake_outcome>& outcomes)
        {
            const auto& it = outcomes.front();
            done(it.accepted ? success_result("job " + it.id + ": " + it.text + "\n")
                             : error_result(it.code, "job " + it.id + ": " + it.text));
        });
}

} // namespace camphorhitch::daemon
