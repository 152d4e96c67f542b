/// \file
/// The connections of a node on a hosting platform to the platform's services and to runners, and
/// the ports that its parts use.
#pragma once

#include "hosted/context.hpp"
#include "http/client.hpp"
#include "reactor/event_loop.hpp"
#include "settings/hosted_settings.hpp"

namespace camphorhitch::daemon
{

/// Connections by purpose: what renews leases never waits behind what may wait. Stays where it is
/// while ports made of it are in use; the loop must outlive it.
struct hosted_clients
{
    explicit hosted_clients(reactor::event_loop& loop);
    hosted_clients(const hosted_clients&) = delete;
    hosted_clients& operator=(const hosted_clients&) = delete;

    http::client store_http;
    http::client lease_http;
    http::client runner_http;
    http::client poll_http;
    ports::http_client store;
    ports::http_client lease;
    ports::http_client orders;
    ports::http_client polls;
    ports::runners runners; ///< this node's own calls, not through others
};

/// A clock that goes on while the machine is suspended.
core::mono_time boot_now();

/// \param c also gets its runners
/// \return all ports of a node with these settings; the arguments must outlive them.
hosted::context make_context(hosted_clients& c,
    const settings::hosted_settings& s,
    reactor::event_loop& loop,
    const ports::telemetry& log);

} // namespace camphorhitch::daemon
