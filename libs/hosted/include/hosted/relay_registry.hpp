/// \file
/// Registry of the nodes that relay orders to runners: each relay writes its address to the store
/// under a lease, and the coordinator follows all entries.
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
    /// Time for which a node that has vanished stays listed. A broken connection reveals the loss
    /// sooner, so this only bounds how long a new coordinator tries that node in vain.
    core::millis lease{9000};
    core::millis renewal_interval{3000}; ///< a third of the lease: two renewals may be lost
    core::millis retry_delay{1000};      ///< after a call that failed
    /// Number of renewals after which the key is written again: the store may remove the key while
    /// renewals still succeed, and a new coordinator would not find this node. This costs one write
    /// per node every 30 s.
    int renewals_per_write = 10;
    /// Minimum time between two reads of the list; gathers the entries of nodes that start
    /// together.
    core::millis min_follow_interval{250};
};

/// \return the value to store under the node's key.
std::string write_relay(const ports::relay_endpoint& it);

/// \param text stored value as write_relay() produced it; may be damaged
/// \return the endpoint, or an error for a value that cannot be read.
core::result<ports::relay_endpoint> read_relay(const std::string& member, const std::string& text);

/// \return the largest share of a core among the nodes other than \p member; 0: there is none.
double max_other_share(const std::vector<ports::relay_endpoint>& all, const std::string& member);

struct registry_state;

/// Must not be destroyed from within its own listener.
class relay_registry
{
public:
    using listener = std::function<void(std::vector<ports::relay_endpoint>)>;

    relay_registry(context c, registry_settings s, listener on_change);
    relay_registry(const relay_registry&) = delete;
    relay_registry& operator=(const relay_registry&) = delete;
    ~relay_registry();

    /// Registers this node as a relay and keeps its entry alive.
    void advertise(ports::relay_endpoint own);
    /// Removes this node's entry.
    void withdraw();

    /// Calls the listener with all registered relays, and again whenever the list changes.
    void follow();
    void unfollow();

private:
    std::shared_ptr<registry_state> state_;
};

} // namespace camphorhitch::hosted
