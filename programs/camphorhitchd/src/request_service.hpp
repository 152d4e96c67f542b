/// \file
/// Callers' requests: takes each HTTP exchange through claim, permit, send and answer.
#pragma once

#include "claim_service.hpp"
#include "connection_drainer.hpp"
#include "context.hpp"
#include "dispatch/request_flow.hpp"
#include "membership_service.hpp"
#include "model/config.hpp"
#include "permit_service.hpp"
#include "refusal.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace camphorhitch::daemon
{

/// Open requests of this entry host's callers.
class request_service
{
public:
    request_service(context& c,
        membership_service& members,
        permit_service& permits,
        claim_service& claims,
        dispatch::sender_settings settings);

    /// Sets the server that sends the answers; called once the server listens.
    void set_server(ports::http_server server);
    /// Applies a newly adopted configuration.
    void on_config(const model::configuration& config);
    /// \param permit_ttl maximum time from the request for a claim to the send, as the claim's
    /// holders use it.
    void on_claim_settings(core::millis permit_ttl, core::millis key_memory);
    void on_roster();

    /// Handles a caller's request.
    void on_request(ports::exchange_id exchange, ports::http_request request);
    /// The caller closed the connection of the exchange.
    void on_disconnected(ports::exchange_id exchange);
    /// \return the permits that open requests hold for the queried pools; none if this member has
    /// not adopted the query's epoch yet.
    ports::held_reply held_permits(const ports::held_query& query);

    /// Refuses new requests from now on; \p done is called when the last open request has ended.
    void stop(std::function<void()> done);

    /// Stops accepting connections and waits, for a bounded time, until connected callers have been
    /// answered.
    void drain_connections(std::function<void()> done);
    /// \return whether a load balancer should send requests to this entry host.
    bool ready() const;
    /// \return the number of open requests.
    std::size_t open_requests() const;
    /// \return the recorded steps of an ended request, found by its Request-Id or its idempotency
    /// key.
    std::vector<std::string> explain(const std::string& id) const;

private:
    struct open_request
    {
        ports::exchange_id exchange = 0;
        ports::http_request http;
        std::string service;
        dispatch::request_flow flow;
        ports::span span;
        ports::span send_span;
        ports::call_id call = 0;
        core::mono_time started_at{};
        std::vector<std::string> steps;
    };
    using request_id = std::uint64_t;

    void start_request(request_id id, const model::pool_config& pool);
    void execute_actions(request_id id, const dispatch::flow_actions& actions);
    void execute(request_id id, const dispatch::request_claim& it);
    void execute(request_id id, const dispatch::request_permit& it);
    void execute(request_id id, const dispatch::send_request& it);
    void execute(request_id id, const dispatch::cancel_send& it);
    void execute(request_id id, const dispatch::return_permit& it);
    void execute(request_id id, const dispatch::finish_claim& it);
    void execute(request_id id, const dispatch::answer_caller& it);
    void on_outcome(request_id id, const ports::http_outcome& outcome);
    void remove_if_ended(request_id id);
    void record_step(open_request& r, std::string text);
    void refuse(ports::exchange_id exchange, const refusal& why);
    void tick();

    context& context_;
    membership_service& members_;
    permit_service& permits_;
    claim_service& claims_;
    dispatch::request_sender sender_;
    model::configuration config_;
    std::map<std::string, std::string> owners_; ///< process name of the owner, by pool
    ports::http_server server_;
    std::optional<connection_drainer> drainer_;
    std::unordered_map<request_id, open_request> open_;
    std::unordered_map<ports::exchange_id, request_id> by_exchange_;
    request_id next_id_ = 1;
    bool stopping_ = false;
    std::function<void()> on_stopped_;
    struct ended_request
    {
        std::string id;
        std::string key;
        std::vector<std::string> steps;
    };
    std::deque<ended_request> ended_; ///< newest last; bounded
};

} // namespace camphorhitch::daemon
