/// \file
/// Implementation of etcd_store: open calls, open watches and the counters.
#pragma once

#include "store/etcd_store.hpp"
#include "wire.hpp"

#include <string_view>
#include <unordered_map>

namespace camphorhitch::store
{

/// Settings of a store; see etcd_store_builder.
struct settings
{
    std::string address;
    ports::http_fields fields;
    core::millis timeout{0};
    core::millis watch_idle_timeout{0};
};

/// An open watch.
struct watch_state
{
    ports::call_id call = 0;
    std::string line;                ///< received part of an incomplete line
    std::size_t body_size = 0;       ///< bytes of the request's body
    std::uint64_t counted_bytes = 0; ///< received bytes that are already included in the counters
    std::function<void(std::vector<ports::kv_event>)> on_events;
    std::function<void()> on_end;
};

/// State of a store.
struct store_state
{
    using answer_fn = std::function<void(ports::kv_status, const ports::http_outcome&)>;

    store_state(http::client& through, settings s);
    ~store_state();
    store_state(const store_state&) = delete;
    store_state& operator=(const store_state&) = delete;

    /// Sends a call. Passes its status, which depends on its effect, and its outcome to \p then.
    void call(call_kind kind, const char* path, std::string body, effect what, answer_fn then);
    ports::watch_id watch(const std::string& prefix, ports::revision from, watch_state made);
    void cancel_watch(ports::watch_id id);

    call_counts& counts_of(call_kind kind);

private:
    ports::http_call make_call(const char* path, std::string body) const;
    void count_end(call_kind kind, ports::kv_status status, const ports::http_outcome& outcome);
    void on_chunk(ports::watch_id id, std::string_view chunk);
    void on_stream_end(ports::watch_id id, const ports::http_outcome& outcome);
    void on_line(ports::watch_id id, const std::string& line);
    void end_watch(ports::watch_id id);

    http::client& client_;
    ports::http_client port_;
    const settings settings_;
    std::array<call_counts, call_kind_names.size()> counts_;
    std::uint64_t last_call_ = 0;
    std::unordered_map<std::uint64_t, ports::call_id> calls_;
    ports::watch_id last_watch_ = 0;
    std::unordered_map<ports::watch_id, watch_state> watches_;
};

} // namespace camphorhitch::store
