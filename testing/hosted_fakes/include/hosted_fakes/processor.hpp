/// \file
/// The processor of one node: what the node sends and handles takes time, and the rest waits.
#pragma once

#include "daemon_fakes/virtual_time.hpp"
#include "hosted/context.hpp"

#include <deque>
#include <functional>
#include <set>

namespace camphorhitch::hosted_fakes
{

/// Whole cores' time of each piece of work. Profiled with some 350 hosts, a start costs 0.7 ms with
/// all that belongs to it, and a call to a runner and back 0.3 ms, half of it for the sending.
struct work_costs
{
    core::micros send{150};
    core::micros answer{150};
    core::micros timer{10}; ///< a wake-up and a small decision
};

/// Plays an event loop: each turn takes the timers that are due, then the calls to send, then the
/// answers that have come; what comes during a turn waits for the next one.
class processor
{
public:
    /// \param share of a core, above 0; may change at any time
    processor(daemon_fakes::virtual_time& time, daemon_fakes::process& p, double share);
    processor(const processor&) = delete;
    processor& operator=(const processor&) = delete;

    /// \return the ports as a node with this processor has them.
    hosted::context wrap(hosted::context c);

    /// Gets no time for so long, as under a quota or with its machine stopped.
    void stand_still(core::millis how_long);

    /// \return how long what comes now waits at least.
    core::micros delay() const;

    double share;
    work_costs costs;
    /// Time-outs are judged before the answers that lie unread: an own delay passes for silence.
    bool gives_up_unread = true;

private:
    struct work
    {
        core::micros cost{0};
        std::function<void()> fn;
    };
    using queue = std::deque<work>;

    void add(queue& to, core::micros cost, std::function<void()> fn);
    void turn();
    void begin_turn();
    ports::scheduler wrap(const ports::scheduler& real);
    ports::runners wrap(const ports::runners& real);
    ports::metadata_store wrap(const ports::metadata_store& real);
    template <class Answer>
    void call(std::function<void(std::function<void(Answer)>)> send,
        core::millis timeout,
        Answer silence,
        std::function<void(Answer)> done);

    daemon_fakes::virtual_time& time_;
    daemon_fakes::process& process_;
    queue timers_;
    queue sends_;
    queue answers_;
    queue now_; ///< of this turn
    std::set<ports::timer_id> live_;
    ports::timer_id last_timer_ = 0;
    core::mono_time free_at_;
    core::micros used_{0}; ///< as a clock of the process shows it
    bool awake_ = false;
};

} // namespace camphorhitch::hosted_fakes
