/// \file
/// Simulation of senders, owners, targets and holders of claims, whose messages are delayed,
/// reordered and lost. A random number chooses each step; the rules are checked after each step.
#pragma once

#include "dispatch/request_flow.hpp"
#include "dispatch/take_over.hpp"
#include "fixture.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::dispatch::test
{

/// Simulates one pool and checks the rules of dispatch.
class random_simulation
{
public:
    random_simulation();

    /// Carries out the step that \p choice selects.
    void step(std::uint32_t choice);

    /// Delivers all messages and lets time pass until every request has ended.
    void settle();

    /// \return the rules that were violated, and at which step.
    const std::vector<std::string>& violations() const;

    /// Event counts, which show that the random steps cover the cases that they are meant to cover.
    struct counts
    {
        int answered = 0;
        int not_run = 0;
        int unknown = 0;
        int sends = 0;
        int handed_over = 0; ///< hosts handed over after they were drained
        int take_overs = 0;
    };
    const counts& event_counts() const;

private:
    /// A caller's request.
    struct call
    {
        request_flow flow;
        std::size_t sender = 0;
        std::uint64_t process = 0; ///< number of the sender's process when the request arrived
        bool keyed = false;        ///< has an idempotency key
        bool caller_gone = false;  ///< the caller has disconnected
        int answers = 0;           ///< number of answers to the caller
        int runs = 0;              ///< number of sends that may have run
        bool answered_not_run = false;
    };
    /// A request that a target is running.
    struct run
    {
        std::size_t call = 0;
        std::string host;
        bool disconnected = false; ///< its connection is lost
        core::mono_time ends;      ///< latest time of its end
    };
    /// A message in transit.
    struct message
    {
        std::function<void()> deliver;
        std::function<void()> lose;
    };
    /// Drain state of a host.
    struct drain_mark
    {
        bool draining = false;
        bool handed_over = false; ///< found idle while draining
        core::mono_time since;    ///< time of the last change of \p draining
    };

    void require(bool holds, const std::string& text);
    void post(std::function<void()> deliver, std::function<void()> lose);
    void start_call(std::uint32_t arg);
    void pass_message(std::uint32_t arg, bool lost);
    void advance(core::millis by);
    void end_run(std::uint32_t arg);
    void end_run(std::size_t index, ports::call_end end, int status);
    void toggle_drain(std::uint32_t arg);
    void disconnect_caller(std::uint32_t arg);
    void kill_sender(std::uint32_t arg);
    void take_over();
    void query_held_permits(std::size_t sender, std::size_t owner);
    void hand_over_idle_hosts();
    void deliver_answers(std::size_t owner, const permit_answers& answers);
    void perform_all(std::size_t call, const flow_actions& actions);
    void perform(std::size_t call, const request_permit& it);
    void perform(std::size_t call, const request_claim& it);
    void perform(std::size_t call, const send_request& it);
    void perform(std::size_t call, const cancel_send& it);
    void perform(std::size_t call, const return_permit& it);
    void perform(std::size_t call, const finish_claim& it);
    void perform(std::size_t call, const answer_caller& it);
    ports::claim_reply claim(const ports::claim_request& it);
    bool is_alive(std::size_t call) const;
    bool key_ran(const std::string& key) const;
    request_sender& sender_of(std::size_t call);

    core::mono_time now_ = at(0);
    std::uint64_t choices_ = 0;
    model::pool_document document_;
    std::vector<std::unique_ptr<pool_dispatcher>> owners_;
    std::vector<request_sender> senders_;
    std::vector<std::size_t> known_owner_; ///< index of the owner that each sender sends to
    std::vector<std::uint64_t> processes_;
    std::vector<std::unique_ptr<call>> calls_;
    std::vector<run> runs_;
    std::vector<message> messages_;
    std::map<std::string, drain_mark> marks_;
    std::map<permit_request_key, std::size_t> permit_requests_;
    std::map<std::string, ports::claim_entry> keys_;
    std::vector<std::string> violations_;
    counts event_counts_;
};

} // namespace camphorhitch::dispatch::test
