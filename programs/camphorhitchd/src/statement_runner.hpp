/// \file
/// Runs operators' statements: queries from the mirrored documents, commands as writes to them.
#pragma once

#include "context.hpp"
#include "fleet/pool_events.hpp"
#include "fleet/wave_rules.hpp"
#include "job_statements.hpp"
#include "language/parse.hpp"
#include "operator_parts.hpp"
#include "operator_wire.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

class statement_runner
{
public:
    using callback = std::function<void(std::vector<statement_result>)>;

    statement_runner(context& c, operator_parts parts);

    /// Runs the statements one after the other; after one that failed the others are not run.
    void run(const statement_batch& batch, callback done);
    /// \return whether all that the batch asked for is in force everywhere or has ended.
    bool settled(const statement_batch& batch) const;

private:
    struct work;
    /// One statement's surroundings.
    struct place
    {
        std::string document; ///< the text's name in findings
        std::string command;  ///< id of this statement
    };

    void next(const std::shared_ptr<work>& w);
    /// \return whether the host that a drain or move names is through with it.
    bool host_settled(const language::statement& what) const;
    void run_one(const language::show_statement& s, const place& at, const result_callback& done);
    void run_one(const language::why_statement& s, const place& at, result_callback done);
    void run_one(const language::set_statement& s, const place& at, result_callback done);
    void run_one(const language::drain_statement& s, const place& at, result_callback done);
    void run_one(const language::move_statement& s, const place& at, result_callback done);
    void run_one(const language::start_wave_statement& s, const place& at, result_callback done);
    void run_one(
        const language::start_experiment_statement& s, const place& at, result_callback done);
    void run_one(
        const language::stop_experiment_statement& s, const place& at, result_callback done);
    void run_one(const language::cancel_wave_statement& s, const place& at, result_callback done);
    void run_one(const language::resume_wave_statement& s, const place& at, result_callback done);
    void run_one(
        const language::cancel_job_statement& s, const place& at, const result_callback& done);
    void run_one(
        const language::cancel_jobs_statement& s, const place& at, const result_callback& done);
    void run_one(
        const language::submit_job_statement& s, const place& at, const result_callback& done);
    void ask_peers(const language::why_statement& s, result_callback done);
    void change_host(const std::string& host, fleet::pool_event event, result_callback done);
    void start_wave(const fleet::wave_start_request& wish, result_callback done);

    context& context_;
    operator_parts parts_;
};

} // namespace camphorhitch::daemon
