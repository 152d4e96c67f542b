#include "hosted/keys.hpp"
#include "job_request_state.hpp"
#include "store_answer.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace camphorhitch::hosted
{

using ports::kv_status;

namespace
{

using state_ref = std::shared_ptr<job_request_state>;

/// A cancel, until its caller is answered.
struct cancellation
{
    job_reference job;
    core::mono_time deadline;
    std::function<void(cancel_outcome)> done;
    bool answered = false;
    ports::revision store_revision = 0; ///< of the read that found the job, or none
    /// By key: the records that prevented an earlier attempt to store a tombstone.
    std::map<std::string, ports::stored_item> found;
};

using cancellation_ref = std::shared_ptr<cancellation>;

void read_and_cancel(const state_ref& state, const cancellation_ref& c);
void place_tombstone(const state_ref& state, const cancellation_ref& c);

void answer(const job_request_state& state,
    cancellation& c,
    const std::string& outcome,
    cancel_outcome out,
    ports::log_fields more)
{
    if (std::exchange(c.answered, true))
    {
        return;
    }
    more.emplace_back("store_revision", std::to_string(c.store_revision));
    more.emplace_back("outcome", outcome);
    state.log("cancel", c.job.id, std::move(more));
    c.done(out);
}

/// Answers after a write that did not succeed.
void answer_failure(const job_request_state& state,
    cancellation& c,
    const ports::commit_result& result,
    bool certain)
{
    answer(state,
        c,
        certain ? "not_cancelled" : "unknown",
        certain ? cancel_outcome::not_cancelled : cancel_outcome::unknown,
        {{"store", store_answer(result.status)}});
}

/// Stores the cancel of a job that exists.
void store_cancel(const state_ref& state, const cancellation_ref& c)
{
    const auto key = cancel_key(c->job.id);
    auto w = std::make_shared<pending_write>();
    w->id = c->job.id;
    w->deadline = c->deadline;
    w->change.conditions = {{key, 0}};
    w->change.puts = {{key, "1", 0}};
    w->done = [state, c](const ports::commit_result& result, bool certain)
    {
        if (result.status != kv_status::ok && result.status != kv_status::conflict)
        {
            answer_failure(*state, *c, result, certain);
            return;
        }
        answer(*state,
            *c,
            "cancelled",
            cancel_outcome::cancelled,
            {{"store", store_answer(result.status)}});
    };
    start_write(state, w);
}

ports::revision revision_of(const cancellation& c, const std::string& key)
{
    const auto it = c.found.find(key);
    return it == c.found.end() ? 0 : it->second.modified;
}

/// \return the tombstone that is stored already; an empty one if there is none.
tombstone found_tombstone(const job_request_state& state, const cancellation& c)
{
    const auto it = c.found.find(tombstone_key(c.job.id));
    return it == c.found.end() ? tombstone{} : tombstone_from(state, it->second);
}

/// Handles a tombstone that was not stored because another record is there.
void handle_conflict(
    const state_ref& state, const cancellation_ref& c, const ports::commit_result& result)
{
    c->found.clear();
    bool job_exists = false;
    for (const auto& it : result.current)
    {
        c->found[it.key] = it;
        job_exists = job_exists ||
                     (it.key != tombstone_key(c->job.id) && is_visible({it}, c->job.workspace));
    }
    const auto stored = c->found.find(tombstone_key(c->job.id));
    if (!job_exists && stored != c->found.end() && state->lease->lasts(stored->second.lease) &&
        contains_cancel(found_tombstone(*state, *c), c->job.workspace))
    {
        // An earlier attempt, or another cancel at this node, has stored it.
        answer(*state,
            *c,
            "no_such_job",
            cancel_outcome::no_such_job,
            {{"tombstone", std::to_string(stored->second.modified)}});
        return;
    }
    if (!state->has_time(c->deadline))
    {
        answer_failure(*state, *c, result, true);
        return;
    }
    state->run_after_retry_delay(
        [state, c, job_exists]
        {
            if (job_exists)
            {
                read_and_cancel(state, c);
            }
            else
            {
                place_tombstone(state, c);
            }
        });
}

/// Stores the tombstone of a job that doesn't exist, with the condition that it still doesn't.
void store_tombstone(const state_ref& state, const cancellation_ref& c, ports::lease_id lease)
{
    const auto& id = c->job.id;
    auto record = found_tombstone(*state, *c);
    add_cancel(record, c->job.workspace);
    const auto expires = state->ctx.time.wall_now() + state->lease->max_time();
    record.expires_unix_ms = core::to_unix_ms(expires);
    auto w = std::make_shared<pending_write>();
    w->id = id;
    w->deadline = c->deadline;
    for (const auto& key : {job_key(id), state_key(id), tombstone_key(id)})
    {
        w->change.conditions.push_back({key, revision_of(*c, key)});
    }
    w->change.puts = {{tombstone_key(id), write_tombstone(record), lease}};
    w->done = [state, c, lease](const ports::commit_result& result, bool certain)
    {
        if (result.status == kv_status::ok && state->lease->lasts(lease))
        {
            state->ctx.tel.count("camphorhitch_tombstones_total", {}, 1);
            answer(*state,
                *c,
                "no_such_job",
                cancel_outcome::no_such_job,
                {{"tombstone", std::to_string(result.modified)}});
            return;
        }
        if (result.status == kv_status::conflict)
        {
            handle_conflict(state, c, result);
            return;
        }
        const bool expired = result.status == kv_status::ok || result.lease_missing;
        if (!expired || !state->has_time(c->deadline))
        {
            answer_failure(*state, *c, result, certain);
            return;
        }
        // The tombstone would be gone too early, or already is.
        state->lease->discard(lease);
        place_tombstone(state, c);
    };
    start_write(state, w);
}

/// Gets a lease and stores the tombstone of a job that doesn't exist.
void place_tombstone(const state_ref& state, const cancellation_ref& c)
{
    const auto requested = std::make_shared<bool>(true);
    const auto give_up = [state, c]
    {
        answer(*state, *c, "not_cancelled", cancel_outcome::not_cancelled, {{"store", "no_lease"}});
    };
    state->run_at_deadline(c->deadline,
        [requested, give_up]
        {
            if (*requested)
            {
                give_up();
            }
        });
    state->lease->request(
        [state, c, requested, give_up](const std::optional<ports::lease_id>& lease)
        {
            *requested = false;
            if (c->answered)
            {
                return;
            }
            if (lease)
            {
                store_tombstone(state, c, *lease);
            }
            else if (!state->has_time(c->deadline) || is_store_failing(state->ctx))
            {
                give_up();
            }
            else
            {
                state->run_after_retry_delay([state, c] { place_tombstone(state, c); });
            }
        });
}

void read_and_cancel(const state_ref& state, const cancellation_ref& c)
{
    read_state(state,
        c->job,
        c->deadline,
        absence_check::conditional_write,
        [state, c](const state_answer& it)
        {
            c->store_revision = it.store_revision;
            if (!it.known)
            {
                answer(*state, *c, "not_cancelled", cancel_outcome::not_cancelled, {});
            }
            else if (!it.exists)
            {
                place_tombstone(state, c);
            }
            else if (workflow::is_final(it.state))
            {
                answer(*state, *c, "was_final", cancel_outcome::cancelled, {});
            }
            else
            {
                store_cancel(state, c);
            }
        });
}

} // namespace

void cancel_job(const state_ref& state,
    const job_reference& job,
    core::mono_time deadline,
    std::function<void(cancel_outcome)> done)
{
    const auto c = std::make_shared<cancellation>();
    c->job = job;
    c->deadline = deadline;
    c->done = std::move(done);
    read_and_cancel(state, c);
}

} // namespace camphorhitch::hosted
