/// \file
/// Settings of the placement of jobs, with their builder.
#pragma once

#include "core/findings.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <variant>

namespace camphorhitch::jobs
{

/// Settings of the placement of jobs and of their documents.
struct settings
{
    // Documents.
    std::size_t max_jobs = 2500;             ///< in one document
    std::size_t max_document_bytes = 900000; ///< of one document's text
    std::size_t max_payload_bytes = 4096;    ///< of one job
    /// Terminal jobs that may stay in one document before they are removed earlier. Each change of
    /// the document writes them again.
    std::size_t max_terminal_jobs = 64;
    core::millis terminal_job_retention{6 * 3600 * 1000}; ///< how long a terminal job is kept
    /// The same while a document holds more than max_terminal_jobs.
    core::millis min_terminal_job_retention{900000};
    /// Maximum delay of a change that need not be stored soon.
    core::millis lazy_write_delay{10000};

    // Leases.
    core::millis lease_ttl{30000};
    core::millis lease_margin{5000}; ///< covers clock drift and network delays
    /// A task without a report for this long is unresponsive, and its lease is not renewed.
    core::millis report_timeout{20000};
    /// Time before a command without a visible effect is repeated.
    core::millis command_retry_delay{1000};

    // Sizes. The quantiles apply to the measured ratios of real to declared values, by which a new
    // job's size is estimated.
    double processors_quantile = 0.75;
    double memory_quantile = 0.95;
    double time_quantile = 0.9;
    double measured_processors_factor = 1.1; ///< headroom over the measured use
    double measured_memory_factor = 1.15;
    /// Measurements of a younger task don't reduce the resources that are counted for it.
    core::millis measurement_trust_delay{30000};
    double max_overcommit = 2.5; ///< sum of the declared sizes on a host, relative to its capacity

    // Preemption and order.
    double throttled_share = 0.1; ///< share of its processors that a throttled task uses
    int max_preemptions = 3;      ///< of one job
    /// Time for a checkpoint before a preempted task is stopped.
    core::millis preemption_checkpoint_timeout{500};
    core::millis drain_checkpoint_timeout{60000}; ///< time for a checkpoint on a draining host
    /// A job whose predicted end is within this time may finish during a drain.
    core::millis drain_finish_window{60000};
    /// Time after which a capacity claim is removed when its capacity has not become free.
    core::millis capacity_claim_timeout{3000};
    /// Waiting time after which a host is reserved for a job.
    core::millis reservation_delay{10000};
    int max_reservations = 8; ///< hosts reserved at the same time

    // Faults.
    /// Different hosts on which a job fails before the job is set aside.
    int max_failed_hosts_per_job = 3;
    /// Failures of one job before it is set aside, in a pool with fewer hosts than
    /// max_failed_hosts_per_job.
    int max_failures_per_job = 5;
    /// Different jobs that fail in a row on a host before the host is set aside.
    int max_failed_jobs_per_host = 3;
    /// Unproven tasks at once on a host that has run nothing yet.
    int max_starts_on_unproven_host = 4;
    int max_starts_on_suspect_host = 1; ///< unproven tasks at once on a host whose last job failed
    /// Unproven tasks at once on a proven host; no host gets more.
    int max_starts_on_proven_host = 16;
    core::millis min_proof_run_time{2000}; ///< a task that has run for this long proves its host
    core::millis retry_delay{2000};        ///< of a job that failed; doubled with each failure
    /// Time until a host that is set aside is probed; doubled with each failed probe.
    core::millis probe_delay{30000};
    core::millis max_probe_delay{600000};
    double max_set_aside_share = 0.34; ///< share of a pool's hosts that may be set aside at once
};

/// Builds settings. build() reports all contradictions together.
class settings_builder
{
public:
    settings_builder& lease(core::millis ttl, core::millis margin);
    settings_builder& report_timeout(core::millis timeout);
    settings_builder& document_bounds(std::size_t jobs, std::size_t bytes, std::size_t payload);
    settings_builder& quantiles(double processors, double memory, double run_time);
    settings_builder& preemption_checkpoint_timeout(core::millis timeout);
    settings_builder& drain_timeouts(core::millis checkpoint, core::millis finish);
    settings_builder& throttled_share(double share);
    settings_builder& lazy_write_delay(core::millis delay);
    settings_builder& terminal_job_retention(core::millis time);

    /// \return the settings, or all findings about them.
    std::variant<settings, core::findings> build() const;

private:
    settings settings_;
};

} // namespace camphorhitch::jobs
