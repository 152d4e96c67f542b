/// \file
/// The operators' interface over HTTP: one address, a token, statements, jobs, metrics.
#pragma once

#include "context.hpp"
#include "fleet_setup.hpp"
#include "operator_parts.hpp"
#include "statement_runner.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

class operator_service
{
public:
    /// \param metrics renders all metrics as Prometheus text.
    operator_service(
        context& c, operator_parts parts, std::string token, std::function<std::string()> metrics);

    void set_server(ports::http_server server);
    void on_request(ports::exchange_id exchange, ports::http_request request);
    void on_gone(ports::exchange_id exchange);

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
    operator_parts parts_;
    std::string token_;
    std::function<std::string()> metrics_;
    ports::http_server server_;
    fleet_setup setup_;
    statement_runner runner_;
    std::set<ports::exchange_id> open_;
};

} // namespace camphorhitch::daemon
