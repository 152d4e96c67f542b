/// \file
/// Calls to other entry hosts, with one cached connection for each address and a timeout for each
/// call.
#pragma once

#include "atomic_counters.hpp"
#include "codec.hpp"
#include "connection.hpp"
#include "methods.hpp"

#include <map>
#include <memory>

namespace camphorhitch::peer
{

/// Result of a call; the reply is valid when the status is ok.
template <class Reply>
struct call_result
{
    ports::peer_status status = ports::peer_status::unreachable;
    Reply reply{};
};

/// Settings of the calls to other entry hosts.
struct call_settings
{
    std::string token;
    core::millis connect_timeout{0};
    limits bounds;
};

/// Makes calls to other entry hosts, on the peer thread.
class calls final : private kj::TaskSet::ErrorHandler
{
public:
    calls(kj::AsyncIoContext& io, const call_settings& settings, atomic_counters& counts);

    /// Makes one call and passes its result to \p finish, once, on the peer thread.
    template <class Method>
    void make(const std::string& address,
        const typename Method::request& message,
        core::millis timeout,
        std::function<void(call_result<typename Method::reply>)> finish);

private:
    /// State of one address.
    struct peer_state
    {
        std::shared_ptr<connection> current;
        kj::Maybe<kj::ForkedPromise<connect_result>> connecting;
        std::size_t open_calls = 0;
    };

    /// A call in flight, shared between its reply and its timeout.
    struct open_call
    {
        std::shared_ptr<connection> used;
        std::uint64_t received_before = 0;
    };

    /// \return a connection to \p address, either the cached one or a new one.
    kj::Promise<connect_result> get_connection(const std::string& address);
    kj::Promise<connect_result> connect(const std::string& address);
    kj::Promise<connect_result> authenticate_connection(socket_result socket);
    void store_connection(const std::string& address, const connect_result& end);
    /// Ensures that no further call uses the connection \p serial.
    void retire_connection(const std::string& address, std::uint64_t serial);
    /// Counts a call to \p address as ended.
    void end_call(const std::string& address);
    /// Removes the state of an address without a connection, a connection attempt or calls.
    void remove_if_idle(const std::string& address);
    void on_timeout(const std::string& address, open_call& call);
    /// Counts a new call to \p address.
    /// \return false when the address has reached the limit of calls in flight.
    bool try_begin_call(const std::string& address);
    void count_failure(ports::peer_status status);
    void taskFailed(kj::Exception&& e) override;

    template <class Method>
    kj::Promise<call_result<typename Method::reply>> send(
        connection& to, const typename Method::request& message);

    kj::AsyncIoContext& io_;
    const call_settings& settings_;
    atomic_counters& counts_;
    std::map<std::string, peer_state> peers_;
    std::uint64_t last_serial_ = 0;
    kj::TaskSet tasks_;
};

template <class Method>
void calls::make(const std::string& address,
    const typename Method::request& message,
    core::millis timeout,
    std::function<void(call_result<typename Method::reply>)> finish)
{
    using outcome = call_result<typename Method::reply>;
    if (!try_begin_call(address))
    {
        finish({});
        return;
    }
    auto call = std::make_shared<open_call>();
    auto reply = get_connection(address).then(
        [this, call, message](const connect_result& end) -> kj::Promise<outcome>
        {
            if (end.status != ports::peer_status::ok)
            {
                return outcome{end.status, {}};
            }
            call->received_before = end.established->received();
            call->used = end.established;
            return send<Method>(*end.established, message);
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
                             end_call(address);
                             count_failure(end.status);
                             finish(std::move(end));
                         });
    tasks_.add(kj::mv(ended));
}

template <class Method>
kj::Promise<call_result<typename Method::reply>> calls::send(
    connection& to, const typename Method::request& message)
{
    auto request = (to.peer().*Method::create_request)(nullptr);
    encode(message, request);
    check_size(request.totalSize(), settings_.bounds.max_message_bytes);
    add(counts_.sent[static_cast<std::size_t>(Method::kind)]);
    return request.send().then(
        [](auto&& reply) {
            return call_result<typename Method::reply>{ports::peer_status::ok, decode(reply)};
        });
}

} // namespace camphorhitch::peer
