/// \file
/// Senders, owners, targets and holders of claims whose messages are late, reordered and lost. Each
/// step is one choice; the rules that must hold are checked as the steps are made.
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

class random_world
{
public:
    random_world();

    /// Does what \p choice says.
    void step(std::uint32_t choice);

    /// Delivers all messages and lets time pass until every request has ended.
    void settle();

    /// What went wrong; empty: nothing.
    const std::vector<std::string>& broken() const;

    /// What happened, to show that the steps reach what they are meant to reach.
    struct counts
    {
        int answered = 0;
        int not_run = 0;
        int unknown = 0;
        int sends = 0;
        int handed_over = 0; ///< hosts found quiet while marked
        int take_overs = 0;
    };
    const counts& happened() const;

private:
    struct call
    {
        request_flow flow;
        std::size_t sender = 0;
        std::uint64_t process = 0; ///< of the sender, when it came
        bool keyed = false;
        bool gone = false;
        int answers = 0;
        int runs = 0;
        bool told_not_run = false;
    };
    struct run
    {
        std::size_t call = 0;
        std::string host;
        bool cut = false;
        core::mono_time ends; ///< at the latest
    };
    struct message
    {
        std::function<void()> deliver;
        std::function<void()> lose;
    };
    struct host_mark
    {
        bool marked = false;
        bool handed_over = false;
        core::mono_time since;
    };

    void require(bool holds, const std::string& text);
    void post(std::function<void()> deliver, std::function<void()> lose);
    void arrive(std::uint32_t arg);
    void pass_message(std::uint32_t arg, bool lost);
    void advance(core::millis by);
    void end_run(std::uint32_t arg);
    void end_run(std::size_t index, ports::call_end end, int status);
    void toggle_mark(std::uint32_t arg);
    void caller_goes(std::uint32_t arg);
    void kill_sender(std::uint32_t arg);
    void take_over();
    void ask_held(std::size_t sender, std::size_t owner);
    void look_for_quiet();
    void feed_owner(std::size_t owner, const permit_answers& answers);
    void act(std::size_t call, const flow_actions& actions);
    void perform(std::size_t call, const ask_permit& it);
    void perform(std::size_t call, const ask_claim& it);
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
    std::vector<std::size_t> follows_; ///< owner of the pool in each sender's eyes
    std::vector<std::uint64_t> processes_;
    std::vector<std::unique_ptr<call>> calls_;
    std::vector<run> runs_;
    std::vector<message> messages_;
    std::map<std::string, host_mark> marks_;
    std::map<ask_key, std::size_t> asks_;
    std::map<std::string, ports::claim_entry> keys_;
    std::vector<std::string> broken_;
    counts happened_;
};

} // namespace camphorhitch::dispatch::test
