/// \file
/// The platform's key-value service over the JSON gateway of etcd's v3 interface. Fills
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

/// What calls of one kind have cost since the start.
struct call_counts
{
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;       ///< ended without an answer that could be read
    std::uint64_t rejections = 0;     ///< the service refused
    std::uint64_t bytes_sent = 0;     ///< of HTTP, headers included
    std::uint64_t bytes_received = 0; ///< likewise; a watch's are counted as they come
};

class etcd_store_builder;
struct store_state;

/// Calls one key-value service through an http::client, which must outlive it.
class etcd_store
{
public:
    using builder = etcd_store_builder;

    etcd_store(etcd_store&&) noexcept;
    etcd_store& operator=(etcd_store&&) noexcept;
    ~etcd_store();

    /// The port struct; its functions are good while the store lives. Callbacks never run inside
    /// the function that starts their call.
    ports::key_value port() const;

    const call_counts& counts(call_kind kind) const;

private:
    friend class etcd_store_builder;
    explicit etcd_store(std::unique_ptr<store_state> state);

    std::unique_ptr<store_state> state_;
};

class etcd_store_builder
{
public:
    etcd_store_builder& client(http::client& it);
    /// \param text "ip:port"
    etcd_store_builder& address(std::string text);
    /// Sent as the field Authorization; empty: none.
    etcd_store_builder& token(std::string text);
    /// Fields that every call carries.
    etcd_store_builder& extra_fields(ports::http_fields it);
    /// \param limit milliseconds for each call but a watch
    etcd_store_builder& timeout(core::millis limit);
    /// \param limit milliseconds after which a watch without a byte counts as lost
    etcd_store_builder& longest_watch_silence(core::millis limit);
    core::result<etcd_store> build() const;

private:
    http::client* client_ = nullptr;
    std::string address_;
    std::string token_;
    ports::http_fields extra_fields_;
    core::millis timeout_{1000};
    core::millis longest_watch_silence_{30000};
};

} // namespace camphorhitch::store
