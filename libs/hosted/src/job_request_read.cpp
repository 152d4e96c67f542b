#include "hosted/keys.hpp"
#include "job_request_state.hpp"
#include "workflow/records.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

namespace
{

using ports::item_read;
using ports::page_read;
using state_callback = std::function<void(state_answer)>;

void read_item(const std::shared_ptr<job_request_state>& state,
    const std::string& key,
    core::mono_time deadline,
    const std::function<void(std::optional<item_read>)>& done)
{
    read_until<item_read>(
        state,
        deadline,
        [state, key](std::function<void(item_read)> got)
        { state->ctx.store.get(key, ports::read_freshness::newest, std::move(got)); },
        done);
}

/// \return whether a job of \p owner exists for a caller.
bool is_visible_to(const std::string& owner, const std::optional<std::string>& caller)
{
    return owner.empty() || !caller || owner == *caller;
}

/// \return the answer given by a stored state; not known if the record is damaged.
state_answer state_from(
    const job_request_state& state, const job_reference& job, const item_read& found)
{
    const auto read = workflow::read_progress_end(found.item->value);
    if (core::is_ok(read))
    {
        const auto& end = core::value(read);
        return {true, is_visible_to(end.workspace, job.workspace), end.state, found.store_revision};
    }
    state.log("record_damaged", job.id, {{"reason", core::failure(read).message}});
    return {};
}

/// Reads the state record once more after neither progress nor a job record was found. Either the
/// job does not exist, or it ended between the two reads: its job record was removed and its state
/// stored in one write, so only the state record can tell.
void read_state_again(const std::shared_ptr<job_request_state>& state,
    const job_reference& job,
    core::mono_time deadline,
    const state_callback& done)
{
    read_item(state,
        state_key(job.id),
        deadline,
        [state, job, done](const std::optional<item_read>& read)
        {
            if (!read)
            {
                done({});
                return;
            }
            done(read->item ? state_from(*state, job, *read)
                            : state_answer{
                                  true, false, workflow::job_state::queued, read->store_revision});
        });
}

/// \return the answer given by a job's record and its cancel.
state_answer state_from(const job_reference& job, const page_read& page)
{
    state_answer out{true, false, workflow::job_state::queued, page.store_revision};
    for (const auto& it : page.items)
    {
        out.exists = out.exists || (it.key == job_key(job.id) && is_visible({it}, job.workspace));
        if (it.key == cancel_key(job.id))
        {
            out.state = workflow::job_state::cancelled;
        }
    }
    return out;
}

/// Reads the job record after no progress was found: the job is waiting, has just been cancelled,
/// or does not exist.
void read_job_record(const std::shared_ptr<job_request_state>& state,
    const job_reference& job,
    core::mono_time deadline,
    absence_check check,
    const state_callback& done)
{
    read_until<page_read>(
        state,
        deadline,
        [state, id = job.id](std::function<void(page_read)> got)
        { state->ctx.store.range(job_key(id), {}, std::move(got)); },
        [state, job, deadline, check, done](const std::optional<page_read>& page)
        {
            if (!page)
            {
                done({});
                return;
            }
            if (page->items.empty() && check == absence_check::second_read)
            {
                read_state_again(state, job, deadline, done);
                return;
            }
            done(state_from(job, *page));
        });
}

void read_progress_record(const std::shared_ptr<job_request_state>& state,
    const job_reference& job,
    core::mono_time deadline,
    absence_check check,
    const state_callback& done)
{
    read_item(state,
        state_key(job.id),
        deadline,
        [state, job, deadline, check, done](const std::optional<item_read>& read)
        {
            if (!read)
            {
                done({});
                return;
            }
            if (!read->item)
            {
                read_job_record(state, job, deadline, check, done);
                return;
            }
            done(state_from(*state, job, *read));
        });
}

} // namespace

bool is_visible(
    const std::vector<ports::stored_item>& records, const std::optional<std::string>& workspace)
{
    return std::all_of(records.begin(),
        records.end(),
        [&](const ports::stored_item& it)
        {
            const auto owner = workflow::read_workspace(it.value);
            return !core::is_ok(owner) || is_visible_to(core::value(owner), workspace);
        });
}

tombstone tombstone_from(const job_request_state& state, const ports::stored_item& it)
{
    auto read = read_tombstone(it.value);
    if (core::is_ok(read))
    {
        return std::move(core::value(read));
    }
    state.log("record_damaged",
        it.key.substr(tombstone_prefix.size()),
        {{"key", it.key}, {"reason", core::failure(read).message}});
    tombstone out;
    out.covers_all = true;
    return out;
}

void read_state(const std::shared_ptr<job_request_state>& state,
    const job_reference& job,
    core::mono_time deadline,
    absence_check check,
    state_callback done)
{
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [answered, done = std::move(done)](const state_answer& it)
    {
        if (!std::exchange(*answered, true))
        {
            done(it);
        }
    };
    state->run_at_deadline(deadline, [answer] { answer({}); });
    read_progress_record(state, job, deadline, check, answer);
}

} // namespace camphorhitch::hosted
