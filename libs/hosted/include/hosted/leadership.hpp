/// \file
/// Leader election: the coordinator of the fleet is the node whose key is in the metadata store,
/// attached to a lease.
///
/// Safety comes from the revision of the key, which is the fencing token. It increases with each
/// coordinator, so runners refuse orders of a previous coordinator, and every write of the
/// coordinator is conditional on it. The lease only determines how soon a successor may bid.
#pragma once

#include "hosted/context.hpp"
#include "hosted/prefix_follower.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace camphorhitch::hosted
{

/// Times of the leadership lease and of the bids.
struct leadership_settings
{
    /// Time to live of the lease. A dead coordinator is replaced after at most this time.
    core::millis lease{1200};
    core::millis renew_interval{350};
    /// The node stops giving orders this long before its lease can have ended at the store.
    core::millis lease_margin{150};
    /// Once the lease may have ended, the node gives no orders and waits this long for an answer
    /// that confirms the lease: nearly two renewal intervals.
    core::millis renewal_timeout{600};
    /// Used instead of renewal_timeout while the store does not answer any call. No other node can
    /// become leader meanwhile, and a coordinator that waits resumes with its complete state at the
    /// store's first answer. A successor would have to wait until the key's lease expires and then
    /// read every job. Must stay below the time span that the store's change log covers.
    core::millis unresponsive_store_timeout{15000};
    /// Upper bound of the random delay before a bid, which keeps the candidates from calling all at
    /// once.
    core::millis max_bid_jitter{120};
    /// Share of a core that this node may use (0 to 1). See bid_delay_for_share.
    double processor_share = 1;
    core::millis retry_delay{250}; ///< delay after a failed call
    /// Extra delay of the bids of a node that handed leadership over, applied for
    /// handover_bid_delay_duration. It is longer than the jitter and the bid delay of any other
    /// node together (520 ms). If no other node bids, this node leads again before the runners'
    /// leases end (2.5 s after their latest renewal).
    core::millis handover_bid_delay{700};
    /// How long handover_bid_delay applies. Three coordinators in a row may need that long to find
    /// out that they cannot read the jobs.
    core::millis handover_bid_delay_duration{30000};
    /// Handovers by any node count as recent for this long.
    core::millis handover_count_window{60000};
};

/// Returns how long a node delays its bid: the smaller its share of a core, the longer. The
/// coordinator's load falls on one node, and a node with a small share would fall behind and lose
/// its lease. A node on a slowed machine counts as small, whatever its settings say.
/// \param share share of a core (0 to 1), as configured or as measured
core::millis bid_delay_for_share(double share);

/// Returns the share of a core on which the bid delay is based.
/// \return \p measured if it is far below \p configured, else \p configured
double effective_share(double configured, double measured);

/// Calls on a change of this node's leadership.
struct leadership_events
{
    /// This node has become the coordinator. \p token is the fencing token of its orders and
    /// writes.
    std::function<void(std::int64_t term, ports::revision token)> on_gained;
    /// This node is no longer the coordinator; \p reason is for the log.
    std::function<void(const std::string& reason)> on_lost;
};

struct leadership_state;

/// Bids for leadership, renews the lease while this node is the coordinator, and detects its loss.
class leadership
{
public:
    leadership(context c, leadership_settings s, leadership_events e);
    leadership(const leadership&) = delete;
    leadership& operator=(const leadership&) = delete;
    ~leadership();

    /// Starts to follow the leader keys and to bid.
    void start();

    /// \return whether this node is the coordinator and its lease has certainly not ended. Callers
    /// check this immediately before each order.
    bool holds_lease() const;

    /// \return the revision of this node's leader key, which is the fencing token; 0 while this
    /// node is not the coordinator.
    ports::revision token() const;

    /// \return the name of the coordinator according to the latest answer of the store; empty if
    /// there is none, or if this node has the key but its lease may have ended.
    std::string leader() const;

    /// Ends this node's leadership because a runner or a store condition refused the fencing token.
    void step_down(const std::string& reason);

    /// Releases the leadership immediately, so that a successor need not wait for the lease to end,
    /// and stops bidding for good. \p done is called when the store has answered or cannot be
    /// reached.
    void resign(std::function<void()> done);

    /// Releases the leadership immediately because another node would serve callers better. This
    /// node delays its later bids for a while. on_lost is called in a later iteration of the event
    /// loop.
    void hand_over(const std::string& reason);

    /// \return the number of handovers by any node, as far as this node has seen them, within
    /// leadership_settings::handover_count_window.
    int recent_handovers();

    /// \return the maximum age of the lease when a renewal was sent, since the previous call of
    /// this function. The age counts from the sending of the last renewal that was granted. 0: no
    /// renewal was sent.
    core::millis take_max_lease_age();

    /// \return when the store last answered a read or watch of the leader keys.
    core::mono_time last_answer_at() const;

private:
    std::shared_ptr<leadership_state> state_;
};

} // namespace camphorhitch::hosted
