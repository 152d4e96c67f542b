#include "wire_metrics.hpp"

namespace camphorhitch::daemon
{

wire_metrics::wire_metrics(ports::telemetry to) : to_(std::move(to))
{
}

void wire_metrics::count_increase(
    const std::string& name, const ports::metric_labels& labels, std::uint64_t total)
{
    auto& last = last_[{name, labels}];
    to_.count(name, labels, static_cast<double>(total - last));
    last = total;
}

void wire_metrics::update(
    const store::etcd_store& store, const peer::counters& peers, const platform::counters& platform)
{
    store::call_counts all;
    for (const auto& [kind, name] : store::call_kind_names)
    {
        const auto& one = store.counts(kind);
        const ports::metric_labels labels{{"kind", std::string(name)}};
        count_increase("camphorhitch_store_calls_total", labels, one.calls);
        count_increase("camphorhitch_store_failures_total", labels, one.failures);
        all.bytes_sent += one.bytes_sent;
        all.bytes_received += one.bytes_received;
    }
    count_increase("camphorhitch_store_bytes_total", {{"direction", "out"}}, all.bytes_sent);
    count_increase("camphorhitch_store_bytes_total", {{"direction", "in"}}, all.bytes_received);
    for (const auto& [kind, name] : peer::call_kind_names)
    {
        const auto i = static_cast<std::size_t>(kind);
        const std::string kind_name(name);
        count_increase("camphorhitch_peer_calls_total",
            {{"kind", kind_name}, {"direction", "out"}},
            peers.sent[i]);
        count_increase("camphorhitch_peer_calls_total",
            {{"kind", kind_name}, {"direction", "in"}},
            peers.served[i]);
    }
    count_increase("camphorhitch_peer_bytes_total", {{"direction", "out"}}, peers.bytes_out);
    count_increase("camphorhitch_peer_bytes_total", {{"direction", "in"}}, peers.bytes_in);
    count_increase("camphorhitch_peer_timeouts_total", {}, peers.timed_out);
    count_increase("camphorhitch_platform_calls_total", {}, platform.calls);
    count_increase("camphorhitch_platform_failures_total", {}, platform.failures);
    count_increase("camphorhitch_platform_bytes_total", {{"direction", "out"}}, platform.bytes_out);
    count_increase("camphorhitch_platform_bytes_total", {{"direction", "in"}}, platform.bytes_in);
}

} // namespace camphorhitch::daemon
