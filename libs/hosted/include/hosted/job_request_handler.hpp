/// \file
/// Handles callers' requests: stores jobs and cancels in the metadata store, and reads job states
/// and counts. Any node serves any caller; no coordinator needs to be running.
#pragma once

#include "hosted/context.hpp"
#include "hosted/formats.hpp"
#include "workflow/model.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace camphorhitch::hosted
{

/// Result of the submission of a job.
enum class submit_outcome
{
    accepted,     ///< the job is stored
    not_accepted, ///< the job is certainly not stored and never will be by this request
    id_taken,     ///< a job of another workspace has this id; nothing was stored
    overloaded,   ///< not accepted: by the forecast the pool cannot serve the job in time
    cancelled,    ///< not accepted: the job was cancelled before it was stored
    unknown       ///< the job may be stored already, or may get stored seconds later
};

inline constexpr core::name_table<submit_outcome, 6> submit_outcome_names{{
    {submit_outcome::accepted, "accepted"},
    {submit_outcome::not_accepted, "not_accepted"},
    {submit_outcome::id_taken, "id_taken"},
    {submit_outcome::overloaded, "overloaded"},
    {submit_outcome::cancelled, "cancelled"},
    {submit_outcome::unknown, "unknown"},
}};

/// Answer to the submission of a job.
struct submit_answer
{
    submit_outcome outcome = submit_outcome::unknown;
    /// Time after which the caller may submit the job again, in whole seconds; only if overloaded
    /// or cancelled.
    core::millis retry_after{0};

    /// For callers that need only the outcome.
    operator submit_outcome() const
    {
        return outcome;
    }
};

/// Result of the cancellation of a job.
enum class cancel_outcome
{
    cancelled,     ///< the cancel is stored, or the job was final already
    no_such_job,   ///< no submission made before will be stored
    not_cancelled, ///< the cancel is certainly not stored
    unknown        ///< the cancel may be stored already, or may get stored seconds later
};

/// A job, and the workspace on whose behalf a call about it is made. For a caller of another
/// workspace the job does not exist; a job without a workspace exists for all callers.
struct job_reference
{
    std::string id;
    /// Empty: the caller belongs to none. Nothing: the caller may refer to all jobs.
    std::optional<std::string> workspace;
};

/// State of a job as reported to a caller.
struct state_answer
{
    bool known = false; ///< false: the store could not be read
    bool exists = false;
    workflow::job_state state = workflow::job_state::queued;
    ports::revision store_revision = 0; ///< of the read that the answer rests on; 0: not known
};

/// Number of waiting jobs of a queue as reported to a caller.
struct pending_answer
{
    bool known = false; ///< false: no count at most 2 s old was available in time
    int jobs = 0;
};

/// Times and limits of the calls that serve callers' requests.
struct job_request_settings
{
    core::millis retry_delay{60}; ///< delay before a failed store call is repeated
    /// Number of definite refusals by the store after which the caller's request is refused.
    int max_refusals = 3;
    /// The caller gets an answer this long before its deadline, even if a store call is still open.
    core::millis reply_margin{150};
    /// A cached count is reported again without a store call if it was read at most this long ago
    /// and is still fresh enough.
    core::millis cached_count_max_age{500};
    /// Refuses jobs that by the published forecast cannot be served in time.
    bool rejects_hopeless = false;
    /// Maximum wait for the reads that show whether a job that is to be refused is stored already.
    core::millis stored_check_max_wait{300};
    /// Minimum time for which a cancelled job that was not found can't be stored. It is longer than
    /// a submission is repeated by its node and delayed on its way to the store.
    core::millis tombstone_retention{120000};
};

struct job_request_state;

/// Serves callers' requests. Each callback is called once, shortly before the deadline at the
/// latest.
class job_request_handler
{
public:
    job_request_handler(context c, job_request_settings s);
    job_request_handler(const job_request_handler&) = delete;
    job_request_handler& operator=(const job_request_handler&) = delete;
    ~job_request_handler();

    /// Stores a job, or refuses it at once if it cannot be served in time.
    /// \param deadline time at which the caller stops waiting
    void submit(const workflow::job& spec,
        core::mono_time deadline,
        std::function<void(submit_answer)> done);

    /// Withdraws this node's report of refused work, as the node shuts down.
    void withdraw_reports();

    /// Cancels a job. A job that is final already stays as it is, and the cancel succeeds. A job
    /// that does not exist can't be submitted for a while, because an earlier submission of it may
    /// still be on its way to the store.
    /// \param deadline time at which the caller stops waiting
    void cancel(const job_reference& job,
        core::mono_time deadline,
        std::function<void(cancel_outcome)> done);

    /// Reads the state of a job.
    /// \param deadline time at which the caller stops waiting
    void query_state(
        const job_reference& job, core::mono_time deadline, std::function<void(state_answer)> done);

    /// Counts the jobs of a queue of which no task has started, as of at most 2 s ago.
    /// \param deadline time at which the caller stops waiting
    void count_pending(const std::string& queue,
        core::mono_time deadline,
        std::function<void(pending_answer)> done);

private:
    std::shared_ptr<job_request_state> state_;
};

} // namespace camphorhitch::hosted
