/// \file
/// State shared by the parts of the job request handler: the ports, and the repetition of calls
/// until the caller's deadline.
#pragma once

#include "hosted/job_request_handler.hpp"
#include "pending_count.hpp"
#include "submission_gate.hpp"
#include "tombstone.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace camphorhitch::hosted
{

struct job_request_state : std::enable_shared_from_this<job_request_state>
{
    context ctx;
    job_request_settings settings;
    pending_count_cache pending;
    std::unique_ptr<submission_gate> gate;  ///< null: no job is refused by the forecast
    std::unique_ptr<tombstone_lease> lease; ///< of this node's tombstones

    /// \return whether another attempt can still be answered before the caller's deadline.
    bool has_time(core::mono_time deadline) const
    {
        return ctx.time.now() + settings.retry_delay + settings.reply_margin < deadline;
    }

    /// Runs \p fn when the answer to the caller is due, even if a store call is still open.
    void run_at_deadline(core::mono_time deadline, std::function<void()> fn)
    {
        const auto left = std::chrono::duration_cast<core::millis>(
            deadline - settings.reply_margin - ctx.time.now());
        ctx.time.after(std::max(left, core::millis{0}),
            [weak = weak_from_this(), fn = std::move(fn)]
            {
                if (weak.lock() != nullptr)
                {
                    fn();
                }
            });
    }

    void run_after_retry_delay(std::function<void()> fn)
    {
        ctx.time.after(settings.retry_delay,
            [weak = weak_from_this(), fn = std::move(fn)]
            {
                if (weak.lock() != nullptr)
                {
                    fn();
                }
            });
    }

    void log(const char* event, const std::string& id, ports::log_fields more) const
    {
        more.insert(more.begin(), {"id", id});
        ctx.tel.log(ports::log_level::info, event, std::move(more));
    }
};

/// Repeats a read until the store answers it or the caller's deadline is reached. A read that fails
/// while the store serves nothing to this node is given up: another node may answer the caller.
/// \param call sends the read once
/// \param done receives the answer, or nullopt if there was none in time
template <class Read>
void read_until(const std::shared_ptr<job_request_state>& state,
    core::mono_time deadline,
    const std::function<void(std::function<void(Read)>)>& call,
    const std::function<void(std::optional<Read>)>& done)
{
    call(
        [state, deadline, call, done](const Read& read)
        {
            if (read.status == ports::kv_status::ok)
            {
                done(read);
                return;
            }
            if (!state->has_time(deadline) || is_store_failing(state->ctx))
            {
                done(std::nullopt);
                return;
            }
            state->run_after_retry_delay([=] { read_until<Read>(state, deadline, call, done); });
        });
}

/// A write that is repeated until its effect is certain or the caller's deadline is reached.
struct pending_write
{
    std::string id;
    ports::store_transaction change;
    core::mono_time deadline;
    /// The deadline by the clock that runs during suspensions. The write is not sent later.
    core::mono_time send_until{};
    bool may_have_effect = false; ///< true after an attempt that got no answer
    bool in_flight = false;
    bool answered = false; ///< the caller has received its answer
    int refusals = 0;
    int attempts = 0;   ///< number of times that it was sent
    int unanswered = 0; ///< attempts that ended without an answer
    /// Receives the result. \p certain is false if the write may still take effect.
    std::function<void(const ports::commit_result& result, bool certain)> done;
};

/// \return fields of a log line that tell which attempt of a write took effect, and when.
ports::log_fields describe_write(const pending_write& w, const ports::commit_result& result);

/// Starts a write. If a store call hangs beyond the caller's deadline, the result is reported as
/// not certain.
void start_write(
    const std::shared_ptr<job_request_state>& state, const std::shared_ptr<pending_write>& w);

/// Stores a job, or refuses it by the forecast. \p done is called by the deadline.
void submit_job(const std::shared_ptr<job_request_state>& state,
    const workflow::job& spec,
    core::mono_time deadline,
    std::function<void(submit_answer)> done);

/// Stores the cancel of a job, or a tombstone if the job doesn't exist. \p done is called by the
/// deadline.
void cancel_job(const std::shared_ptr<job_request_state>& state,
    const job_reference& job,
    core::mono_time deadline,
    std::function<void(cancel_outcome)> done);

/// \return the stored tombstone. A damaged one is logged and covers all jobs of its id, because
/// whose job was cancelled is not known.
tombstone tombstone_from(const job_request_state& state, const ports::stored_item& it);

/// \param records a job's record, its state, or both
/// \param workspace of the caller, as job_reference::workspace
/// \return whether the job exists for the caller. A record that is damaged names no workspace.
bool is_visible(
    const std::vector<ports::stored_item>& records, const std::optional<std::string>& workspace);

/// How it is made sure that a job that was not found does not exist.
enum class absence_check
{
    second_read,
    conditional_write ///< by the caller
};

/// Reads the state of a job. \p done is called by the deadline, even if a store call hangs.
void read_state(const std::shared_ptr<job_request_state>& state,
    const job_reference& job,
    core::mono_time deadline,
    absence_check check,
    std::function<void(state_answer)> done);

} // namespace camphorhitch::hosted
