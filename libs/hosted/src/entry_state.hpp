/// \file
/// What the parts of the entry desk share: the ports, and how calls are repeated until the caller's
/// time is up.
#pragma once

#include "hosted/entry_desk.hpp"
#include "pending_count.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace camphorhitch::hosted
{

struct entry_state : std::enable_shared_from_this<entry_state>
{
    context ctx;
    entry_settings settings;
    pending_view pending;

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

    void log(const char* event, const std::string& id, ports::log_fields more) const
    {
        more.insert(more.begin(), {"id", id});
        ctx.tel.log(ports::log_level::info, event, std::move(more));
    }
};

/// Repeats a reading until the store answers it or the caller's time is up.
/// \param call sends it once
/// \param done gets the answer; nothing when there was none in time
template <class Read>
void read_until(const std::shared_ptr<entry_state>& state,
    core::mono_time deadline,
    const std::function<void(std::function<void(Read)>)>& call,
    const std::function<void(std::optional<Read>)>& done)
{
    call(
        [state, deadline, call, done](const Read& read)
        {
            if (read.status == ports::kv_status::ok)
            {
                done(read);
                return;
            }
            if (!state->has_time(deadline))
            {
                done(std::nullopt);
                return;
            }
            state->again([=] { read_until<Read>(state, deadline, call, done); });
        });
}

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
    std::function<void(ports::kv_status how, bool certain)> done;
};

/// Begins a write; a call may hang for longer than the caller waits, then the answer is that
/// nothing is certain.
void begin_write(
    const std::shared_ptr<entry_state>& state, const std::shared_ptr<pending_write>& w);

/// Reads a job's state; the answer comes by the deadline, also when a call hangs.
void read_state(const std::shared_ptr<entry_state>& state,
    const std::string& id,
    core::mono_time deadline,
    std::function<void(state_answer)> done);

} // namespace camphorhitch::hosted
