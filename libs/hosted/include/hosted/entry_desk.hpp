/// \file
/// Answers callers: takes jobs and cancels into the metadata store, tells states. Any node serves
/// any caller; the coordinator need not be up.
#pragma once

#include "hosted/context.hpp"
#include "hosted/formats.hpp"
#include "workflow/model.hpp"

#include <functional>
#include <memory>
#include <string>

namespace camphorhitch::hosted
{

enum class submit_outcome
{
    accepted,     ///< it is stored
    not_accepted, ///< certainly not stored, and never will be by this request
    unknown       ///< it may be stored, now or seconds later
};

enum class cancel_outcome
{
    cancelled,
    no_such_job,
    not_cancelled, ///< certainly nothing was stored
    unknown
};

/// What a caller is told of a job.
struct state_answer
{
    bool known = false; ///< false: the store could not be asked
    bool exists = false;
    workflow::job_state state = workflow::job_state::queued;
};

struct pending_answer
{
    bool known = false; ///< false: nothing was at hand in time that is at most 2 s old
    int jobs = 0;
};

struct entry_settings
{
    core::millis retry_pause{60}; ///< between tries of a store call that failed
    int most_refusals = 3;        ///< certain refusals of the store before the caller gets its own
    /// The answer to a caller is given up this long before the caller's own patience ends.
    core::millis reply_margin{150};
    /// A count that was read so lately is told again without a call, while it is new enough.
    core::millis pending_age{500};
};

struct entry_state;

class entry_desk
{
public:
    entry_desk(context c, entry_settings s);
    entry_desk(const entry_desk&) = delete;
    entry_desk& operator=(const entry_desk&) = delete;
    ~entry_desk();

    /// \param deadline when the caller stops waiting
    void submit(const workflow::job& spec,
        core::mono_time deadline,
        std::function<void(submit_outcome)> done);

    void cancel(
        const std::string& id, core::mono_time deadline, std::function<void(cancel_outcome)> done);

    void tell_state(
        const std::string& id, core::mono_time deadline, std::function<void(state_answer)> done);

    /// Counts jobs of a queue of which no task has started, as of at most 2 s ago.
    void count_pending(const std::string& queue,
        core::mono_time deadline,
        std::function<void(pending_answer)> done);

private:
    std::shared_ptr<entry_state> state_;
};

} // namespace camphorhitch::hosted
