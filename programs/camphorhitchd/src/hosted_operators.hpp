/// \file
/// The operators' interface of a node on a hosting platform: the same language over the same calls
/// as elsewhere. What the platform's own operators change, such as pools, is only shown.
#pragma once

#include "hosted/fleet_driver.hpp"
#include "hosted/formats.hpp"
#include "hosted/job_request_handler.hpp"
#include "hosted/leadership.hpp"
#include "language/parse.hpp"
#include "operator_parts.hpp"
#include "operator_wire.hpp"
#include "ports/http.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

/// What the node knows, and where it sends what is asked of it. All outlive the interface.
struct hosted_sources
{
    hosted::context ctx;
    const hosted::formats& formats;
    hosted::job_request_handler& desk;
    const hosted::leadership& lead;
    const hosted::fleet_driver& driver;
    std::function<const hosted::fleet_config*()> config; ///< nullptr: none is known yet
    std::function<core::mono_time()> config_heard;       ///< when the store last answered about it
};

struct hosted_operators_state;

class hosted_operators
{
public:
    hosted_operators(hosted_sources from, std::string token);
    ~hosted_operators();
    hosted_operators(const hosted_operators&) = delete;
    hosted_operators& operator=(const hosted_operators&) = delete;

    ports::http_events events(const std::function<const ports::http_server&()>& server);

private:
    std::shared_ptr<hosted_operators_state> state_;
};

} // namespace camphorhitch::daemon
