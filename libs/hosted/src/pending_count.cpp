#include "pending_count.hpp"

#include "entry_state.hpp"
#include "hosted/keys.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

/// One caller's question.
struct pending_ask
{
    std::string queue;
    core::mono_time deadline;
    std::function<void(pending_answer)> done;
    const char* why = "record_unread"; ///< what keeps it from being known
    ports::revision target = 0;        ///< the store's revision when the record was read for it
    bool told = false;
};

namespace
{

using ports::kv_status;

/// The age that the interface of callers allows a count.
constexpr core::millis most_age{2000};

/// Jobs accepted beyond the record that are kept at once: what 1,000 a second come to in the 20 s
/// that the store's history reaches back. Beyond it the count is not known.
constexpr std::size_t most_added = 20000;

/// Pauses after readings of the history that got no answer. Its pages have up to 1 MB: a slow node
/// that asks again at once fails again, and 40 of them keep the store busy with pages that nobody
/// takes in: 788 readings in vain in one run.
constexpr core::millis first_pause{250};
constexpr core::millis longest_pause{4000};

using state_ref = std::shared_ptr<entry_state>;
using ask_ref = std::shared_ptr<pending_ask>;

std::string ms_text(core::micros t)
{
    return std::to_string(std::chrono::duration_cast<core::millis>(t).count());
}

void note_answer(
    const entry_state& state, const pending_ask& ask, const char* how, ports::log_fields fields)
{
    state.ctx.tel.count("camphorhitch_pending_answers_total", {{"how", how}}, 1);
    fields.insert(fields.begin(), {"queue", ask.queue});
    state.ctx.tel.log(ports::log_level::info, "pending_told", std::move(fields));
}

void refuse(const entry_state& state, pending_ask& ask)
{
    if (!std::exchange(ask.told, true))
    {
        note_answer(state, ask, "unknown", {{"outcome", "unknown"}, {"why", ask.why}});
        ask.done({});
    }
}

void refuse(const entry_state& state, pending_ask& ask, const char* why)
{
    ask.why = why;
    refuse(state, ask);
}

/// \return how long ago each job within \p through, and no other, was certainly accepted; nothing
/// when that is longer than callers accept.
std::optional<core::micros> age_of(const entry_state& state, ports::revision through)
{
    const auto covered = state.pending.revisions->covered_until(through);
    if (!covered)
    {
        return {};
    }
    const auto age = state.ctx.boot_now() - *covered;
    return age <= most_age ? std::optional<core::micros>{age} : std::nullopt;
}

void tell(const entry_state& state, pending_ask& ask, bool extended, core::micros age)
{
    const auto& view = state.pending;
    const int added = extended ? view.tally.added(ask.queue) : 0;
    const int jobs = view.tally.in_record(ask.queue) + added;
    const auto through = extended ? view.tally.through() : view.tally.base_through();
    ask.told = true;
    const char* const how = extended ? "extended" : "record";
    note_answer(state,
        ask,
        how,
        {{"outcome", "told"},
            {"how", how},
            {"jobs", std::to_string(jobs)},
            {"added", std::to_string(added)},
            {"as_of_ms", ms_text(age)},
            {"through", std::to_string(through)},
            {"record_revision", std::to_string(view.record)},
            {"store_revision", std::to_string(view.store)},
            {"cached_ms", ms_text(state.ctx.boot_now() - *view.read_at)}});
    ask.done({true, jobs});
}

/// \return whether what is at hand was new enough, and the caller has it.
bool tell_if_new(const entry_state& state, pending_ask& ask)
{
    const auto& tally = state.pending.tally;
    if (const auto age = age_of(state, tally.base_through()))
    {
        tell(state, ask, false, *age);
        return true;
    }
    if (const auto age = age_of(state, tally.through()))
    {
        tell(state, ask, true, *age);
        return true;
    }
    return false;
}

/// \return why the count is not known; nullptr when the record is in.
const char* take_record(entry_state& state, const ports::item_read& read)
{
    auto& view = state.pending;
    view.read_at = state.ctx.boot_now();
    view.store = read.store_revision;
    if (!read.item)
    {
        return "record_missing";
    }
    if (read.item->modified <= view.record)
    {
        return nullptr; // it is known, or an answer that came late
    }
    auto record = read_pending(read.item->value);
    if (!core::is_ok(record))
    {
        state.ctx.tel.log(ports::log_level::error,
            "record_damaged",
            {{"key", pending_key},
                {"revision", std::to_string(read.item->modified)},
                {"reason", core::failure(record).message}});
        return "record_damaged";
    }
    view.record = read.item->modified;
    view.tally.set_base(std::move(core::value(record)));
    return nullptr;
}

void read_record(const state_ref& state, const ask_ref& ask);

void try_again(const state_ref& state,
    const ask_ref& ask,
    void (*next)(const state_ref& state, const ask_ref& ask))
{
    if (!state->has_time(ask->deadline))
    {
        refuse(*state, *ask);
        return;
    }
    state->again(
        [state, ask, next]
        {
            if (!ask->told)
            {
                next(state, ask);
            }
        });
}

void want_history(const state_ref& state, const ask_ref& ask);

/// Answers what can be answered now; the others go on waiting.
void serve(const state_ref& state, const ask_ref& ask)
{
    const auto& view = state->pending;
    if (ask->told || tell_if_new(*state, *ask))
    {
        return;
    }
    if (view.tally.through() >= ask->target)
    {
        ask->why = "store_slow"; // all calls took longer than a count may be old
        try_again(state, ask, &read_record);
        return;
    }
    want_history(state, ask);
}

void take_failure(entry_state& state)
{
    auto& view = state.pending;
    constexpr int most_doublings = 4;
    const auto pause = first_pause * (1 << std::min(view.failed_readings, most_doublings));
    view.next_reading = state.ctx.boot_now() + std::min(pause, longest_pause);
    ++view.failed_readings;
}

void take_history(const state_ref& state, ports::revision after, const ports::changes_read& read)
{
    auto& view = state->pending;
    view.reads_history = false;
    const auto asks = std::exchange(view.asks, {});
    const char* lost = read.change_log_truncated ? "history_lost" : nullptr;
    if (lost == nullptr && read.status != kv_status::ok)
    {
        take_failure(*state);
    }
    else if (lost == nullptr)
    {
        view.failed_readings = 0;
        // Without progress not at once: each reading costs the store the same again.
        const bool moved = read.store_revision > after;
        view.next_reading = state->ctx.boot_now() + (moved ? core::millis{0} : first_pause);
        if (view.tally.through() >= after) // else the tally was begun anew meanwhile
        {
            view.tally.add_changes(read.changes, read.store_revision);
            view.read_at = state->ctx.boot_now();
        }
        if (view.tally.size() > most_added)
        {
            view.tally = {};
            view.record = 0;
            view.next_reading = state->ctx.boot_now() + longest_pause; // it would end so again
            lost = "too_many_jobs";
        }
    }
    for (const auto& it : asks)
    {
        if (lost != nullptr)
        {
            refuse(*state, *it, lost);
        }
        else
        {
            serve(state, it);
        }
    }
}

void read_history(const state_ref& state)
{
    auto& view = state->pending;
    std::erase_if(view.asks, [](const ask_ref& it) { return it->told; });
    if (view.asks.empty())
    {
        view.reads_history = false;
        return;
    }
    const auto after = view.tally.through();
    state->ctx.store.watch(job_prefix,
        after,
        core::millis{0},
        [state, after](const ports::changes_read& read) { take_history(state, after, read); });
}

/// While nobody coordinates nothing starts, so the record and what was accepted since are exact.
/// With a coordinating node that lags they are too high by what it started meanwhile. One reading
/// at a time serves all who ask.
void want_history(const state_ref& state, const ask_ref& ask)
{
    auto& view = state->pending;
    ask->why = "history_unread";
    view.asks.push_back(ask);
    if (std::exchange(view.reads_history, true))
    {
        return;
    }
    const auto pause = std::chrono::ceil<core::millis>(view.next_reading - state->ctx.boot_now());
    if (pause <= core::millis{0})
    {
        read_history(state);
        return;
    }
    state->ctx.time.after(pause,
        [weak = std::weak_ptr{state}]
        {
            if (const auto self = weak.lock())
            {
                read_history(self);
            }
        });
}

void read_record(const state_ref& state, const ask_ref& ask)
{
    ask->why = "record_unread";
    state->ctx.store.get(pending_key,
        ports::read_freshness::newest,
        [state, ask](const ports::item_read& read)
        {
            if (ask->told)
            {
                return;
            }
            if (read.status != kv_status::ok)
            {
                try_again(state, ask, &read_record);
                return;
            }
            if (const char* const why = take_record(*state, read))
            {
                refuse(*state, *ask, why);
                return;
            }
            ask->target = read.store_revision;
            serve(state, ask);
        });
}

} // namespace

void count_pending(const std::shared_ptr<entry_state>& state,
    const std::string& queue,
    core::mono_time deadline,
    std::function<void(pending_answer)> done)
{
    const auto ask = std::make_shared<pending_ask>();
    ask->queue = queue;
    ask->deadline = deadline;
    ask->done = std::move(done);
    const auto& read_at = state->pending.read_at;
    const bool at_hand = read_at && state->ctx.boot_now() - *read_at < state->settings.pending_age;
    if (at_hand && tell_if_new(*state, *ask))
    {
        return;
    }
    state->at_deadline(deadline, [state = state.get(), ask] { refuse(*state, *ask); });
    read_record(state, ask);
}

} // namespace camphorhitch::hosted
