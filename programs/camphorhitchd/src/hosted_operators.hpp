/// \file
/// The operators' interface of a node on a hosting platform: the same language and HTTP calls as
/// outside such a platform. Objects that the platform's own operators change, such as pools, are
/// read-only.
#pragma once

#include "hosted/fleet_driver.hpp"
#include "hosted/formats.hpp"
#include "hosted/job_request_handler.hpp"
#include "hosted/leadership.hpp"
#include "language/parse.hpp"
#include "operator_wire.hpp"
#include "ports/http.hpp"
#include "service_refs.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

/// Data sources of the operators' interface, and the components that execute its commands. All must
/// outlive the interface.
struct hosted_sources
{
    hosted::context ctx;
    const hosted::formats& formats;
    hosted::job_request_handler& job_requests;
    const hosted::leadership& lead;
    const hosted::fleet_driver& driver;
    /// Returns nullptr while no configuration is known.
    std::function<const hosted::fleet_config*()> config;
    /// Returns the time of the store's last answer about the configuration.
    std::function<core::mono_time()> config_confirmed_at;
};

struct hosted_operators_impl;

/// HTTP handler of the operators' interface.
class hosted_operators
{
public:
    hosted_operators(hosted_sources from, std::string token);
    ~hosted_operators();
    hosted_operators(const hosted_operators&) = delete;
    hosted_operators& operator=(const hosted_operators&) = delete;

    /// \param server returns the server that sends the answers.
    /// \return the handlers for an HTTP server; they stay valid after this object is destroyed.
    ports::http_events events(const std::function<const ports::http_server&()>& server);

private:
    std::shared_ptr<hosted_operators_impl> state_;
};

} // namespace camphorhitch::daemon
