/// \file
/// Inside of leadership: what it knows of the store's keys, its lease and its bids.
#pragma once

#include "hosted/leadership.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace camphorhitch::hosted
{

/// Callbacks hold it by weak pointer: an answer may come after its end.
struct leadership_state : std::enable_shared_from_this<leadership_state>
{
    context ctx;
    leadership_settings settings;
    leadership_events events;
    std::unique_ptr<prefix_follower> follower;

    // What the store holds, as last seen.
    ports::revision leader_revision = 0;
    ports::revision term_revision = 0;
    std::int64_t term = -1;
    std::int64_t term_bid = 0; ///< of the latest bid
    std::string leader;        ///< its name

    ports::lease_id lease = 0;
    ports::revision token = 0;   ///< 0: not the leader
    core::mono_time valid_until; ///< by the boot clock
    core::mono_time best_until;  ///< of a bid: what valid_until becomes
    // How well the renewals keep up, for the log; by the boot clock.
    core::mono_time sent_at;         ///< latest bid or renewal
    core::mono_time answered_at;     ///< latest answer that renewed the lease
    core::mono_time due_at;          ///< of the timer that is set
    core::micros timer_late{0};      ///< of the timer that fired last
    core::micros oldest_at_renew{0}; ///< age of the lease at a renewal, since it was last asked
    bool bidding = false;
    bool resigned = false;
    double tried_share = 0;                 ///< of a core, by the trial before the latest bid
    core::mono_time slowed_until;           ///< this node handed the lead over
    bool looked = false;                    ///< all keys were read once
    ports::revision slowed_revision = 0;    ///< of the latest hand-over that was seen
    std::deque<core::mono_time> hand_overs; ///< when they were seen; by the boot clock
    ports::timer_id timer = 0;

    template <class Fn>
    auto guarded(Fn fn)
    {
        return [weak = weak_from_this(), fn](auto... args)
        {
            if (const auto self = weak.lock())
            {
                fn(*self, std::move(args)...);
            }
        };
    }

    void see(const ports::stored_change& it);
    void see_all(const std::vector<ports::stored_item>& items);
    void judge();
    void bid();
    void take_lease(const ports::kv_lease& got);
    void write_key();
    void take_key(const ports::commit_result& result);
    void bid_failed();
    void renew();
    void take_renewal(const ports::kv_lease& got, core::mono_time sent);
    void schedule(core::millis delay, void (leadership_state::*next)());
    bool let_go(const std::string& reason);
    void lose(const std::string& reason);
    void hand_over(const std::string& reason);
    int count_hand_overs();
    void judge_pace(const char* step, core::mono_time now);
    ports::log_fields pace_fields(core::mono_time now) const;
};

} // namespace camphorhitch::hosted
