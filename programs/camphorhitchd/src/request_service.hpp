/// \file
/// Callers' requests: each HTTP exchange is carried through claim, permit, send and answer.
#pragma once

#include "claim_service.hpp"
#include "context.hpp"
#include "dispatch/request_flow.hpp"
#include "last_answers.hpp"
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

class request_service
{
public:
    request_service(context& c,
        membership_service& members,
        permit_service& permits,
        claim_service& claims,
        dispatch::sender_settings settings);

    /// Where answers go; set once the server listens.
    void set_server(ports::http_server server);
    void on_config(const model::configuration& config);
    /// \param permit_ttl the holders' own time from a claim's request to the send.
    void on_claim_settings(core::millis permit_ttl, core::millis key_memory);
    void on_roster();

    void on_request(ports::exchange_id exchange, ports::http_request request);
    void on_gone(ports::exchange_id exchange);
    ports::held_reply held(const ports::held_query& query);

    /// From now on new requests are refused; \p done is called when the last one has ended.
    void stop(std::function<void()> done);

    /// Takes no new connection and waits for those connected to be answered, for a bounded time.
    void answer_last(std::function<void()> done);
    /// \return whether a balancer should send requests here.
    bool ready() const;
    std::size_t open_requests() const;
    /// \return recorded steps of a request, by its own id or its idempotency key.
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
        core::mono_time began{};
        std::vector<std::string> steps;
    };
    using request_id = std::uint64_t;

    void begin(request_id id, const model::pool_config& pool);
    void run(request_id id, const dispatch::flow_actions& actions);
    void step(request_id id, const dispatch::request_claim& it);
    void step(request_id id, const dispatch::request_permit& it);
    void step(request_id id, const dispatch::send_request& it);
    void step(request_id id, const dispatch::cancel_send& it);
    void step(request_id id, const dispatch::return_permit& it);
    void step(request_id id, const dispatch::finish_claim& it);
    void step(request_id id, const dispatch::answer_caller& it);
    void on_outcome(request_id id, const ports::http_outcome& outcome);
    void end_if_over(request_id id);
    void note(open_request& r, std::string text);
    void refuse(ports::exchange_id exchange, const refusal& why);
    void tick();

    context& context_;
    membership_service& members_;
    permit_service& permits_;
    claim_service& claims_;
    dispatch::request_sender sender_;
    model::configuration config_;
    std::map<std::string, std::string> owners_; ///< process names, by pool
    ports::http_server server_;
    std::optional<last_answers> last_;
    std::unordered_map<request_id, open_request> open_;
    std::unordered_map<ports::exchange_id, request_id> by_exchange_;
    request_id next_id_ = 1;
    bool stopping_ = false;
    std::function<void()> stopped_;
    struct ended_request
    {
        std::string id;
        std::string key;
        std::vector<std::string> steps;
    };
    std::deque<ended_request> ended_; ///< newest last, bounded
};

} // namespace camphorhitch::daemon
