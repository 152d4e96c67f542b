/// \file
/// Peer calls without a network: a call invokes the other process's handlers after a short delay.
#pragma once

#include "daemon_fakes/virtual_time.hpp"
#include "ports/peer.hpp"

#include <map>
#include <string>

namespace camphorhitch::daemon_fakes
{

/// Connects the peer ports of all simulated processes.
class peers
{
public:
    explicit peers(virtual_time& time);
    peers(const peers&) = delete;
    peers& operator=(const peers&) = delete;

    /// Delivers calls to \p address to \p handlers in \p p. \p p and \p handlers must outlive all
    /// calls.
    void listen(const std::string& address, process& p, const ports::peer_handlers& handlers);
    ports::peer_client port(process& from);

private:
    struct listener
    {
        process* owner = nullptr;
        const ports::peer_handlers* handlers = nullptr;
    };
    template <class Request, class Reply>
    ports::peer_client::call<Request, Reply> make_call(
        process& from, ports::peer_handlers::handler<Request, Reply> ports::peer_handlers::*which);

    virtual_time& time_;
    std::map<std::string, listener> listeners_;
};

} // namespace camphorhitch::daemon_fakes
