#include "loop_watch.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

namespace
{

/// Often enough to see a turn before the next renewal of the owner's lease (350 ms).
constexpr core::millis look_every{40};
/// A timer may fire so late on an idle host.
constexpr core::millis slack{10};

} // namespace

loop_watch::loop_watch(term& t, std::function<void(core::micros late_by)> look)
    : term_(t), tell_(std::move(look))
{
}

void loop_watch::start()
{
    due_ = term_.now() + look_every;
    term_.ctx.time.after(look_every, term_.guarded([this] { look(); }));
}

void loop_watch::look()
{
    const auto now = term_.now();
    const auto late_by = std::max(core::micros{0}, now - due_);
    if (late_by > slack)
    {
        late_at_ = now;
        late_by_ = late_by;
    }
    term_.ctx.tel.observe("camphorhitch_owner_loop_delay_seconds",
        {},
        std::chrono::duration<double>(late_by).count());
    tell_(late_by);
    start();
}

bool loop_watch::was_late_after(core::mono_time since, core::micros bound) const
{
    const bool overdue = term_.now() - due_ > bound; // it has not come to the look itself
    return overdue || (late_at_ > since && late_by_ > bound);
}

} // namespace camphorhitch::hosted
