/// \file
/// Runs operators' statements: answers queries from the mirrored documents and executes commands as
/// writes to the documents.
#pragma once

#include "context.hpp"
#include "fleet/pool_events.hpp"
#include "fleet/wave_rules.hpp"
#include "job_statements.hpp"
#include "language/parse.hpp"
#include "operator_wire.hpp"
#include "service_refs.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

/// Executor of operators' statement batches.
class statement_runner
{
public:
    using callback = std::function<void(std::vector<statement_result>)>;

    statement_runner(context& c, service_refs services);

    /// Runs the statements in order and stops after the first that fails.
    void run(const statement_batch& batch, callback done);
    /// \return whether all commands of the batch are in force at all members or have ended.
    bool is_settled(const statement_batch& batch) const;

private:
    struct work;
    /// Context of one statement.
    struct statement_context
    {
        std::string document; ///< name of the text in findings
        std::string command;  ///< id of the statement
    };

    void run_next(const std::shared_ptr<work>& w);
    /// \return whether the drain or move that the statement requests has ended; true for other
    /// statements.
    bool host_settled(const language::statement& what) const;
    void run_one(const language::show_statement& s,
        const statement_context& at,
        const result_callback& done);
    void run_one(
        const language::why_statement& s, const statement_context& at, result_callback done);
    void run_one(
        const language::set_statement& s, const statement_context& at, result_callback done);
    void run_one(
        const language::drain_statement& s, const statement_context& at, result_callback done);
    void run_one(
        const language::move_statement& s, const statement_context& at, result_callback done);
    void run_one(
        const language::start_wave_statement& s, const statement_context& at, result_callback done);
    void run_one(const language::start_experiment_statement& s,
        const statement_context& at,
        result_callback done);
    void run_one(const language::stop_experiment_statement& s,
        const statement_context& at,
        result_callback done);
    void run_one(const language::cancel_wave_statement& s,
        const statement_context& at,
        result_callback done);
    void run_one(const language::resume_wave_statement& s,
        const statement_context& at,
        result_callback done);
    void run_one(const language::cancel_job_statement& s,
        const statement_context& at,
        const result_callback& done);
    void run_one(const language::cancel_jobs_statement& s,
        const statement_context& at,
        const result_callback& done);
    void run_one(const language::submit_job_statement& s,
        const statement_context& at,
        const result_callback& done);
    void query_peers(const language::why_statement& s, result_callback done);
    void change_host(const std::string& host, fleet::pool_event event, result_callback done);
    void start_wave(const fleet::wave_start_request& request, result_callback done);

    context& context_;
    service_refs services_;
};

} // namespace camphorhitch::daemon
