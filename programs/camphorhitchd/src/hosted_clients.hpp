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

/// Connections by purpose, so that lease renewals never wait behind less urgent calls. The object
/// must not move while its ports are in use; the loop must outlive it.
struct hosted_clients
{
    explicit hosted_clients(reactor::event_loop& loop);
    hosted_clients(const hosted_clients&) = delete;
    hosted_clients& operator=(const hosted_clients&) = delete;

    http::client store_http;
    http::client lease_http;
    http::client runner_http;
    http::client poll_http;
    ports::http_client store;  ///< calls to the store, the advice service and the machine service
    ports::http_client lease;  ///< renewals of the leader lease
    ports::http_client orders; ///< orders to runners
    ports::http_client polls;  ///< long polls of runners
    ports::runners runners;    ///< direct calls of this node, not through relays
};

/// Current time of a clock that also advances while the machine is suspended.
core::mono_time boot_now();

/// \param c receives its `runners` port
/// \return all ports of a node with these settings; the arguments must outlive the ports.
hosted::context make_context(hosted_clients& c,
    const settings::hosted_settings& s,
    reactor::event_loop& loop,
    const ports::telemetry& log);

} // namespace camphorhitch::daemon
