#include "job_request_state.hpp"

namespace camphorhitch::hosted
{

using ports::kv_status;

namespace
{

bool is_refusal(kv_status s)
{
    return s == kv_status::unavailable || s == kv_status::rejected;
}

/// Refuses a write without sending it while the store serves nothing to this node. A write that is
/// sent to such a store may take effect seconds later or never, and its caller learns neither, so
/// the caller must not submit the request again. A write that was not sent certainly has no effect,
/// and the caller may try again. \return whether the write was refused
bool refuse_without_sending(const std::shared_ptr<job_request_state>& state, pending_write& w)
{
    if (w.may_have_effect || !is_store_failing(state->ctx))
    {
        return false;
    }
    w.answered = true;
    ports::commit_result refused;
    refused.status = kv_status::unavailable;
    w.done(refused, true);
    return true;
}

/// Ends a write whose caller's deadline passed while the machine was suspended. Sent now, it could
/// outlast a tombstone. \return whether the write ended
bool give_up_after_suspension(const job_request_state& state, pending_write& w)
{
    if (state.ctx.boot_now() <= w.send_until)
    {
        return false;
    }
    w.answered = true;
    ports::commit_result unanswered;
    unanswered.status = kv_status::unknown;
    w.done(unanswered, !w.may_have_effect);
    return true;
}

/// Sends the write once. The change is idempotent because its conditions fail once it has taken
/// effect. If an answer was lost, the repeat therefore shows whether the earlier attempt took
/// effect: the repeat then fails with a conflict.
void try_write(
    const std::shared_ptr<job_request_state>& state, const std::shared_ptr<pending_write>& w)
{
    if (refuse_without_sending(state, *w) || give_up_after_suspension(*state, *w))
    {
        return;
    }
    w->in_flight = true;
    ++w->attempts;
    state->ctx.store.commit(w->change,
        [state, w](const ports::commit_result& result)
        {
            w->in_flight = false;
            if (w->answered)
            {
                return;
            }
            if (result.status == kv_status::ok || result.status == kv_status::conflict ||
                result.lease_missing)
            {
                w->answered = true;
                w->done(result, true);
                return;
            }
            w->unanswered += result.status == kv_status::unknown ? 1 : 0;
            w->may_have_effect = w->unanswered > 0;
            w->refusals += is_refusal(result.status) ? 1 : 0;
            const bool give_up = !w->may_have_effect && w->refusals >= state->settings.max_refusals;
            if (give_up || !state->has_time(w->deadline))
            {
                w->answered = true;
                w->done(result, !w->may_have_effect);
                return;
            }
            state->run_after_retry_delay(
                [state, w]
                {
                    if (!w->answered)
                    {
                        try_write(state, w);
                    }
                });
        });
}

} // namespace

ports::log_fields describe_write(const pending_write& w, const ports::commit_result& result)
{
    return {{"attempts", std::to_string(w.attempts)},
        {"unanswered", std::to_string(w.unanswered)},
        {"revision", std::to_string(result.modified)}};
}

void start_write(
    const std::shared_ptr<job_request_state>& state, const std::shared_ptr<pending_write>& w)
{
    const auto left = w->deadline - state->ctx.time.now();
    w->send_until = state->ctx.boot_now() + std::chrono::duration_cast<core::millis>(left);
    state->run_at_deadline(w->deadline,
        [w]
        {
            if (!w->answered)
            {
                w->answered = true;
                ports::commit_result unanswered;
                unanswered.status = kv_status::unknown;
                w->done(unanswered, !w->may_have_effect && !w->in_flight);
            }
        });
    try_write(state, w);
}

} // namespace camphorhitch::hosted
