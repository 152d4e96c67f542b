/// \file
/// Calls from other entry hosts: connections taken, the token checked, handlers asked.
#pragma once

#include "message_stream.hpp"
#include "methods.hpp"
#include "tally.hpp"

#include <tuple>
#include <unordered_map>

namespace camphorhitch::peer
{

/// Names one call that came in; never used twice.
using served_id = std::uint64_t;

/// Hands a call over to the decisions' thread. Its reply comes back through service::reply().
struct handler_calls
{
    template <class Method>
    using handler = std::function<void(served_id, typename Method::request)>;

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

struct service_settings
{
    std::string token;
    limits bounds;
    handler_calls handlers;
};

class service final : private kj::TaskSet::ErrorHandler
{
public:
    service(kj::AsyncIoContext& io, const service_settings& settings, tally& counts);
    ~service();

    /// Takes connections for as long as the service lives.
    /// \param listening stays open and owned by the caller.
    void start(int listening);

    /// Ends a call with the handler's reply, unless it is over.
    template <class Reply>
    void reply(served_id id, Reply message);

    /// \return the reply that the handler will give. Called by the served object.
    template <class Method>
    kj::Promise<kj::Own<typename Method::reply>> ask(typename Method::request message);

    bool right_token(capnp::Data::Reader shown) const;
    /// Lifts the bounds that hold before the token.
    void trust(message_stream& messages);
    tally& counts();
    std::size_t largest_message() const;

private:
    struct session;

    template <class Reply>
    using waiting = std::unordered_map<served_id, kj::Own<kj::PromiseFulfiller<kj::Own<Reply>>>>;

    kj::Promise<void> take_connections(kj::ConnectionReceiver& listener);
    void take(kj::Own<kj::AsyncIoStream> io);
    void taskFailed(kj::Exception&& e) override;

    kj::AsyncIoContext& io_;
    const service_settings& settings_;
    tally& counts_;
    served_id last_id_ = 0;
    std::tuple<waiting<ports::ack>,
        waiting<ports::heartbeat>,
        waiting<ports::permit_reply>,
        waiting<ports::held_reply>,
        waiting<ports::claim_reply>,
        waiting<ports::slot_pull_reply>,
        waiting<ports::explain_reply>>
        waiting_;
    std::size_t open_ = 0;
    std::size_t untrusted_ = 0;
    kj::Own<kj::ConnectionReceiver> listener_;
    kj::TaskSet tasks_;
};

template <class Reply>
void service::reply(served_id id, Reply message)
{
    auto& table = std::get<waiting<Reply>>(waiting_);
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
kj::Promise<kj::Own<typename Method::reply>> service::ask(typename Method::request message)
{
    using reply_type = typename Method::reply;
    const served_id id = ++last_id_;
    auto paf = kj::newPromiseAndFulfiller<kj::Own<reply_type>>();
    auto& table = std::get<waiting<reply_type>>(waiting_);
    table.emplace(id, kj::mv(paf.fulfiller));
    add(counts_.served[static_cast<std::size_t>(Method::kind)]);
    std::get<handler_calls::handler<Method>>(settings_.handlers.all)(id, std::move(message));
    // The caller may give up first; the handler's reply then finds nobody.
    return paf.promise.attach(kj::defer([&table, id]() { table.erase(id); }));
}

} // namespace camphorhitch::peer
