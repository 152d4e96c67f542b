#include "hosted/keys.hpp"
#include "job_request_state.hpp"
#include "store_answer.hpp"
#include "workflow/records.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace camphorhitch::hosted
{

using ports::kv_status;

namespace
{

using state_ref = std::shared_ptr<job_request_state>;

/// A submission, until its caller is answered.
struct submission
{
    workflow::job spec;
    core::mono_time deadline;
    std::function<void(submit_answer)> done;
    admission_decision decision;
    bool checked = false; ///< the check whether the job is stored has ended
    /// Of a tombstone that does not apply to the job; 0: none is stored, as far as is known.
    ports::revision tombstone = 0;
};

using submission_ref = std::shared_ptr<submission>;

/// \return the outcome when a record of a job with this id was found.
submit_outcome outcome_of_stored(
    const std::vector<ports::stored_item>& records, const workflow::job& spec)
{
    return is_visible(records, spec.workspace) ? submit_outcome::accepted
                                               : submit_outcome::id_taken;
}

void answer(const job_request_state& state,
    const submission& s,
    const std::string& store,
    submit_answer out,
    const ports::log_fields& write = {})
{
    ports::log_fields fields{{"queue", s.spec.queue},
        {"workspace", s.spec.workspace},
        {"store", store},
        {"outcome", std::string{core::name_of(submit_outcome_names, out.outcome)}}};
    fields.insert(fields.end(), write.begin(), write.end());
    state.log("submit", s.spec.id, std::move(fields));
    s.done(out);
}

void store_job(const state_ref& state, const submission_ref& s);

/// \return the time until the tombstone is gone, in whole seconds.
core::millis time_left(const job_request_state& state, const tombstone& t)
{
    const auto now = core::to_unix_ms(state.ctx.time.wall_now());
    const auto left = std::clamp(
        core::millis{t.expires_unix_ms - now}, core::millis{1000}, state.lease->max_time());
    return std::chrono::ceil<std::chrono::seconds>(left);
}

/// Handles a submission that was not stored because a record of its id exists or has changed.
/// \return the answer, or nothing if the job is submitted once more
std::optional<submit_answer> handle_conflict(
    const state_ref& state, const submission_ref& s, const std::vector<ports::stored_item>& found)
{
    std::vector<ports::stored_item> records; // of the job
    std::optional<tombstone> cancel;
    s->tombstone = 0;
    for (const auto& it : found)
    {
        if (it.key == tombstone_key(s->spec.id))
        {
            cancel = tombstone_from(*state, it);
            s->tombstone = it.modified;
        }
        else
        {
            records.push_back(it);
        }
    }
    if (!records.empty())
    {
        // The conflict shows that a job with this id was stored before.
        return submit_answer{outcome_of_stored(records, s->spec)};
    }
    if (cancel && is_covered(*cancel, s->spec.workspace))
    {
        state->ctx.tel.count("camphorhitch_cancelled_submissions_total", {}, 1);
        return submit_answer{submit_outcome::cancelled, time_left(*state, *cancel)};
    }
    if (!state->has_time(s->deadline))
    {
        return submit_answer{submit_outcome::not_accepted};
    }
    store_job(state, s);
    return {};
}

void store_job(const state_ref& state, const submission_ref& s)
{
    const auto& spec = s->spec;
    auto w = std::make_shared<pending_write>();
    w->id = spec.id;
    w->deadline = s->deadline;
    // A job that has ended leaves its state in the store, so a repeated submission does not create
    // the job again.
    w->change.conditions = {
        {job_key(spec.id), 0}, {state_key(spec.id), 0}, {tombstone_key(spec.id), s->tombstone}};
    w->change.puts = {{job_key(spec.id), workflow::write_job(spec), 0}};
    // Without a record of the job, a cancel belongs to an earlier job of this id that has ended.
    w->change.removals = {cancel_key(spec.id)};
    w->done = [state, s, sent = std::weak_ptr{w}](const ports::commit_result& result, bool certain)
    {
        if (state->gate != nullptr)
        {
            state->gate->unsettled().end(s->spec.id, certain, state->ctx.boot_now());
        }
        std::optional<submit_answer> out;
        if (result.status == kv_status::conflict)
        {
            out = handle_conflict(state, s, result.current);
        }
        else
        {
            out = submit_answer{result.status == kv_status::ok ? submit_outcome::accepted
                                : certain                      ? submit_outcome::not_accepted
                                                               : submit_outcome::unknown};
        }
        if (out)
        {
            answer(*state,
                *s,
                store_answer(result.status),
                *out,
                describe_write(*sent.lock(), result));
        }
    };
    if (state->gate != nullptr)
    {
        state->gate->unsettled().begin(spec.id);
    }
    start_write(state, w);
}

/// Refuses the job, which is not stored, unless a write that began meanwhile may store it.
void refuse(const state_ref& state, const submission_ref& s)
{
    if (state->gate->unsettled().contains(s->spec.id, state->ctx.boot_now()))
    {
        store_job(state, s);
        return;
    }
    state->gate->record_refusal(s->spec, s->decision);
    s->done({submit_outcome::overloaded, s->decision.retry_after});
}

/// Reads one of the keys that an accepted job has.
/// \param next called if the key does not exist
void check_key(const state_ref& state,
    const submission_ref& s,
    const std::string& key,
    void (*next)(const state_ref& state, const submission_ref& s))
{
    state->ctx.store.get(key,
        ports::read_freshness::newest,
        [state, s, next](const ports::item_read& read)
        {
            if (s->checked)
            {
                return;
            }
            if (read.status == kv_status::ok && !read.item)
            {
                next(state, s);
                return;
            }
            s->checked = true;
            if (read.status == kv_status::ok)
            {
                answer(*state, *s, "exists", {outcome_of_stored({*read.item}, s->spec)});
                return;
            }
            store_job(state, s);
        });
}

/// Refuses the job if it is not stored. A job that was accepted must not be refused when its
/// submission is repeated. The key of its record is removed in the write of its final state, so the
/// state is read after the record; in the other order, both reads could miss a job that ends in
/// between. If a read fails or is late, the job is submitted as usual.
void refuse_unless_stored(const state_ref& state, const submission_ref& s)
{
    constexpr int max_share = 4; // the write that may follow needs most of the caller's time
    const auto time_left =
        std::chrono::duration_cast<core::millis>(s->deadline - state->ctx.time.now());
    const auto wait = std::min(state->settings.stored_check_max_wait, time_left / max_share);
    state->ctx.time.after(std::max(wait, core::millis{0}),
        [weak = std::weak_ptr{state}, s]
        {
            const auto self = weak.lock();
            if (self != nullptr && !std::exchange(s->checked, true))
            {
                store_job(self, s);
            }
        });
    check_key(state,
        s,
        job_key(s->spec.id),
        [](const state_ref& of, const submission_ref& it)
        {
            check_key(of,
                it,
                state_key(it->spec.id),
                [](const state_ref& last, const submission_ref& absent)
                {
                    absent->checked = true;
                    refuse(last, absent);
                });
        });
}

} // namespace

void submit_job(const state_ref& state,
    const workflow::job& spec,
    core::mono_time deadline,
    std::function<void(submit_answer)> done)
{
    const auto s = std::make_shared<submission>();
    s->spec = spec;
    s->deadline = deadline;
    s->done = std::move(done);
    if (state->gate != nullptr)
    {
        s->decision = state->gate->judge(spec);
    }
    // A store that serves nothing to this node can't show whether the job is stored.
    if (s->decision.accepted || is_store_failing(state->ctx))
    {
        store_job(state, s);
        return;
    }
    refuse_unless_stored(state, s);
}

} // namespace camphorhitch::hosted
