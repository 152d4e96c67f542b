#include "refused_work_reporter.hpp"

#include "hosted/keys.hpp"
#include "refused_work.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace camphorhitch::hosted
{

struct refused_work_state : std::enable_shared_from_this<refused_work_state>
{
    context ctx;
    refused_work_settings settings;
    refused_work sums;
    bool changed = false;       ///< the sums differ from those that are certainly stored
    bool may_be_stored = false; ///< the key may exist
    bool withdrawn = false;
    bool in_flight = false;
    std::optional<core::mono_time> sent_at; ///< when the latest write was sent
    core::mono_time last_refusal_at;
    ports::timer_id timer = 0;

    std::optional<core::mono_time> next_write_at() const;
    void schedule();
    void write();
    void handle_answer(bool removal, const ports::commit_result& result);
};

/// \return when the next write is due; nothing while none is.
std::optional<core::mono_time> refused_work_state::next_write_at() const
{
    const auto earliest =
        sent_at ? std::max(*sent_at + settings.write_interval, ctx.time.now()) : ctx.time.now();
    if (withdrawn)
    {
        return may_be_stored ? std::optional{earliest} : std::nullopt;
    }
    if (changed)
    {
        return earliest;
    }
    return may_be_stored
               ? std::optional{std::max(earliest, last_refusal_at + settings.idle_removal)}
               : std::nullopt;
}

void refused_work_state::schedule()
{
    const auto at = next_write_at();
    if (in_flight || !at)
    {
        return;
    }
    ctx.time.cancel(timer);
    timer = ctx.time.after(std::chrono::ceil<core::millis>(*at - ctx.time.now()),
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
            {
                self->timer = 0;
                self->write();
            }
        });
}

void refused_work_state::write()
{
    const bool removal = withdrawn || !changed;
    ports::store_transaction t;
    if (removal)
    {
        t.removals = {refused_key(ctx.member)};
    }
    else
    {
        t.puts = {{refused_key(ctx.member), write_refused_work(sums), 0}};
        may_be_stored = true;
    }
    changed = false;
    in_flight = true;
    sent_at = ctx.time.now();
    ctx.store.commit(std::move(t),
        [weak = weak_from_this(), removal](const ports::commit_result& result)
        {
            if (const auto self = weak.lock())
            {
                self->handle_answer(removal, result);
            }
        });
}

void refused_work_state::handle_answer(bool removal, const ports::commit_result& result)
{
    in_flight = false;
    const bool ok = result.status == ports::kv_status::ok;
    if (removal)
    {
        may_be_stored = !ok;
    }
    else
    {
        changed = changed || !ok;
    }
    schedule();
}

refused_work_reporter::refused_work_reporter(context c, refused_work_settings s)
    : state_(std::make_shared<refused_work_state>())
{
    state_->ctx = std::move(c);
    state_->settings = s;
    // Unique among the starts of this member, unless the node's clock is set back by exactly the
    // time between two starts.
    state_->sums.start = std::max<std::int64_t>(core::to_unix_ms(state_->ctx.time.wall_now()), 0);
}

// The timer is not cancelled: a call that is in flight may keep the reporter alive until after the
// end of the scheduler, and the timer's callback does nothing once the state is destroyed.
refused_work_reporter::~refused_work_reporter() = default;

void refused_work_reporter::record(const std::string& pool, double core_seconds)
{
    state_->sums.pools[pool] += core_seconds;
    state_->last_refusal_at = state_->ctx.time.now();
    // A timer that is set runs at the earliest time of a write, or at that of the removal.
    if (!std::exchange(state_->changed, true))
    {
        state_->schedule();
    }
}

void refused_work_reporter::withdraw()
{
    if (!std::exchange(state_->withdrawn, true))
    {
        state_->sent_at.reset(); // the process may end before the usual interval has passed
        state_->schedule();
    }
}

} // namespace camphorhitch::hosted
