/// \file
/// Handles calls from other entry hosts: accepts connections, checks their token and calls the
/// handlers.
#pragma once

#include "atomic_counters.hpp"
#include "message_stream.hpp"
#include "methods.hpp"

#include <tuple>
#include <unordered_map>

namespace camphorhitch::peer
{

/// Identifies one incoming call; never reused.
using incoming_call_id = std::uint64_t;

/// Passes a call to the decision thread. The reply is returned with service::reply().
struct handler_calls
{
    template <class Method>
    using handler = std::function<void(incoming_call_id, typename Method::request)>;

    std::tuple<handler<beat_method>,
        handler<request_permit_method>,
        handler<return_permits_method>,
        handler<query_held_method>,
        handler<claim_method>,
        handler<finish_claim_method>,
        handler<copy_claim_method>,
        handler<pull_slots_method>,
        handler<explain_method>>
        all;
};

/// Settings of the calls from other entry hosts.
struct service_settings
{
    std::string token;
    limits bounds;
    handler_calls handlers;
};

/// Accepts connections and answers calls, on the peer thread.
class service final : private kj::TaskSet::ErrorHandler
{
public:
    service(kj::AsyncIoContext& io, const service_settings& settings, atomic_counters& counts);
    ~service();

    /// Accepts connections until the service is destroyed.
    /// \param listening a listening socket; it stays open and owned by the caller.
    void start(int listening);

    /// Ends a call with the handler's reply. Has no effect when the call has already ended.
    template <class Reply>
    void reply(incoming_call_id id, Reply message);

    /// \return a promise of the handler's reply. Called by the RPC objects.
    template <class Method>
    kj::Promise<kj::Own<typename Method::reply>> call_handler(typename Method::request message);

    bool is_correct_token(capnp::Data::Reader presented) const;
    /// Removes the limits that apply before the authentication.
    void mark_authenticated(message_stream& messages);
    atomic_counters& counts();
    std::size_t max_message_bytes() const;

private:
    struct session;

    template <class Reply>
    using pending_calls =
        std::unordered_map<incoming_call_id, kj::Own<kj::PromiseFulfiller<kj::Own<Reply>>>>;

    kj::Promise<void> accept_connections(kj::ConnectionReceiver& listener);
    void open_session(kj::Own<kj::AsyncIoStream> io);
    void taskFailed(kj::Exception&& e) override;

    kj::AsyncIoContext& io_;
    const service_settings& settings_;
    atomic_counters& counts_;
    incoming_call_id last_id_ = 0;
    std::tuple<pending_calls<ports::ack>,
        pending_calls<ports::heartbeat>,
        pending_calls<ports::permit_reply>,
        pending_calls<ports::held_reply>,
        pending_calls<ports::claim_reply>,
        pending_calls<ports::slot_pull_reply>,
        pending_calls<ports::explain_reply>>
        pending_;
    std::size_t open_sessions_ = 0;
    std::size_t unauthenticated_sessions_ = 0;
    kj::Own<kj::ConnectionReceiver> listener_;
    kj::TaskSet tasks_;
};

template <class Reply>
void service::reply(incoming_call_id id, Reply message)
{
    auto& table = std::get<pending_calls<Reply>>(pending_);
    const auto it = table.find(id);
    if (it == table.end())
    {
        add(counts_.late_replies);
        return;
    }
    auto fulfiller = kj::mv(it->second);
    table.erase(it);
    fulfiller->fulfill(kj::heap<Reply>(std::move(message)));
}

template <class Method>
kj::Promise<kj::Own<typename Method::reply>> service::call_handler(typename Method::request message)
{
    using reply_type = typename Method::reply;
    const incoming_call_id id = ++last_id_;
    auto paf = kj::newPromiseAndFulfiller<kj::Own<reply_type>>();
    auto& table = std::get<pending_calls<reply_type>>(pending_);
    table.emplace(id, kj::mv(paf.fulfiller));
    add(counts_.served[static_cast<std::size_t>(Method::kind)]);
    std::get<handler_calls::handler<Method>>(settings_.handlers.all)(id, std::move(message));
    // The caller may cancel the call first; the handler's reply is then dropped.
    return paf.promise.attach(kj::defer([&table, id]() { table.erase(id); }));
}

} // namespace camphorhitch::peer
