/// \file
/// Calls between entry hosts over Cap'n Proto RPC: fills ports::peer_client, serves
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

/// The kinds of call, in the order of ports::peer_client.
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

/// What happened since the start. Bytes are those of Cap'n Proto messages, without TCP and IP.
struct counters
{
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t messages_in = 0;
    std::uint64_t messages_out = 0;
    std::array<std::uint64_t, call_kind_count> sent{};   ///< calls asked for, by call_kind
    std::array<std::uint64_t, call_kind_count> served{}; ///< calls that came in, by call_kind
    std::uint64_t refused = 0;                           ///< calls that ended so
    std::uint64_t unreachable = 0;  ///< calls that ended so, those in timed_out included
    std::uint64_t timed_out = 0;    ///< calls given up at their timeout
    std::uint64_t not_taken = 0;    ///< calls beyond limits::calls_per_peer
    std::uint64_t connects = 0;     ///< connections begun
    std::uint64_t accepted = 0;     ///< connections taken
    std::uint64_t turned_away = 0;  ///< connections closed at once, beyond the limits
    std::uint64_t wrong_tokens = 0; ///< connections that showed one
    std::uint64_t late_replies = 0; ///< handlers' replies to calls that were over
};

/// Bounds against hostile or runaway input.
struct limits
{
    std::size_t largest_message = 16u << 20;   ///< bytes; both ways
    std::size_t before_token = 64u << 10;      ///< bytes taken from a connection without a token
    std::size_t connections = 64;              ///< taken at once
    std::size_t connections_before_token = 16; ///< of these, without a token yet
    std::size_t calls_per_peer = 4096;         ///< of ours, open to one address
    core::millis token_within{2000};           ///< a connection without one is closed then
};

/// One process's part in the calls. Destroy it on the scheduler's thread and after everything that
/// may still send to a target: its listening socket closes with it, and a refused connection is
/// proof to the others that this process is gone. Afterwards no callback or handler is called.
class network
{
public:
    class builder;
    struct parts;

    explicit network(std::unique_ptr<parts> p);
    ~network();
    network(const network&) = delete;
    network& operator=(const network&) = delete;

    /// Its functions are called on the scheduler's thread, and their callbacks run there.
    const ports::peer_client& client() const;

    /// \return the port in use, also when 0 was asked for.
    std::uint16_t port() const;

    /// May be called from any thread.
    peer::counters counters() const;

private:
    std::unique_ptr<parts> parts_;
};

class network::builder
{
public:
    /// \param address "ip:port"; port 0 takes a free one.
    builder& listen(std::string address);
    /// \param text the secret that all entry hosts share.
    builder& token(std::string text);
    builder& scheduler(ports::scheduler s);
    builder& handlers(ports::peer_handlers h);
    /// Time that a call of \p kind may take; a permit's request adds its own time_left to it.
    builder& timeout(call_kind kind, core::millis t);
    /// Time that a new connection may take, its token included.
    builder& connect_timeout(core::millis t);
    builder& limits(peer::limits l);

    /// Binds, and starts the thread.
    /// \return the network, or every reason why it can't start.
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
