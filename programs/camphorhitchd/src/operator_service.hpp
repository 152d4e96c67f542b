/// \file
/// The operators' HTTP interface: statements, setup files, jobs, status and metrics at one address,
/// protected by a token.
#pragma once

#include "context.hpp"
#include "fleet_setup.hpp"
#include "service_refs.hpp"
#include "statement_runner.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

/// HTTP handler of the operators' interface.
class operator_service
{
public:
    /// \param token that each request must carry.
    /// \param metrics renders all metrics as Prometheus text.
    operator_service(
        context& c, service_refs services, std::string token, std::function<std::string()> metrics);

    /// Sets the server that sends the answers; called once the server listens.
    void set_server(ports::http_server server);
    /// Handles a request of an operator.
    void on_request(ports::exchange_id exchange, ports::http_request request);
    /// The operator's client closed the connection; the exchange is not answered.
    void on_disconnected(ports::exchange_id exchange);

private:
    void answer(ports::exchange_id exchange, int status, std::string body, const char* type);
    void answer(ports::exchange_id exchange, ports::http_response it);
    void answer_results(
        ports::exchange_id exchange, const std::vector<statement_result>& all, bool settled);
    void execute(ports::exchange_id exchange, const ports::http_request& request);
    void apply(ports::exchange_id exchange, const ports::http_request& request);
    void submit_jobs(ports::exchange_id exchange, const ports::http_request& request);
    void show_job(ports::exchange_id exchange, const std::string& id);
    std::string status() const;

    context& context_;
    service_refs services_;
    std::string token_;
    std::function<std::string()> metrics_;
    ports::http_server server_;
    fleet_setup setup_;
    statement_runner runner_;
    std::set<ports::exchange_id> open_;
};

} // namespace camphorhitch::daemon
