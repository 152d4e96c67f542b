/// \file
/// Communicates with the runners: polls each of them, sends starts and stops, applies the answers.
#pragma once

#include "coordinator/order_window.hpp"
#include "coordinator/placement.hpp"
#include "coordinator/throttling.hpp"
#include "repeated_order.hpp"
#include "term.hpp"

#include <map>
#include <set>

namespace camphorhitch::hosted
{

class runner_controller
{
public:
    explicit runner_controller(term& t);

    /// Records by how much the event loop was late; the order window adapts to it.
    void record_loop_delay(core::micros late_by);

    /// Starts polling each host that needs polls and is not polled yet.
    void poll_all();

    /// Starts polling the pool's hosts, because a job of the pool has been accepted.
    void expect_work(const std::string& pool);

    /// \return how many orders may be planned now.
    int available_orders() const;

    /// Sends the plan's orders.
    void send(const coordinator::plan& p);

    /// Sends throttle orders for best-effort runs.
    void send_throttles(const std::vector<coordinator::throttle_action>& all);

    /// Sends stops for the runs that belong to no open job.
    void stop_orphaned_runs();

private:
    void begin_polling(const std::string& id, const coordinator::host_entry& h);
    void poll_other_incarnations(const std::string& host);
    void poll(const std::string& host);
    void record_acknowledgement(
        const std::string& host, const ports::poll_order& order, const ports::poll_answer& a);
    /// \return the delay after a poll that reported ends.
    core::millis poll_delay() const;
    void handle_poll_answer(
        const std::string& host, core::mono_time sent_at, const ports::poll_answer& a);
    void schedule_poll(const std::string& host, core::millis delay);
    bool delays_idle_polls() const;
    bool needs_polls(const coordinator::host_entry& h) const;
    void update_pools_with_jobs();
    /// Polls the host after the delay, or once work is ordered there.
    void delay_idle_poll(const std::string& host, core::millis delay);
    void poll_if_delayed(const std::string& host);
    /// \return whether the host's poll that was sent at that time is unanswered.
    bool is_open(const std::string& host, core::mono_time sent_at) const;
    void schedule_renewal(const std::string& host, core::mono_time sent_at, core::millis delay);
    void renew(const std::string& host, core::mono_time sent_at, core::mono_time due);
    /// \return \p send for this runner; `not_sent` once the incarnation is not known any more.
    order_sender sender_to(const ports::runner_ref& to,
        std::function<void(const ports::runner_ref&, std::function<void(ports::runner_answer)>)>
            send);
    void start(const coordinator::start_action& a);
    void stop(const coordinator::stop_action& a);
    void handle_start_answer(
        const coordinator::start_action& a, const ports::runner_answer& answer, bool all_answered);
    void handle_stop_answer(const coordinator::stop_action& a, const ports::runner_answer& answer);
    std::uint64_t record_sent();
    void record_answered(std::uint64_t order);
    /// \return the number of orders in flight whose answers are not overdue.
    std::int64_t orders_not_overdue() const;
    bool polls_again(const std::string& host, core::mono_time sent_at, ports::runner_verdict v);
    void request_advice(const coordinator::advice_request& a);
    void finish_answer(
        bool still_leads, const std::string& host, const coordinator::task_events& out);

    term& term_;
    coordinator::order_window_settings window_settings_;
    coordinator::order_window window_;
    bool plan_was_cut_ = false; ///< the latest plan left out orders that did not fit the window
    std::map<std::uint64_t, core::mono_time> in_flight_; ///< by order: when it was sent
    std::uint64_t last_order_ = 0;
    std::set<std::string> polled_again_; ///< hosts whose lack of an answer may be own delay
    std::map<std::string, core::mono_time> polls_in_flight_; ///< by host: when the poll was sent
    std::set<std::string> polling_;      ///< hosts with a poll in flight or a timer for the next
    std::set<std::string> delayed_idle_; ///< of polling_: idle hosts that wait for the timer
    /// Of polling_: hosts whose polling began with that of many others. Their next poll waits, and
    /// is followed, by a part of the usual times, so that the polls of idle hosts spread out.
    std::set<std::string> in_step_;
    std::set<std::string> pools_with_jobs_; ///< with open jobs; known while idle polls are delayed
    /// Of polling_: runners that may still carry out calls for an earlier incarnation, with the
    /// latest delay between their polls.
    std::map<std::string, core::millis> settling_delays_;
    std::set<std::string> orphan_stops_in_flight_; ///< "host/task/run"
};

} // namespace camphorhitch::hosted
