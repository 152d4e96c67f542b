/// \file
/// References to the services that operators' statements read and change.
#pragma once

#include "claim_service.hpp"
#include "config_service.hpp"
#include "experiment_service.hpp"
#include "fleet_service.hpp"
#include "job_intake.hpp"
#include "job_service.hpp"
#include "membership_service.hpp"
#include "permit_service.hpp"
#include "request_service.hpp"

namespace camphorhitch::daemon
{

/// References to a daemon's services.
struct service_refs
{
    membership_service& members;
    config_service& config;
    permit_service& permits;
    claim_service& claims;
    request_service& requests;
    fleet_service& fleet;
    job_service& jobs;
    job_intake& intake;
    experiment_service& experiments;
};

/// Result of one statement or change, as operators' clients receive it.
struct statement_result
{
    bool ok = true;
    core::error_code code = core::error_code::invalid; ///< valid only when not ok
    std::string text;          ///< message for operators; ends with a newline
    std::string json = "null"; ///< the same result as JSON
};

} // namespace camphorhitch::daemon
