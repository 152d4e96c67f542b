#include "hosted/job_request_handler.hpp"

#include "hosted/keys.hpp"
#include "job_request_state.hpp"
#include "store_answer.hpp"

#include <utility>

namespace camphorhitch::hosted
{

using ports::kv_status;

job_request_handler::job_request_handler(context c, job_request_settings s)
    : state_(std::make_shared<job_request_state>())
{
    state_->ctx = std::move(c);
    state_->settings = s;
    auto& store = state_->ctx.store;
    store = with_recorded_revisions(store, state_->ctx.boot_now, state_->pending.revisions);
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
    const auto& id = job.id;
    const auto on_state = [state = state_, id, deadline, done = std::move(done)](state_answer it)
    {
        if (!it.known || !it.exists)
        {
            state->log("cancel",
                id,
                {{"store_revision", std::to_string(it.store_revision)},
                    {"outcome", it.known ? "no_such_job" : "not_cancelled"}});
            done(it.known ? cancel_outcome::no_such_job : cancel_outcome::not_cancelled);
            return;
        }
        if (workflow::is_final(it.state))
        {
            state->log("cancel", id, {{"outcome", "was_final"}});
            done(cancel_outcome::cancelled);
            return;
        }
        auto w = std::make_shared<pending_write>();
        w->id = id;
        w->deadline = deadline;
        w->change.conditions = {{cancel_key(id), 0}};
        w->change.puts = {{cancel_key(id), "1", 0}};
        w->done = [state, id, done](const ports::commit_result& result, bool certain)
        {
            const bool ok = result.status == kv_status::ok || result.status == kv_status::conflict;
            state->log("cancel",
                id,
                {{"store", store_answer(result.status)},
                    {"outcome",
                        ok        ? "cancelled"
                        : certain ? "not_cancelled"
                                  : "unknown"}});
            done(ok        ? cancel_outcome::cancelled
                 : certain ? cancel_outcome::not_cancelled
                           : cancel_outcome::unknown);
        };
        start_write(state, w);
    };
    read_state(state_, job, deadline, on_state);
}

void job_request_handler::query_state(
    const job_reference& job, core::mono_time deadline, std::function<void(state_answer)> done)
{
    read_state(state_, job, deadline, std::move(done));
}

void job_request_handler::count_pending(
    const std::string& queue, core::mono_time deadline, std::function<void(pending_answer)> done)
{
    hosted::count_pending(state_, queue, deadline, std::move(done));
}

} // namespace camphorhitch::hosted
