/// \file
/// Talks to the runners: polls each of them, sends starts and stops, takes the answers in.
#pragma once

#include "coordinator/order_window.hpp"
#include "coordinator/placement.hpp"
#include "coordinator/throttling.hpp"
#include "term.hpp"

#include <map>
#include <set>

namespace camphorhitch::hosted
{

class runner_desk
{
public:
    explicit runner_desk(term& t);

    /// Takes in by how much the loop was late.
    void see_delay(core::micros late_by);

    /// Polls each host that has to be polled and is not.
    void poll_all();

    /// A job of the pool has come: its hosts are polled, if they were not.
    void expect_work(const std::string& pool);

    /// \return the orders that may be planned now.
    int room() const;

    /// Sends the plan's orders.
    void send(const coordinator::plan& p);

    void send_paces(const std::vector<coordinator::throttle_action>& all);

    /// Stops runs that belong to no open job.
    void stop_strays();

private:
    void poll(const std::string& host);
    /// \return the pause after a poll that brought ends.
    core::millis poll_gap() const;
    void take_poll(const std::string& host, core::mono_time begun, const ports::poll_answer& a);
    void poll_later(const std::string& host, core::millis delay);
    bool idle_hosts_rest() const;
    bool needs_polls(const coordinator::host_entry& h) const;
    void see_jobs();
    void rest(const std::string& host, core::millis gap);
    void wake_up(const std::string& host);
    /// \return whether the poll that was sent then is the host's, and unanswered.
    bool is_open(const std::string& host, core::mono_time begun) const;
    void renew_later(const std::string& host, core::mono_time begun, core::millis delay);
    void renew(const std::string& host, core::mono_time begun, core::mono_time due);
    void start(const coordinator::start_action& a);
    void stop(const coordinator::stop_action& a);
    void take_start(const coordinator::start_action& a, const ports::runner_answer& answer);
    void take_stop(const coordinator::stop_action& a, const ports::runner_answer& answer);
    std::uint64_t note_sent();
    void note_back(std::uint64_t order);
    /// \return orders that are out and may still be answered soon.
    std::int64_t orders_awaited() const;
    bool asks_again(const std::string& host, core::mono_time begun, ports::runner_verdict v);
    void ask(const coordinator::advice_request& a);
    void take(bool still_owner, const std::string& host, const coordinator::task_events& out);

    term& term_;
    coordinator::order_window_settings window_settings_;
    coordinator::order_window window_;
    bool more_waits_ = false;                      ///< the latest plan was cut
    std::map<std::uint64_t, core::mono_time> out_; ///< when unanswered orders were sent
    std::uint64_t last_order_ = 0;
    std::set<std::string> asked_again_; ///< hosts whose silence may be this node's own delay
    std::map<std::string, core::mono_time> polls_out_; ///< when each poll under way was sent
    std::set<std::string> polling_;         ///< a poll is out, or a timer for the next one runs
    std::set<std::string> resting_;         ///< of these: no poll is out, nothing runs there
    std::set<std::string> pools_with_jobs_; ///< with open ones; known while idle hosts rest
    std::set<std::string> strays_out_;
};

} // namespace camphorhitch::hosted
