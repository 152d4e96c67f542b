/// \file
/// What any member may do to a document of jobs: take submissions and cancellations, in batches,
/// so that a burst costs one write for each document.
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

/// What a caller sends.
struct submission
{
    std::string id; ///< chosen by the caller; see checked_json::check_name()
    std::string team;
    std::string kind;
    job_class klass = job_class::normal;
    amounts declared;
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
    bool repeat = false; ///< the same submission was there before
    job_state state = job_state::waiting;
};

/// The same id stands for another submission; certainly not accepted.
struct other_body
{
};

/// Can never run as it is; certainly not accepted.
struct never_fits
{
    std::string why; ///< with the nearest miss
};

/// The document has no room; certainly not accepted, may be later.
struct document_full
{
};

using submit_outcome =
    std::variant<accepted, other_body, never_fits, document_full, core::findings>;

/// Adds the submissions of one bucket to its document.
/// \return an outcome for each, in order.
std::vector<submit_outcome> submit(
    job_document& d, const std::vector<submission>& all, const submit_input& in);

/// \return everything wrong with the submission itself.
core::findings check(const submission& s, const settings& rules);

/// \return why a job of this size can never run on these hosts for this team, with the nearest
/// miss; empty when it can.
std::string why_impossible(const amounts& declared,
    const std::string& team,
    const model::pool_document& hosts,
    const std::vector<model::team_config>& teams);

enum class cancel_outcome
{
    cancelled, ///< and it holds no host
    stopping,  ///< a task may still run; it is being stopped and may have run in part
    was_over,  ///< nothing to cancel
    not_found
};

inline constexpr core::name_table<cancel_outcome, 4> cancel_outcome_names{{
    {cancel_outcome::cancelled, "cancelled"},
    {cancel_outcome::stopping, "stopping"},
    {cancel_outcome::was_over, "was_over"},
    {cancel_outcome::not_found, "not_found"},
}};

/// Cancels the jobs of one bucket.
/// \param command id of the command behind it, for the record.
/// \return an outcome for each id, in order.
std::vector<cancel_outcome> cancel(job_document& d,
    const std::vector<std::string>& ids,
    const std::string& command,
    core::wall_time now);

/// Forgets jobs that were over long enough ago. Wall times of two hosts meet here: a clock that is
/// minutes off only shortens or lengthens a memory of hours.
/// \return how many were forgotten.
std::size_t forget_old(job_document& d, const settings& rules, core::wall_time now);

/// \return an upper bound of the document's length as text, in bytes.
std::size_t text_bound(const job_document& d);
std::size_t text_bound(const job& j);

} // namespace camphorhitch::jobs
