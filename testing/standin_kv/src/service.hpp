/// \file
/// The HTTP service of the store: routes, watches, counts, limits and faults.
#pragma once

#include "counts.hpp"
#include "standin_support/faults.hpp"
#include "store.hpp"
#include "wire.hpp"

#include <memory>
#include <vector>

namespace camphorhitch::standin_kv
{

/// Settings of the service.
struct service_settings
{
    std::size_t max_value_bytes = 1u << 20; ///< bytes
    std::size_t history_bytes = 512u << 20; ///< bytes of values kept for replay and the checker
    rate_limits limits;
};

/// The service on its two ports.
class service
{
public:
    service(standin_support::standin& s, service_settings settings);
    service(const service&) = delete;
    service& operator=(const service&) = delete;

    standin_support::listener& port()
    {
        return *port_;
    }

    standin_support::listener& control_port()
    {
        return *control_port_;
    }

private:
    struct watch
    {
        ports::http_request request;
        key_range range;
        std::size_t next = 0; ///< index of the next change in the history
        std::shared_ptr<standin_support::byte_stream> stream;
    };

    standin_support::route counted(call_kind kind,
        std::string path,
        void (service::*handler)(const standin_support::exchange_ptr&));
    void on_range(const standin_support::exchange_ptr& pending);
    void on_transaction(const standin_support::exchange_ptr& pending);
    void on_grant(const standin_support::exchange_ptr& pending);
    void on_keep_alive(const standin_support::exchange_ptr& pending);
    void on_revoke(const standin_support::exchange_ptr& pending);
    void on_watch(const standin_support::exchange_ptr& pending);
    ports::http_response transaction_answer(const transaction& t, verdict v);
    std::int64_t read_revision();

    void tick();
    /// Sends each watch the changes that it has not received yet.
    void send_all_changes();
    void send_changes(watch& w);
    void end_partitioned_watches();

    ports::http_response on_control(const ports::http_request& r);
    ports::http_response stats() const;
    ports::http_response history(const ports::http_request& r) const;

    standin_support::standin& standin_;
    service_settings settings_;
    standin_support::fault_gate gate_;
    standin_support::random_source random_;
    store store_;
    call_counts counts_;
    rate_limiter limiter_;
    std::vector<std::shared_ptr<watch>> watches_;
    double stale_reads_ = 0;
    std::int64_t stale_revisions_ = 20; ///< maximum lag of a stale read, in revisions
    core::millis watch_lag_{0};
    standin_support::listener* port_ = nullptr;
    standin_support::listener* control_port_ = nullptr;
};

} // namespace camphorhitch::standin_kv
