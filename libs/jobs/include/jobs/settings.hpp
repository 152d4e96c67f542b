/// \file
/// Settings of the placement of jobs, with their builder.
#pragma once

#include "core/findings.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <variant>

namespace camphorhitch::jobs
{

struct settings
{
    // Documents.
    std::size_t most_jobs = 2500;    ///< in one document
    std::size_t most_bytes = 900000; ///< of one document's text
    std::size_t most_payload = 4096; ///< bytes of one job's payload
    /// Jobs that are over and stay in one document: they are written again with each change of it.
    std::size_t most_over = 64;
    core::millis keep_over{6 * 3600 * 1000}; ///< how long a job that is over is remembered
    core::millis keep_over_least{900000};    ///< the same while there are more than most_over
    core::millis lazy_write{10000};          ///< longest wait of a change that nobody needs soon

    // Leases.
    core::millis lease_ttl{30000};
    core::millis lease_margin{5000};     ///< clock drift and delays on the way
    core::millis report_patience{20000}; ///< no renewal of a task unseen for this long
    core::millis command_retry{1000};    ///< between repeats of a command not seen to work

    // Sizes.
    double processors_quantile = 0.75; ///< of real over declared, that a new job is counted with
    double memory_quantile = 0.95;
    double time_quantile = 0.9;
    double measured_processors_factor = 1.1; ///< headroom over what was measured
    double measured_memory_factor = 1.15;
    core::millis trust_after{30000}; ///< measurements of a younger task don't lower its share
    double most_overcommit = 2.5;    ///< declared sizes on a host over its capacity

    // Order.
    double throttled_share = 0.1;        ///< of its processors that a throttled task takes
    int most_preemptions = 3;            ///< of one job
    core::millis urgent_patience{500};   ///< for a checkpoint, before the task is stopped
    core::millis drain_patience{60000};  ///< for a checkpoint on a host that leaves
    core::millis finish_patience{60000}; ///< a job this near its end may finish in a drain
    core::millis claim_timeout{3000};    ///< room being made that isn't there by then
    core::millis reserve_after{10000};   ///< waiting time after which a host is kept for a job
    int most_reservations = 8;           ///< hosts kept so at once

    // Faults.
    int hosts_to_blame_job = 3;      ///< different hosts that a job fails on before it is set aside
    int most_failures = 5;           ///< of one job in a pool with fewer hosts than that
    int jobs_to_blame_host = 3;      ///< different jobs in a row that fail on a host
    int unproven_starts = 4;         ///< at once on a host that has run nothing yet
    int suspect_starts = 1;          ///< at once on a host whose last job failed
    int starts_at_once = 16;         ///< on any host
    core::millis proven_after{2000}; ///< a task seen running for this long proves its host
    core::millis retry_wait{2000};   ///< of a job that failed, doubled with each failure
    core::millis probe_wait{30000};  ///< of a host set aside, doubled with each failed probe
    core::millis longest_probe_wait{600000};
    double most_hosts_aside = 0.34; ///< share of a pool's hosts
};

/// Builds settings; build() reports all contradictions together.
class settings_builder
{
public:
    settings_builder& lease(core::millis ttl, core::millis margin);
    settings_builder& report_patience(core::millis patience);
    settings_builder& document_bounds(std::size_t jobs, std::size_t bytes, std::size_t payload);
    settings_builder& quantiles(double processors, double memory, double run_time);
    settings_builder& urgent_patience(core::millis patience);
    settings_builder& drain_patience(core::millis checkpoint, core::millis finish);
    settings_builder& throttled_share(double share);
    settings_builder& lazy_write(core::millis longest);
    settings_builder& keep_over(core::millis time);

    /// \return the settings, or everything wrong with them.
    std::variant<settings, core::findings> build() const;

private:
    settings made_;
};

} // namespace camphorhitch::jobs
