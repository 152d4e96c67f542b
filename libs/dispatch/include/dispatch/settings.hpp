/// \file
/// Settings of the two sides of permits, dispatcher and sender. Both sides must use the same values
/// of permit_ttl, result_grace and max_run_after_disconnect.
#pragma once

#include "claims/executor.hpp"
#include "core/findings.hpp"
#include "core/time.hpp"
#include "model/config.hpp"
#include "ports/peer.hpp"

namespace camphorhitch::dispatch
{

/// Number of request classes.
inline constexpr std::size_t class_count = 3;

/// \return the index of \p klass in arrays by class. The quickest class comes first.
constexpr std::size_t index_of(ports::request_class klass)
{
    return static_cast<std::size_t>(klass);
}

inline constexpr core::name_table<ports::request_class, class_count> request_class_names{{
    {ports::request_class::quick, "quick"},
    {ports::request_class::normal, "normal"},
    {ports::request_class::long_running, "long"},
}};

/// \return the limits of class \p klass in \p pool.
const model::class_limits& limits_of(const model::pool_config& pool, ports::request_class klass);

/// When a failing target is ejected, so that it does not attract load, and how it returns.
struct health_settings
{
    int failures_in_a_row = 5;  ///< number of consecutive failures that ejects a target
    double failure_ratio = 0.5; ///< share of failures among recent requests that ejects a target
    int min_samples = 20;       ///< number of requests before failure_ratio applies
    /// Mean failure ratio of the other targets from which on no target is ejected, because the
    /// fault is not the target's own.
    double pool_failure_ratio = 0.5;
    double max_ejected_share = 0.5;         ///< maximum share of the serving targets
    core::millis first_probe_delay{500};    ///< from the ejection to the first probe
    core::millis max_probe_interval{30000}; ///< maximum time between two probes; the time doubles
    /// Number of answers after its return from which on a target counts as stable, so that its next
    /// ejection starts with first_probe_delay again.
    int stable_after_answers = 50;
};

/// Settings of the dispatcher, the owner's side.
struct dispatcher_settings
{
    core::millis permit_ttl{1000};   ///< a sender does not use an older permit
    core::millis result_grace{5000}; ///< a sender waits that long past a request's deadline
    core::millis clock_margin{500};  ///< covers the difference between two hosts' clocks
    /// How long a target may go on running a request after its connection was lost.
    core::millis max_run_after_disconnect{3000};
    /// How long the answer to a completed permit request is kept for repeats.
    core::millis closed_request_retention{3000};
    /// A target in another zone is chosen only if its share of slots in use is lower by this much.
    double zone_penalty = 0.25;
    double aged_share = 0.5; ///< share of its deadline after which a waiting request has aged
    double aged_slots = 0.1; ///< share of the slots up to which a class's aged requests go first
    double retry_burst = 20; ///< maximum number of retries in the token bucket
    double retries_per_second = 1;     ///< refill rate beside the pool's retry ratio
    core::millis min_retry_after{100}; ///< bounds of the Retry-After computed from waits
    core::millis max_retry_after{10000};
    core::millis not_ready_retry_after{50};   ///< Retry-After while a takeover is in progress
    core::millis no_target_retry_after{1000}; ///< Retry-After while no host takes requests
    health_settings health;
};

/// Settings of the sender, the entry host's side.
struct sender_settings
{
    core::millis permit_ttl{1000};               ///< same value as the dispatcher's
    core::millis result_grace{5000};             ///< same value as the dispatcher's
    core::millis max_run_after_disconnect{3000}; ///< same value as the dispatcher's
    core::millis connect_timeout{500};
    /// Delay before an owner or holder is called again. It doubles up to max_retry_delay.
    core::millis first_retry_delay{20};
    core::millis max_retry_delay{500};
    core::millis retry_after{1000}; ///< Retry-After for callers if no rule gave a time
    /// A call of an idempotent request is cut and sent again when it takes longer than nearly all
    /// other calls: longer than the mean run time plus this number of mean deviations.
    double timeout_deviations = 20;
    /// Lower bound of that time-out. Below it, a pause of either process would look like a loss.
    core::millis min_early_timeout{250};
    /// Number of measured runs before that time-out applies.
    std::uint64_t min_timeout_samples = 100;
    int max_attempts = 3; ///< maximum number of sends of one request, callers' retries included
    std::size_t answer_kept_bytes = 16384; ///< larger answers are stored without body, in bytes
    /// Its permit_ttl must cover the longest wait for a permit and be equal to the holders' value.
    /// Otherwise requests with a key that wait long are never sent.
    claims::executor_settings claims;
};

/// \return how long after a request's deadline its permit may still be in use at the target. The
/// request may be sent late (permit_ttl, clock_margin), may be left to finish (result_grace), and
/// may run on after its connection was lost (max_run_after_disconnect).
core::millis use_after_deadline(const dispatcher_settings& settings);

/// \return one finding for each invalid value of \p settings, in a document named \p name.
core::findings check(const dispatcher_settings& settings, const std::string& name);

} // namespace camphorhitch::dispatch
