/// \file
/// All services of one daemon and their connections. The services depend only on ports, not on
/// adapters, so that tests can run a whole daemon on fakes and virtual time.
#pragma once

#include "claim_service.hpp"
#include "config_service.hpp"
#include "context.hpp"
#include "experiment_service.hpp"
#include "fleet_service.hpp"
#include "job_intake.hpp"
#include "job_service.hpp"
#include "membership_service.hpp"
#include "operator_service.hpp"
#include "permit_service.hpp"
#include "request_service.hpp"
#include "stop_sequence.hpp"

#include <functional>
#include <memory>
#include <string>

namespace camphorhitch::daemon
{

/// Settings of all services.
struct service_settings
{
    membership::freshness_settings freshness;
    dispatch::dispatcher_settings dispatcher;
    dispatch::sender_settings sender;
    claims::claim_settings claims;
    jobs::settings jobs;
    std::string operator_token;
    std::function<std::string()> metrics; ///< renders all metrics as Prometheus text
};

/// The services of one daemon.
struct services
{
    /// \param c context with its ports set; the constructor creates the mirror of the documents.
    services(context& c, service_settings s);
    ~services();
    services(const services&) = delete;
    services& operator=(const services&) = delete;

    /// \return the handlers of peers' calls; valid as long as this object.
    const ports::peer_handlers& handlers() const;
    /// \return the handlers of callers' HTTP requests; valid as long as this object.
    ports::http_events caller_events();
    /// \return the handlers of operators' HTTP requests; valid as long as this object.
    ports::http_events operator_events();
    /// Starts the mirror and all periodic tasks.
    void start();

    context& ctx;
    service_settings settings;
    std::unique_ptr<mirror> documents;
    std::unique_ptr<membership_service> members;
    std::unique_ptr<config_service> config;
    std::unique_ptr<permit_service> permits;
    std::unique_ptr<claim_service> claims;
    std::unique_ptr<request_service> requests;
    std::unique_ptr<fleet_service> fleet;
    std::unique_ptr<job_service> jobs;
    std::unique_ptr<job_intake> intake;
    std::unique_ptr<experiment_service> experiments;
    std::unique_ptr<operator_service> operators;
    std::unique_ptr<stop_sequence> stopping;

private:
    ports::peer_handlers make_handlers();
    void on_document(const ports::kv_entry& entry);
    void on_roster();
    void on_config(const model::configuration& c);

    ports::peer_handlers handlers_;
};

} // namespace camphorhitch::daemon
