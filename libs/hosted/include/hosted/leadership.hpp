/// \file
/// Who coordinates the fleet: the node whose key stands in the metadata store, under a lease.
///
/// Safety comes from the key's revision, the fencing token: it rises with each owner, so runners
/// refuse a former owner's orders, and each write of the coordinator is conditional on it. The
/// lease only decides how soon a successor may try.
#pragma once

#include "hosted/context.hpp"
#include "hosted/prefix_follower.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace camphorhitch::hosted
{

struct leadership_settings
{
    /// A dead coordinator is replaced after at most this long.
    core::millis lease{1200};
    core::millis renew_every{350};
    /// The node stops acting this long before its lease can have ended at the store.
    core::millis margin{150};
    /// Past that bound the node orders nothing, and waits so long for an answer that the lease
    /// stands: nearly two renewals more.
    core::millis patience{600};
    /// The same while the store answers nothing at all: nobody else can take the lead then, and an
    /// owner that waits goes on with all it knows at the store's first answer. Others would wait
    /// for its key to lapse and read every job first. Below the history that the store keeps.
    core::millis silent_patience{15000};
    /// Candidates try after a pause of up to this long, so that they do not all call at once.
    core::millis longest_pause{120};
    /// Of a core, that this node may use. See handicap_of.
    double processor_share = 1;
    core::millis retry{250}; ///< after a call that failed
    /// A node that handed the lead over bids so much later, for as long as the next one says: later
    /// than the pause and the handicap of any other (520 ms). Without another it leads again before
    /// the runners' leases end (2.5 s after the latest renewal).
    core::millis slowed_handicap{700};
    /// Three owners in a row may need that long to find that they can't read the jobs.
    core::millis slowed_for{30000};
    /// Hand-overs of any node are counted for so long.
    core::millis hand_overs_count_for{60000};
};

/// A node waits longer before it bids, the smaller its share of a core: the coordinator's load
/// falls on one node, and a small one would fall behind and lose its lease. A node whose machine is
/// slowed is a small one, whatever its settings say.
/// \param share of a core, as set, or as a trial shows it
core::millis handicap_of(double share);

/// \return the share as set, unless a trial showed far less.
double share_to_bid_with(double set, double tried);

struct leadership_events
{
    std::function<void(std::int64_t term, ports::revision token)> on_gained;
    std::function<void(const std::string& reason)> on_lost;
};

struct leadership_state;

class leadership
{
public:
    leadership(context c, leadership_settings s, leadership_events e);
    leadership(const leadership&) = delete;
    leadership& operator=(const leadership&) = delete;
    ~leadership();

    void start();

    /// \return whether this node is the coordinator and its lease has certainly not ended. Ask
    /// just before each order.
    bool holds() const;

    /// Revision of the own key; 0 without it.
    ports::revision token() const;

    /// \return the node that coordinates, as the store told last; empty: none, or this one without
    /// holding the lease any more.
    std::string leader() const;

    /// Lost ownership was seen elsewhere: a runner or a condition refused the token.
    void step_down(const std::string& reason);

    /// Gives ownership back at once, so that a successor need not wait for the lease; candidates
    /// no more. \p done is called when the store has answered, or can't be reached.
    void resign(std::function<void()> done);

    /// Gives ownership back at once, since another node would serve callers better; bids later than
    /// the others for a while. The event of the loss comes in a later turn of the loop.
    void hand_over(const std::string& reason);

    /// \return how often any node has handed the lead over lately, as far as this one has seen.
    int hand_overs();

    /// \return how long before a renewal the one that was last granted had been sent, the longest
    /// since the latest call; 0: none was sent.
    core::millis take_lease_age();

    /// \return when the store last answered.
    core::mono_time last_answer() const;

private:
    std::shared_ptr<leadership_state> state_;
};

} // namespace camphorhitch::hosted
