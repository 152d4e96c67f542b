#include "hosted/job_request_handler.hpp"

#include "job_request_state.hpp"

#include <utility>

namespace camphorhitch::hosted
{

job_request_handler::job_request_handler(context c, job_request_settings s)
    : state_(std::make_shared<job_request_state>())
{
    state_->ctx = std::move(c);
    state_->settings = s;
    auto& store = state_->ctx.store;
    store = with_recorded_revisions(store, state_->ctx.boot_now, state_->pending.revisions);
    state_->lease = std::make_unique<tombstone_lease>(state_->ctx, s.tombstone_retention);
    if (s.rejects_hopeless)
    {
        state_->gate = std::make_unique<submission_gate>(state_->ctx);
    }
}

job_request_handler::~job_request_handler() = default;

void job_request_handler::submit(
    const workflow::job& spec, core::mono_time deadline, std::function<void(submit_answer)> done)
{
    submit_job(state_, spec, deadline, std::move(done));
}

void job_request_handler::withdraw_reports()
{
    if (state_->gate != nullptr)
    {
        state_->gate->withdraw_reports();
    }
}

void job_request_handler::cancel(
    const job_reference& job, core::mono_time deadline, std::function<void(cancel_outcome)> done)
{
    cancel_job(state_, job, deadline, std::move(done));
}

void job_request_handler::query_state(
    const job_reference& job, core::mono_time deadline, std::function<void(state_answer)> done)
{
    read_state(state_, job, deadline, absence_check::second_read, std::move(done));
}

void job_request_handler::count_pending(
    const std::string& queue, core::mono_time deadline, std::function<void(pending_answer)> done)
{
    hosted::count_pending(state_, queue, deadline, std::move(done));
}

} // namespace camphorhitch::hosted
