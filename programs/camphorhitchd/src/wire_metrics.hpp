/// \file
/// Counters of this process's network traffic for /metrics: calls and bytes to the key-value
/// service, the peers and the platform.
#pragma once

#include "peer/network.hpp"
#include "platform/platform_client.hpp"
#include "ports/telemetry.hpp"
#include "store/etcd_store.hpp"

#include <map>
#include <string>
#include <utility>

namespace camphorhitch::daemon
{

/// Transfers the adapters' totals to the telemetry's counters.
class wire_metrics
{
public:
    explicit wire_metrics(ports::telemetry to);

    /// Adds the increase since the last call to the counters.
    void update(const store::etcd_store& store,
        const peer::counters& peers,
        const platform::counters& platform);

private:
    void count_increase(
        const std::string& name, const ports::metric_labels& labels, std::uint64_t total);

    ports::telemetry to_;
    std::map<std::pair<std::string, ports::metric_labels>, std::uint64_t> last_;
};

} // namespace camphorhitch::daemon
