/// \file
/// What this process has cost on the wire, as counters of /metrics: calls and bytes to the
/// key-value service, the peers and the platform.
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

/// Brings the adapters' own totals into the telemetry's counters.
class wire_metrics
{
public:
    explicit wire_metrics(ports::telemetry to);

    /// Counts what came since the last call.
    void update(const store::etcd_store& store,
        const peer::counters& peers,
        const platform::counters& platform);

private:
    void raise(const std::string& name, const ports::metric_labels& labels, std::uint64_t total);

    ports::telemetry to_;
    std::map<std::pair<std::string, ports::metric_labels>, std::uint64_t> last_;
};

} // namespace camphorhitch::daemon
