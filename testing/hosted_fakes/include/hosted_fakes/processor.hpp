/// \file
/// Simulated processor of one node: sending calls and handling answers takes time, and other work
/// waits meanwhile.
#pragma once

#include "daemon_fakes/virtual_time.hpp"
#include "hosted/context.hpp"

#include <deque>
#include <functional>
#include <set>

namespace camphorhitch::hosted_fakes
{

/// Processor time of each unit of work on a whole core. Profiled with some 350 hosts, a start costs
/// 0.7 ms in total, and a call to a runner with its answer 0.3 ms, half of it for sending.
struct work_costs
{
    core::micros send{150};
    core::micros answer{150};
    core::micros timer{10}; ///< a wake-up and a small decision
};

/// Simulates an event loop: each iteration runs the timers that are due, then sends calls, then
/// handles the answers that have arrived; events during an iteration wait for the next one.
class processor
{
public:
    /// \param share of a core, above 0; may change at any time
    processor(daemon_fakes::virtual_time& time, daemon_fakes::process& p, double share);
    processor(const processor&) = delete;
    processor& operator=(const processor&) = delete;

    /// \return the context with ports whose calls, answers and timers take time on this processor.
    hosted::context wrap(hosted::context c);

    /// Gives the node no processor time for a duration, as under a quota or with a stopped machine.
    void stall_for(core::millis how_long);

    /// \return the least time that an event arriving now has to wait.
    core::micros delay() const;

    double share;
    work_costs costs;
    /// Timeouts fire before unread answers are read, so the node's own delay looks like a call
    /// without an answer.
    bool times_out_unread_answers = true;

private:
    struct work
    {
        core::micros cost{0};
        std::function<void()> fn;
    };
    using queue = std::deque<work>;

    void add(queue& to, core::micros cost, std::function<void()> fn);
    void run_iteration();
    void begin_iteration();
    ports::scheduler wrap(const ports::scheduler& real);
    ports::runners wrap(const ports::runners& real);
    ports::metadata_store wrap(const ports::metadata_store& real);
    template <class Answer>
    void call(std::function<void(std::function<void(Answer)>)> send,
        core::millis timeout,
        Answer unanswered,
        std::function<void(Answer)> done);

    daemon_fakes::virtual_time& time_;
    daemon_fakes::process& process_;
    queue timers_;
    queue sends_;
    queue answers_;
    queue current_; ///< work of the present iteration
    std::set<ports::timer_id> live_;
    ports::timer_id last_timer_ = 0;
    core::mono_time free_at_;
    core::micros used_{0}; ///< processor time used, as the process's clock shows it
    bool is_scheduled_ = false;
};

} // namespace camphorhitch::hosted_fakes
