#include "entry_state.hpp"
#include "hosted/keys.hpp"
#include "workflow/records.hpp"

#include <utility>

namespace camphorhitch::hosted
{

namespace
{

using ports::item_read;
using ports::page_read;
using state_callback = std::function<void(state_answer)>;

void read_item(const std::shared_ptr<entry_state>& state,
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

/// \return what a stored state tells; not known when it is damaged.
state_answer told_by(const entry_state& state, const std::string& id, const std::string& text)
{
    const auto found = workflow::read_progress_state(text);
    if (core::is_ok(found))
    {
        return {true, true, core::value(found)};
    }
    state.log("record_damaged", id, {{"reason", core::failure(found).message}});
    return {};
}

/// Neither progress nor job: it does not exist, or it ended between the two readings, which removed
/// the job and stored its state in one write. Only the state tells, read once more.
void look_again(const std::shared_ptr<entry_state>& state,
    const std::string& id,
    core::mono_time deadline,
    const state_callback& done)
{
    read_item(state,
        state_key(id),
        deadline,
        [state, id, done](const std::optional<item_read>& read)
        {
            if (!read)
            {
                done({});
                return;
            }
            done(read->item ? told_by(*state, id, read->item->value)
                            : state_answer{true, false, workflow::job_state::queued});
        });
}

/// \return what a job's record and its cancel tell.
state_answer told_by(const std::string& id, const page_read& page)
{
    state_answer out{true, false, workflow::job_state::queued};
    for (const auto& it : page.items)
    {
        out.exists = out.exists || it.key == job_key(id);
        if (it.key == cancel_key(id))
        {
            out.state = workflow::job_state::cancelled;
        }
    }
    return out;
}

/// No progress is stored: the job waits, was cancelled just now, or does not exist.
void look_for_job(const std::shared_ptr<entry_state>& state,
    const std::string& id,
    core::mono_time deadline,
    const state_callback& done)
{
    read_until<page_read>(
        state,
        deadline,
        [state, id](std::function<void(page_read)> got)
        { state->ctx.store.range(job_key(id), {}, std::move(got)); },
        [state, id, deadline, done](const std::optional<page_read>& page)
        {
            if (!page)
            {
                done({});
                return;
            }
            if (page->items.empty())
            {
                look_again(state, id, deadline, done);
                return;
            }
            done(told_by(id, *page));
        });
}

void look_for_state(const std::shared_ptr<entry_state>& state,
    const std::string& id,
    core::mono_time deadline,
    const state_callback& done)
{
    read_item(state,
        state_key(id),
        deadline,
        [state, id, deadline, done](const std::optional<item_read>& read)
        {
            if (!read)
            {
                done({});
                return;
            }
            if (!read->item)
            {
                look_for_job(state, id, deadline, done);
                return;
            }
            done(told_by(*state, id, read->item->value));
        });
}

} // namespace

void read_state(const std::shared_ptr<entry_state>& state,
    const std::string& id,
    core::mono_time deadline,
    state_callback done)
{
    const auto told = std::make_shared<bool>(false);
    const auto tell = [told, done = std::move(done)](const state_answer& it)
    {
        if (!std::exchange(*told, true))
        {
            done(it);
        }
    };
    state->at_deadline(deadline, [tell] { tell({}); });
    look_for_state(state, id, deadline, tell);
}

} // namespace camphorhitch::hosted
