/// \file
/// Which nodes carry orders to runners out: each writes where it listens under a lease of the
/// store, and the coordinator follows them all.
#pragma once

#include "core/result.hpp"
#include "hosted/context.hpp"
#include "hosted/prefix_follower.hpp"
#include "ports/relays.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::hosted
{

struct registry_settings
{
    /// A node that vanished is listed for so long. Its broken connection tells sooner, so this only
    /// bounds how long a newcomer tries it in vain.
    core::millis lease{9000};
    core::millis renew_every{3000}; ///< a third of the lease: two renewals may be lost
    core::millis retry{1000};       ///< after a call that failed
    /// The key is written again with every so many renewals: the store may take it away with no
    /// sign on them, and a new coordinator would not find this node. One write a node in 30 s.
    int renewals_a_write = 10;
    /// Least time between two looks at the list; gathers the entries of nodes that start together.
    core::millis follow_pause{250};
};

/// \return the value of the node's key.
std::string write_relay(const ports::relay_endpoint& it);

/// \param text as write_relay() made it; may be anything
core::result<ports::relay_endpoint> read_relay(const std::string& member, const std::string& text);

/// \return the largest share of a core among the nodes other than \p member; 0: there is none.
double best_share_but(const std::vector<ports::relay_endpoint>& all, const std::string& member);

struct registry_state;

/// Must not be destroyed inside its own events.
class relay_registry
{
public:
    using listener = std::function<void(std::vector<ports::relay_endpoint>)>;

    relay_registry(context c, registry_settings s, listener on_change);
    relay_registry(const relay_registry&) = delete;
    relay_registry& operator=(const relay_registry&) = delete;
    ~relay_registry();

    /// Lists this node from now on.
    void offer(ports::relay_endpoint own);
    /// Lists it no more.
    void withdraw();

    /// Tells the listener of all that are listed, and again when that changes.
    void follow();
    void unfollow();

private:
    std::shared_ptr<registry_state> state_;
};

} // namespace camphorhitch::hosted
