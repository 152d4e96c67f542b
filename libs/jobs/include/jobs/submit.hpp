/// \file
/// The changes that any member may make to a document of jobs: submissions and cancellations, in
/// batches, so that a burst costs one write for each document.
#pragma once

#include "core/findings.hpp"
#include "core/time.hpp"
#include "jobs/job.hpp"
#include "jobs/settings.hpp"
#include "model/config.hpp"

#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::jobs
{

/// A job as the caller sends it.
struct submission
{
    std::string id; ///< chosen by the caller; see checked_json::check_name()
    std::string team;
    std::string kind;
    job_class klass = job_class::normal;
    resources declared;
    core::millis run_time{0};
    bool idempotent = false;
    std::string payload;
};

/// What submissions are checked against.
struct submit_input
{
    const model::pool_document& hosts;
    const std::vector<model::team_config>& teams;
    const settings& rules;
    core::wall_time now;
};

/// The job is in the document. It is accepted once the document is written.
struct accepted
{
    bool is_repeat = false; ///< the same submission was already in the document
    job_state state = job_state::waiting;
};

/// The same id belongs to another submission; certainly not accepted.
struct other_body
{
};

/// The job can never run as submitted; certainly not accepted.
struct never_fits
{
    std::string reason; ///< names the host or quota that comes nearest
};

/// The document has no room for the job; certainly not accepted, may be accepted later.
struct document_full
{
};

using submit_outcome =
    std::variant<accepted, other_body, never_fits, document_full, core::findings>;

/// Adds the submissions of one bucket to its document.
/// \return one outcome for each submission, in order.
std::vector<submit_outcome> submit(
    job_document& d, const std::vector<submission>& all, const submit_input& in);

/// \return all findings about the submission itself.
core::findings check(const submission& s, const settings& rules);

/// \return why a job of this size can never run on these hosts for this team, with the host or
/// quota that comes nearest; empty when it can run.
std::string impossibility_reason(const resources& declared,
    const std::string& team,
    const model::pool_document& hosts,
    const std::vector<model::team_config>& teams);

enum class cancel_outcome
{
    cancelled, ///< the job occupies no host
    stopping,  ///< a task may still run; it is being stopped and may have run in part
    was_over,  ///< the job had already finished or failed
    not_found
};

inline constexpr core::name_table<cancel_outcome, 4> cancel_outcome_names{{
    {cancel_outcome::cancelled, "cancelled"},
    {cancel_outcome::stopping, "stopping"},
    {cancel_outcome::was_over, "was_over"},
    {cancel_outcome::not_found, "not_found"},
}};

/// Cancels the jobs of one bucket.
/// \param command id of the operator's command, for the job's record.
/// \return one outcome for each id, in order.
std::vector<cancel_outcome> cancel(job_document& d,
    const std::vector<std::string>& ids,
    const std::string& command,
    core::wall_time now);

/// Removes jobs whose terminal state is older than the retention. The wall clocks of two hosts are
/// compared here: a clock that is minutes off only shortens or lengthens a retention of hours.
/// \return the number of removed jobs.
std::size_t remove_expired_jobs(job_document& d, const settings& rules, core::wall_time now);

/// \return an upper bound of the length of the encoded text, in bytes.
std::size_t max_encoded_size(const job_document& d);
std::size_t max_encoded_size(const job& j);

} // namespace camphorhitch::jobs
