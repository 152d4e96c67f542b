#include "hosted/entry_desk.hpp"

#include "hosted/keys.hpp"
#include "workflow/records.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorhitch::hosted
{

using ports::kv_status;

struct entry_state : std::enable_shared_from_this<entry_state>
{
    context ctx;
    entry_settings settings;
    std::map<std::string, int> pending;
    core::mono_time pending_at;
    bool pending_known = false;

    /// \return whether a further try can still be answered in time.
    bool has_time(core::mono_time deadline) const
    {
        return ctx.time.now() + settings.retry_pause + settings.reply_margin < deadline;
    }

    /// Runs \p fn when the caller's answer is due, whatever call is still out.
    void at_deadline(core::mono_time deadline, std::function<void()> fn)
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

    void again(std::function<void()> fn)
    {
        ctx.time.after(settings.retry_pause,
            [weak = weak_from_this(), fn = std::move(fn)]
            {
                if (weak.lock() != nullptr)
                {
                    fn();
                }
            });
    }

    void log(const char* event, const std::string& id, ports::log_fields more)
    {
        more.insert(more.begin(), {"id", id});
        ctx.tel.log(ports::log_level::info, event, std::move(more));
    }
};

namespace
{

/// One write that is repeated until its effect is certain, or the caller's time is up.
struct pending_write
{
    std::string id;
    ports::store_transaction change;
    core::mono_time deadline;
    bool may_have_effect = false; ///< some try was not answered
    bool in_flight = false;
    bool told = false; ///< the caller has its answer
    int refusals = 0;
    /// \p certain false: it may still take effect.
    std::function<void(kv_status how, bool certain)> done;
};

bool is_refusal(kv_status s)
{
    return s == kv_status::unavailable || s == kv_status::rejected;
}

/// The change is idempotent (its keys are created once), so repeating it after a lost answer tells
/// which of the tries took effect: the repeat meets its conflict.
void try_write(const std::shared_ptr<entry_state>& state, const std::shared_ptr<pending_write>& w)
{
    w->in_flight = true;
    state->ctx.store.commit(w->change,
        [state, w](const ports::commit_result& result)
        {
            w->in_flight = false;
            if (w->told)
            {
                return;
            }
            if (result.status == kv_status::ok || result.status == kv_status::conflict)
            {
                w->told = true;
                w->done(result.status, true);
                return;
            }
            w->may_have_effect = w->may_have_effect || result.status == kv_status::unknown;
            w->refusals += is_refusal(result.status) ? 1 : 0;
            const bool give_up =
                !w->may_have_effect && w->refusals >= state->settings.most_refusals;
            if (give_up || !state->has_time(w->deadline))
            {
                w->told = true;
                w->done(result.status, !w->may_have_effect);
                return;
            }
            state->again(
                [state, w]
                {
                    if (!w->told)
                    {
                        try_write(state, w);
                    }
                });
        });
}

/// A call may hang for longer than the caller waits; then the answer is that nothing is certain.
void begin_write(const std::shared_ptr<entry_state>& state, const std::shared_ptr<pending_write>& w)
{
    state->at_deadline(w->deadline,
        [w]
        {
            if (!w->told)
            {
                w->told = true;
                w->done(kv_status::unknown, !w->may_have_effect && !w->in_flight);
            }
        });
    try_write(state, w);
}

void try_get_state(const std::shared_ptr<entry_state>& state,
    const std::string& id,
    core::mono_time deadline,
    std::function<void(state_answer)> done);

/// Neither progress nor job: it does not exist, or it ended between the two readings, which removed
/// the job and stored its state in one write. Only the state tells, read once more.
void look_again(const std::shared_ptr<entry_state>& state,
    const std::string& id,
    core::mono_time deadline,
    std::function<void(state_answer)> done)
{
    state->ctx.store.get(state_key(id),
        ports::read_freshness::newest,
        [state, id, deadline, done = std::move(done)](const ports::item_read& read)
        {
            if (read.status != kv_status::ok)
            {
                if (!state->has_time(deadline))
                {
                    done({});
                    return;
                }
                state->again([=] { look_again(state, id, deadline, done); });
                return;
            }
            state_answer out{true, false, workflow::job_state::queued};
            if (read.item)
            {
                const auto found = workflow::read_progress_state(read.item->value);
                out.known = core::is_ok(found);
                out.exists = true;
                out.state = out.known ? core::value(found) : out.state;
            }
            done(out);
        });
}

/// No progress is stored: the job waits, was cancelled just now, or does not exist.
void look_for_job(const std::shared_ptr<entry_state>& state,
    const std::string& id,
    core::mono_time deadline,
    std::function<void(state_answer)> done)
{
    state->ctx.store.range(job_key(id),
        {},
        [state, id, deadline, done = std::move(done)](const ports::page_read& page)
        {
            if (page.status != kv_status::ok)
            {
                if (!state->has_time(deadline))
                {
                    done({});
                    return;
                }
                state->again([=] { look_for_job(state, id, deadline, done); });
                return;
            }
            if (page.items.empty())
            {
                look_again(state, id, deadline, done);
                return;
            }
            state_answer out{true, false, workflow::job_state::queued};
            for (const auto& it : page.items)
            {
                out.exists = out.exists || it.key == job_key(id);
                if (it.key == cancel_key(id))
                {
                    out.state = workflow::job_state::cancelled;
                }
            }
            done(out);
        });
}

void try_get_state(const std::shared_ptr<entry_state>& state,
    const std::string& id,
    core::mono_time deadline,
    std::function<void(state_answer)> done)
{
    state->ctx.store.get(state_key(id),
        ports::read_freshness::newest,
        [state, id, deadline, done = std::move(done)](const ports::item_read& read)
        {
            if (read.status == kv_status::ok && read.item)
            {
                const auto found = workflow::read_progress_state(read.item->value);
                if (core::is_ok(found))
                {
                    done({true, true, core::value(found)});
                    return;
                }
                state->log("record_damaged", id, {{"reason", core::failure(found).message}});
                done({});
                return;
            }
            if (read.status == kv_status::ok)
            {
                look_for_job(state, id, deadline, done);
                return;
            }
            if (!state->has_time(deadline))
            {
                done({});
                return;
            }
            state->again([=] { try_get_state(state, id, deadline, done); });
        });
}

/// Reads a job's state; the answer comes by the deadline, also when a call hangs.
void read_state(const std::shared_ptr<entry_state>& state,
    const std::string& id,
    core::mono_time deadline,
    std::function<void(state_answer)> done)
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
    try_get_state(state, id, deadline, tell);
}

const char* store_answer(kv_status s)
{
    switch (s)
    {
    case kv_status::ok:
        return "ok";
    case kv_status::conflict:
        return "exists";
    case kv_status::unavailable:
        return "unreachable";
    case kv_status::unknown:
        return "unknown";
    case kv_status::rejected:
        return "rejected";
    }
    return "?";
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
    auto& it = *state_;
    if (it.pending_known && it.ctx.time.now() - it.pending_at < it.settings.pending_age)
    {
        const auto found = it.pending.find(queue);
        done({true, found == it.pending.end() ? 0 : found->second});
        return;
    }
    it.ctx.store.get(pending_key,
        ports::read_freshness::newest,
        [this_desk = this, weak = std::weak_ptr(state_), queue, deadline, done = std::move(done)](
            const ports::item_read& read)
        {
            const auto state = weak.lock();
            if (state == nullptr)
            {
                return;
            }
            if (read.status != kv_status::ok)
            {
                if (!state->has_time(deadline))
                {
                    done({});
                    return;
                }
                state->again([=] { this_desk->count_pending(queue, deadline, done); });
                return;
            }
            state->pending =
                read.item ? read_pending(read.item->value) : std::map<std::string, int>{};
            state->pending_at = state->ctx.time.now();
            state->pending_known = true;
            const auto found = state->pending.find(queue);
            done({true, found == state->pending.end() ? 0 : found->second});
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
            out[name] = n.is_number_integer() ? n.get<int>() : 0;
        }
    }
    return out;
}

} // namespace camphorhitch::hosted
