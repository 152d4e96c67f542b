/// \file
/// The coordinator's calls to runners, made by the relays on the other nodes.
///
/// One node decides for the whole fleet; the processor time of its calls (HTTP, JSON) is several
/// times that of the decisions. The pool hands each order to a relay and takes the answer back, so
/// that the calls are paid by all nodes.
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

struct pool_settings
{
    /// Below this many runners all calls are made locally: half a core makes the calls to 50
    /// runners with time to spare, and a relay adds a hop and bytes between zones.
    std::size_t fewest_runners = 120;
    /// A runner counts for so long after its last poll.
    core::millis runner_memory{5000};
    core::millis tick{100};
    /// A frame leaves at least so often, so that a relay can free what a dead coordinator left.
    core::millis heartbeat{1000};
    /// A relay heard of nothing for so long is lost: three of its heartbeats and a hop's time, and
    /// well below a runner's lease, which the polls through it renew.
    core::millis longest_silence{700};
    /// After the first need for relays orders wait so long for connections, so that each runner is
    /// called by its own relay from the start.
    core::millis settle{300};
    /// They wait no longer once so large a part of the relays is connected: the rest is likely
    /// gone.
    double settled_part = 0.75;
    /// Calls of this node's own that may be under way; the others wait. A call takes 0.3 ms of a
    /// core: of an owner that makes a thousand at once, all answers lie unread until their
    /// time-out.
    std::size_t most_local_calls = 250;
    /// A local call without an answer for so long counts no more: runners that are gone must not
    /// hold up the calls to others.
    core::millis answer_is_near{250};
    core::millis first_retry{500}; ///< after a relay was lost; doubled each time
    core::millis longest_retry{8000};
    /// A runner that did not answer through its relay is called by another for so long: the link
    /// between the two may be cut, and its lease would lapse. Some polls' time; then its own relay
    /// is tried again.
    core::millis avoid{10000};
    /// An order without an answer for so long is unknown: the calls of the relay end after 0.9 s,
    /// those of polls 0.7 s after their wait, and the rest is for the way.
    core::millis order_timeout{1300};
    core::millis poll_slack{1100}; ///< on top of a poll's own wait
};

struct pool_parts
{
    reactor::event_loop* loop = nullptr;
    std::string member; ///< this node; it is not its own relay
    ports::runners local;
    ports::telemetry tel;
    /// Whether orders may still go out: asked just before, since they have waited for their turn
    /// and the machine may have been suspended meanwhile.
    std::function<bool()> may_send;
};

struct pool_state;

/// All members belong to the loop's thread. The loop must outlive it.
class pool
{
public:
    pool(pool_parts parts, pool_settings s);
    pool(const pool&) = delete;
    pool& operator=(const pool&) = delete;
    ~pool();

    /// Valid as long as the pool.
    ports::runners port();

    /// A term of coordination begins: relays may be connected to.
    void begin();
    /// The term ended. Orders under way end as unknown, connections close, later orders are made
    /// locally.
    void end();

    /// The nodes that offer to relay. One that is no longer named is used for as long as its
    /// connection lives, for a record may lapse while the store is away.
    void set_relays(std::vector<ports::relay_endpoint> all);

private:
    std::shared_ptr<pool_state> state_;
};

} // namespace camphorhitch::relay
