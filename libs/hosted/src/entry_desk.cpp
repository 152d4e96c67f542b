#include "hosted/entry_desk.hpp"

#include "entry_state.hpp"
#include "hosted/keys.hpp"
#include "store_answer.hpp"
#include "workflow/records.hpp"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorhitch::hosted
{

using ports::kv_status;

namespace
{

void note_count(
    const entry_state& state, const std::string& queue, const char* outcome, ports::log_fields more)
{
    state.ctx.tel.count("camphorhitch_pending_answers_total", {{"outcome", outcome}}, 1);
    more.insert(more.begin(), {{"queue", queue}, {"outcome", outcome}});
    state.ctx.tel.log(ports::log_level::info, "pending_told", std::move(more));
}

/// \return the own copy's count. The line tells what it rests on: joined with the lines of the
/// record's writer, it shows how old a wrong count was.
pending_answer tell_copy(const entry_state& state, const std::string& queue)
{
    const auto& copy = *state.pending;
    const auto found = copy.by_queue.find(queue);
    const auto n = found == copy.by_queue.end() ? 0 : found->second;
    const auto age = std::chrono::duration_cast<core::millis>(state.ctx.time.now() - copy.read_at);
    note_count(state,
        queue,
        "told",
        {{"jobs", std::to_string(n)},
            {"record_revision", std::to_string(copy.record)},
            {"store_revision", std::to_string(copy.store)},
            {"cached_ms", std::to_string(age.count())}});
    return {true, n};
}

pending_copy copy_of(const ports::item_read& read, core::mono_time now)
{
    pending_copy out;
    if (read.item)
    {
        out.by_queue = read_pending(read.item->value);
        out.record = read.item->modified;
    }
    out.store = read.store_revision;
    out.read_at = now;
    return out;
}

} // namespace

entry_desk::entry_desk(context c, entry_settings s) : state_(std::make_shared<entry_state>())
{
    state_->ctx = std::move(c);
    state_->settings = s;
}

entry_desk::~entry_desk() = default;

void entry_desk::submit(
    const workflow::job& spec, core::mono_time deadline, std::function<void(submit_outcome)> done)
{
    auto w = std::make_shared<pending_write>();
    w->id = spec.id;
    w->deadline = deadline;
    // A job that has ended leaves its state behind, so a repeat does not make it a new one.
    w->change.conditions = {{job_key(spec.id), 0}, {state_key(spec.id), 0}};
    w->change.puts = {{job_key(spec.id), workflow::write_job(spec), 0}};
    w->done = [state = state_, id = spec.id, queue = spec.queue, done = std::move(done)](
                  kv_status how, bool certain)
    {
        auto outcome = certain ? submit_outcome::not_accepted : submit_outcome::unknown;
        if (how == kv_status::ok || how == kv_status::conflict)
        {
            outcome = submit_outcome::accepted; // a conflict: it was stored before
        }
        const char* const text = outcome == submit_outcome::accepted       ? "accepted"
                                 : outcome == submit_outcome::not_accepted ? "not_accepted"
                                                                           : "unknown";
        state->log(
            "submit", id, {{"queue", queue}, {"store", store_answer(how)}, {"outcome", text}});
        done(outcome);
    };
    begin_write(state_, w);
}

void entry_desk::cancel(
    const std::string& id, core::mono_time deadline, std::function<void(cancel_outcome)> done)
{
    const auto found = [state = state_, id, deadline, done = std::move(done)](state_answer it)
    {
        if (!it.known || !it.exists)
        {
            state->log("cancel", id, {{"outcome", it.known ? "no_such_job" : "not_cancelled"}});
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
        w->done = [state, id, done](kv_status how, bool certain)
        {
            const bool ok = how == kv_status::ok || how == kv_status::conflict;
            state->log("cancel",
                id,
                {{"store", store_answer(how)},
                    {"outcome",
                        ok        ? "cancelled"
                        : certain ? "not_cancelled"
                                  : "unknown"}});
            done(ok        ? cancel_outcome::cancelled
                 : certain ? cancel_outcome::not_cancelled
                           : cancel_outcome::unknown);
        };
        begin_write(state, w);
    };
    read_state(state_, id, deadline, found);
}

void entry_desk::tell_state(
    const std::string& id, core::mono_time deadline, std::function<void(state_answer)> done)
{
    read_state(state_, id, deadline, std::move(done));
}

void entry_desk::count_pending(
    const std::string& queue, core::mono_time deadline, std::function<void(pending_answer)> done)
{
    const auto& it = *state_;
    if (it.pending && it.ctx.time.now() - it.pending->read_at < it.settings.pending_age)
    {
        done(tell_copy(it, queue));
        return;
    }
    read_until<ports::item_read>(
        state_,
        deadline,
        [state = state_](std::function<void(ports::item_read)> got)
        { state->ctx.store.get(pending_key, ports::read_freshness::newest, std::move(got)); },
        [state = state_, queue, done = std::move(done)](const std::optional<ports::item_read>& read)
        {
            if (!read)
            {
                note_count(*state, queue, "unknown", {});
                done({});
                return;
            }
            state->pending = copy_of(*read, state->ctx.time.now());
            done(tell_copy(*state, queue));
        });
}

std::string write_pending(const std::map<std::string, int>& by_queue)
{
    return nlohmann::json(by_queue).dump();
}

std::map<std::string, int> read_pending(const std::string& text)
{
    const auto from = nlohmann::json::parse(text, nullptr, false);
    std::map<std::string, int> out;
    if (from.is_object())
    {
        for (const auto& [name, n] : from.items())
        {
            const bool fits =
                n.is_number_unsigned() && n.get<std::uint64_t>() <= std::numeric_limits<int>::max();
            out[name] = fits ? n.get<int>() : 0;
        }
    }
    return out;
}

} // namespace camphorhitch::hosted
