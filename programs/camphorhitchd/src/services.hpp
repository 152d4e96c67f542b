/// \file
/// All services of one daemon over its ports, and what they tell one another. No adapter is named
/// here, so that tests run a whole daemon on fakes and virtual time.
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

struct service_settings
{
    membership::freshness_settings freshness;
    dispatch::dispatcher_settings dispatcher;
    dispatch::sender_settings sender;
    claims::claim_settings claims;
    jobs::settings jobs;
    std::string operator_token;
    std::function<std::string()> metrics; ///< renders them as Prometheus text
};

struct services
{
    /// \param c its ports are set; the mirror of the documents is made here.
    services(context& c, service_settings s);
    ~services();
    services(const services&) = delete;
    services& operator=(const services&) = delete;

    /// \return what answers peers; good as long as this object.
    const ports::peer_handlers& handlers() const;
    ports::http_events caller_events();
    ports::http_events operator_events();
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
