/// \file
/// Calls between entry hosts over Cap'n Proto RPC: implements ports::peer_client and calls
/// ports::peer_handlers.
#pragma once

#include "core/names.hpp"
#include "core/result.hpp"
#include "core/time.hpp"
#include "ports/peer.hpp"
#include "ports/scheduler.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace camphorhitch::peer
{

/// Kinds of calls, in the order of ports::peer_client.
enum class call_kind : std::uint8_t
{
    beat,
    request_permit,
    return_permits,
    query_held,
    claim,
    finish_claim,
    copy_claim,
    pull_slots,
    explain
};

inline constexpr core::name_table<call_kind, 9> call_kind_names{{
    {call_kind::beat, "beat"},
    {call_kind::request_permit, "request_permit"},
    {call_kind::return_permits, "return_permits"},
    {call_kind::query_held, "query_held"},
    {call_kind::claim, "claim"},
    {call_kind::finish_claim, "finish_claim"},
    {call_kind::copy_claim, "copy_claim"},
    {call_kind::pull_slots, "pull_slots"},
    {call_kind::explain, "explain"},
}};

inline constexpr std::size_t call_kind_count = call_kind_names.size();

/// Totals since the start of the process. Bytes are those of Cap'n Proto messages, without TCP and
/// IP headers.
struct counters
{
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t messages_in = 0;
    std::uint64_t messages_out = 0;
    std::array<std::uint64_t, call_kind_count> sent{};   ///< outgoing calls, by call_kind
    std::array<std::uint64_t, call_kind_count> served{}; ///< incoming calls, by call_kind
    std::uint64_t refused = 0;                           ///< outgoing calls that ended as refused
    /// Outgoing calls that ended as unreachable, including those in timed_out.
    std::uint64_t unreachable = 0;
    std::uint64_t timed_out = 0; ///< outgoing calls that ended at their timeout
    /// Outgoing calls rejected because of limits::max_calls_per_peer.
    std::uint64_t calls_over_limit = 0;
    std::uint64_t connection_attempts = 0;  ///< connection attempts to other hosts
    std::uint64_t connections_accepted = 0; ///< accepted connections
    /// Incoming connections closed at once because of the limits.
    std::uint64_t connections_rejected = 0;
    std::uint64_t wrong_tokens = 0; ///< incoming connections that presented a wrong token
    std::uint64_t late_replies = 0; ///< replies of handlers to calls that had already ended
};

/// Bounds on the resources that faulty or hostile peers can use.
struct limits
{
    std::size_t max_message_bytes = 16u << 20; ///< bytes, in both directions
    /// Bytes accepted from a connection that has not authenticated.
    std::size_t max_bytes_before_token = 64u << 10;
    std::size_t max_connections = 64; ///< open incoming connections
    /// Number of these that have not authenticated.
    std::size_t max_unauthenticated_connections = 16;
    std::size_t max_calls_per_peer = 4096; ///< outgoing calls in flight to one address
    core::millis token_timeout{2000}; ///< time after which an unauthenticated connection is closed
};

/// Makes and answers the calls of one process. Must be destroyed on the scheduler's thread, after
/// everything that may still send requests to a target: its listening socket closes with it, and
/// the other members take a refused connection as proof that this process has ended. After the
/// destruction no callback or handler is called.
class network
{
public:
    class builder;
    struct parts;

    explicit network(std::unique_ptr<parts> p);
    ~network();
    network(const network&) = delete;
    network& operator=(const network&) = delete;

    /// \return the client. Its functions must be called on the scheduler's thread, and their
    ///   callbacks run there.
    const ports::peer_client& client() const;

    /// \return the port in use, also when the network was built with port 0.
    std::uint16_t port() const;

    /// May be called on any thread.
    peer::counters counters() const;

private:
    std::unique_ptr<parts> parts_;
};

/// Builds a network. The address, the token, the scheduler and all handlers must be set.
class network::builder
{
public:
    /// \param address "ip:port"; port 0 selects a free port.
    builder& listen(std::string address);
    /// \param text the secret that all entry hosts share.
    builder& token(std::string text);
    /// Sets the scheduler on whose thread callbacks and handlers run.
    builder& scheduler(ports::scheduler s);
    /// Sets the handlers of incoming calls.
    builder& handlers(ports::peer_handlers h);
    /// Sets the timeout of calls of \p kind. The timeout of a permit request is this time plus its
    /// time_left.
    builder& timeout(call_kind kind, core::millis t);
    /// Sets the timeout of a connection attempt, including the authentication.
    builder& connect_timeout(core::millis t);
    /// Sets the bounds on the resources that peers can use.
    builder& limits(peer::limits l);

    /// Opens the listening socket and starts the peer thread.
    /// \return the network, or an error: all missing parts, or the reason why the address can't be
    ///   used.
    core::result<std::unique_ptr<network>> build();

private:
    std::string address_;
    std::string token_;
    ports::scheduler scheduler_;
    ports::peer_handlers handlers_;
    std::map<call_kind, core::millis> timeouts_;
    core::millis connect_timeout_{500};
    peer::limits limits_;
};

} // namespace camphorhitch::peer
