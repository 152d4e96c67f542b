/// \file
/// Client of the platform's key-value service over the JSON gateway of etcd's v3 API. Implements
/// ports::key_value.
#pragma once

#include "core/names.hpp"
#include "core/result.hpp"
#include "http/client.hpp"
#include "ports/key_value.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace camphorhitch::store
{

/// Kinds of calls, for the counters.
enum class call_kind : std::uint8_t
{
    range,
    check,
    put,
    remove,
    grant,
    keep_alive,
    revoke,
    watch
};

inline constexpr core::name_table<call_kind, 8> call_kind_names{{
    {call_kind::range, "range"},
    {call_kind::check, "check"},
    {call_kind::put, "put"},
    {call_kind::remove, "remove"},
    {call_kind::grant, "grant"},
    {call_kind::keep_alive, "keep_alive"},
    {call_kind::revoke, "revoke"},
    {call_kind::watch, "watch"},
}};

/// Counters of the calls of one kind since the start of the process.
struct call_counts
{
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;       ///< calls without a valid answer
    std::uint64_t rejections = 0;     ///< calls that the service refused
    std::uint64_t bytes_sent = 0;     ///< HTTP bytes, including headers
    std::uint64_t bytes_received = 0; ///< HTTP bytes, including headers; for a watch, while it runs
};

class etcd_store_builder;
struct store_state;

/// A client of one key-value service. The http::client that it uses must outlive it.
class etcd_store
{
public:
    using builder = etcd_store_builder;

    etcd_store(etcd_store&&) noexcept;
    etcd_store& operator=(etcd_store&&) noexcept;
    ~etcd_store();

    /// \return the port, whose functions are valid while the store exists. A callback is never
    /// called inside the function that starts its call.
    ports::key_value port() const;

    /// \return the counters of one kind of call.
    const call_counts& counts(call_kind kind) const;

private:
    friend class etcd_store_builder;
    explicit etcd_store(std::unique_ptr<store_state> state);

    std::unique_ptr<store_state> state_;
};

/// Creates a store. The client and the address are required.
class etcd_store_builder
{
public:
    etcd_store_builder& client(http::client& it);
    /// \param text "ip:port"
    etcd_store_builder& address(std::string text);
    /// Token that is sent in the header field Authorization; empty: none.
    etcd_store_builder& token(std::string text);
    /// Header fields that are added to every call.
    etcd_store_builder& extra_fields(ports::http_fields it);
    /// \param limit timeout of every call except a watch
    etcd_store_builder& timeout(core::millis limit);
    /// \param limit a watch ends when no byte has been received for this long
    etcd_store_builder& watch_idle_timeout(core::millis limit);
    /// \return an error when the address is invalid
    core::result<etcd_store> build() const;

private:
    http::client* client_ = nullptr;
    std::string address_;
    std::string token_;
    ports::http_fields extra_fields_;
    core::millis timeout_{1000};
    core::millis watch_idle_timeout_{30000};
};

} // namespace camphorhitch::store
