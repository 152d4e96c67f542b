/// \file
/// Internal state of leadership: the store's keys, the lease and the bids of this node.
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

/// Callbacks hold the state by weak pointer, because an answer may arrive after it is destroyed.
struct leadership_state : std::enable_shared_from_this<leadership_state>
{
    context ctx;
    leadership_settings settings;
    leadership_events events;
    std::unique_ptr<prefix_follower> follower;

    // Contents of the store as last read.
    ports::revision leader_revision = 0;
    ports::revision term_revision = 0;
    std::int64_t term = -1;
    std::int64_t bid_term = 0; ///< term number in the latest bid
    std::string leader;        ///< name of the coordinator

    ports::lease_id lease = 0;
    ports::revision token = 0; ///< fencing token; 0 while this node is not the coordinator
    /// End of the time in which this node may give orders; by the boot clock.
    core::mono_time lease_valid_until;
    core::mono_time bid_valid_until; ///< lease_valid_until in case the open bid succeeds
    // How well the renewals keep up, for the log; by the boot clock.
    core::mono_time last_sent_at;    ///< time of the latest bid or renewal
    core::mono_time last_renewed_at; ///< time of the latest answer that renewed the lease
    core::mono_time timer_due_at;    ///< when the timer that is set is due
    core::micros timer_delay{0};     ///< how late the latest timer fired
    core::micros max_lease_age{0};   ///< maximum age at a renewal since take_max_lease_age()
    bool bidding = false;
    bool resigned = false;
    double measured_share = 0; ///< share of a core, measured before the latest bid
    /// Until then the bids of this node are delayed, because it handed leadership over.
    core::mono_time bid_delayed_until;
    bool initial_read_done = false;             ///< all leader keys were read once
    ports::revision last_handover_revision = 0; ///< revision of the latest handover seen
    /// Times at which recent handovers were seen; by the boot clock.
    std::deque<core::mono_time> handover_times;
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

    void apply_change(const ports::stored_change& it);
    void apply_all(const std::vector<ports::stored_item>& items);
    void evaluate();
    void bid();
    void handle_lease_grant(const ports::kv_lease& got);
    void write_key();
    void handle_key_write(const ports::commit_result& result);
    void handle_failed_bid();
    void renew_lease();
    void handle_renewal(const ports::kv_lease& got, core::mono_time sent);
    void schedule(core::millis delay, void (leadership_state::*next)());
    bool release(const std::string& reason);
    void lose_leadership(const std::string& reason);
    void hand_over(const std::string& reason);
    int count_recent_handovers();
    void log_late_renewal(const char* step, core::mono_time now);
    ports::log_fields renewal_delay_fields(core::mono_time now) const;
};

} // namespace camphorhitch::hosted
