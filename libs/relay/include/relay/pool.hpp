/// \file
/// Sends the coordinator's calls to runners through the relays on the other nodes.
///
/// One node decides for the whole fleet, and its calls to runners (HTTP, JSON) take several times
/// the processor time of the decisions. The pool therefore hands each order to a relay and receives
/// the answer from it, so that all nodes share the cost of the calls.
#pragma once

#include "ports/relays.hpp"
#include "ports/runners.hpp"
#include "ports/scheduler.hpp"
#include "ports/telemetry.hpp"
#include "reactor/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::relay
{

/// Limits and delays of a relay pool.
struct pool_settings
{
    /// Below this number of runners, all calls are made locally: half a core is ample for the calls
    /// to 50 runners, and a relay adds a hop and traffic between zones.
    std::size_t min_runners = 120;
    /// Time after its last poll for which a runner is counted.
    core::millis runner_retention{5000};
    core::millis tick_interval{100};
    /// Longest time between two frames to a relay, so that a relay can free the resources of a
    /// coordinator that has ended.
    core::millis heartbeat_interval{1000};
    /// A relay that sends nothing for this long counts as lost. The time covers three of a relay's
    /// heartbeats and the transfer, and is well below the lease of a runner, which the polls
    /// through the relay renew.
    core::millis relay_timeout{700};
    /// After relays are first needed, orders wait this long for connections, so that each runner is
    /// called by its own relay from the start.
    core::millis connect_wait{300};
    /// Orders stop waiting once this share of the relays is connected: the remaining relays have
    /// probably ended.
    double sufficient_relay_share = 0.75;
    /// Largest number of local calls in flight; further calls wait. A call takes 0.3 ms of a core,
    /// so a coordinator that starts a thousand calls at once would read none of the answers before
    /// their timeout.
    std::size_t max_local_calls = 250;
    /// A local call that has had no answer for this long no longer counts towards
    /// `max_local_calls`: runners that have ended must not delay the calls to other runners.
    core::millis slow_call_threshold{250};
    /// Delay before the first attempt to reconnect to a lost relay; doubled for each further
    /// attempt.
    core::millis initial_retry_delay{500};
    core::millis max_retry_delay{8000};
    /// A runner that did not answer through its relay is called through another one for this long.
    /// The link between the runner and its relay may be broken, and the runner's lease would
    /// expire. The time spans several polls; afterwards the runner's own relay is used again.
    core::millis avoid_time{10000};
    /// An order that has had no answer for this long ends as unknown. The calls of a relay end
    /// after 0.9 s, and those of polls 0.7 s after their wait; the remaining time is for the
    /// transfer.
    core::millis order_timeout{1300};
    core::millis poll_timeout_margin{1100}; ///< added to a poll's own wait
};

/// What a relay pool uses.
struct pool_parts
{
    reactor::event_loop* loop = nullptr;
    std::string member;           ///< this node, which never acts as its own relay
    ports::runners local_runners; ///< used for local calls
    ports::telemetry tel;
    /// Returns whether orders may still be sent. Called immediately before sending, since the
    /// orders have been queued and the machine may have been suspended meanwhile.
    std::function<bool()> may_send;
};

struct pool_state;

/// All members must be called on the thread of the event loop. The event loop must outlive this
/// object.
class pool
{
public:
    pool(pool_parts parts, pool_settings s);
    pool(const pool&) = delete;
    pool& operator=(const pool&) = delete;
    ~pool();

    /// \return a port that makes its calls through this pool; valid while the pool exists.
    ports::runners port();

    /// Starts a term of this node as coordinator. From now on the pool may connect to relays.
    /// \param token the first fencing token of the term
    void begin(std::int64_t token);
    /// Ends the term. Orders in flight end as unknown, connections close, and later orders are made
    /// locally.
    void end();

    /// Sets the nodes that offer to relay. A relay that is no longer listed is used for as long as
    /// its connection lasts, because its record may expire while the store is unreachable.
    void set_relays(std::vector<ports::relay_endpoint> all);

private:
    std::shared_ptr<pool_state> state_;
};

} // namespace camphorhitch::relay
