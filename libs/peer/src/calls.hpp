/// \file
/// Calls to other entry hosts: one cached connection an address, and a timeout for each call.
#pragma once

#include "codec.hpp"
#include "connection.hpp"
#include "methods.hpp"
#include "tally.hpp"

#include <map>
#include <memory>

namespace camphorhitch::peer
{

/// How a call ended, with its reply when its status is ok.
template <class Reply>
struct call_end
{
    ports::peer_status status = ports::peer_status::unreachable;
    Reply reply{};
};

struct call_settings
{
    std::string token;
    core::millis connect_timeout{0};
    limits bounds;
};

class calls final : private kj::TaskSet::ErrorHandler
{
public:
    calls(kj::AsyncIoContext& io, const call_settings& settings, tally& counts);

    /// Makes one call and hands its end to \p finish, once, on the peer thread.
    template <class Method>
    void make(const std::string& address,
        const typename Method::request& message,
        core::millis timeout,
        std::function<void(call_end<typename Method::reply>)> finish);

private:
    /// What is known of one address.
    struct peer_state
    {
        std::shared_ptr<connection> current;
        kj::Maybe<kj::ForkedPromise<connect_end>> connecting;
        std::size_t open_calls = 0;
    };

    /// A call under way, shared between its reply and its timeout.
    struct open_call
    {
        std::shared_ptr<connection> used;
        std::uint64_t received_before = 0;
    };

    /// A connection to \p address, the cached one or a new one.
    kj::Promise<connect_end> obtain(const std::string& address);
    kj::Promise<connect_end> connect(const std::string& address);
    kj::Promise<connect_end> greet(connect_outcome socket);
    void keep(const std::string& address, const connect_end& end);
    /// Makes sure that no further call uses the connection \p serial.
    void retire(const std::string& address, std::uint64_t serial);
    void release(const std::string& address);
    /// Forgets an address that nothing is known of or asked for.
    void forget_if_idle(const std::string& address);
    void on_timeout(const std::string& address, open_call& call);
    bool take(const std::string& address);
    void count(ports::peer_status status);
    void taskFailed(kj::Exception&& e) override;

    template <class Method>
    kj::Promise<call_end<typename Method::reply>> send(
        connection& to, const typename Method::request& message);

    kj::AsyncIoContext& io_;
    const call_settings& settings_;
    tally& counts_;
    std::map<std::string, peer_state> peers_;
    std::uint64_t serials_ = 0;
    kj::TaskSet tasks_;
};

template <class Method>
void calls::make(const std::string& address,
    const typename Method::request& message,
    core::millis timeout,
    std::function<void(call_end<typename Method::reply>)> finish)
{
    using outcome = call_end<typename Method::reply>;
    if (!take(address))
    {
        finish({});
        return;
    }
    auto call = std::make_shared<open_call>();
    auto reply = obtain(address).then(
        [this, call, message](const connect_end& end) -> kj::Promise<outcome>
        {
            if (end.status != ports::peer_status::ok)
            {
                return outcome{end.status, {}};
            }
            call->received_before = end.made->received();
            call->used = end.made;
            return send<Method>(*end.made, message);
        });
    auto expiry = io_.lowLevelProvider->getTimer()
                      .afterDelay(timeout.count() * kj::MILLISECONDS)
                      .then(
                          [this, address, call]()
                          {
                              on_timeout(address, *call);
                              return outcome{};
                          });
    auto ended = reply.exclusiveJoin(kj::mv(expiry))
                     .catch_([](kj::Exception&&) { return outcome{}; })
                     .then(
                         [this, address, finish = std::move(finish)](outcome end)
                         {
                             release(address);
                             count(end.status);
                             finish(std::move(end));
                         });
    tasks_.add(kj::mv(ended));
}

template <class Method>
kj::Promise<call_end<typename Method::reply>> calls::send(
    connection& to, const typename Method::request& message)
{
    auto request = (to.peer().*Method::begin)(nullptr);
    encode(message, request);
    require_size(request.totalSize(), settings_.bounds.largest_message);
    add(counts_.sent[static_cast<std::size_t>(Method::kind)]);
    return request.send().then(
        [](auto&& reply) {
            return call_end<typename Method::reply>{ports::peer_status::ok, decode(reply)};
        });
}

} // namespace camphorhitch::peer
