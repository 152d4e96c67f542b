/// \file
/// Settings of both sides of permits. The two sides must agree on permit_ttl, result_grace and
/// silent_linger.
#pragma once

#include "claims/executor.hpp"
#include "core/findings.hpp"
#include "core/time.hpp"
#include "model/config.hpp"
#include "ports/peer.hpp"

namespace camphorhitch::dispatch
{

inline constexpr std::size_t class_count = 3;

/// \return the place of \p klass in arrays by class; the quickest class comes first.
constexpr std::size_t index_of(ports::request_class klass)
{
    return static_cast<std::size_t>(klass);
}

inline constexpr core::name_table<ports::request_class, class_count> request_class_names{{
    {ports::request_class::quick, "quick"},
    {ports::request_class::normal, "normal"},
    {ports::request_class::long_running, "long"},
}};

const model::class_limits& limits_of(const model::pool_config& pool, ports::request_class klass);

/// When a target that fails is kept from attracting load, and how it comes back.
struct health_settings
{
    int failures_in_a_row = 5;         ///< that eject a target
    double failure_ratio = 0.5;        ///< of recent requests, that ejects a target
    int least_samples = 20;            ///< before failure_ratio counts
    double pool_failure_ratio = 0.5;   ///< of the other targets: the fault is not the target's own
    double most_ejected = 0.5;         ///< share of the serving targets
    core::millis first_probe{500};     ///< from ejection to its first probe
    core::millis longest_probe{30000}; ///< most time between two probes; the time doubles
    int steady_after = 50; ///< answers since its return after which probes start short again
};

struct dispatcher_settings
{
    core::millis permit_ttl{1000};    ///< a sender doesn't use an older permit
    core::millis result_grace{5000};  ///< a sender may wait that long past a request's deadline
    core::millis clock_margin{500};   ///< for differences between two hosts' clocks
    core::millis silent_linger{3000}; ///< a target may run a request on after its call was cut
    core::millis answer_memory{3000}; ///< an ask is known again after its permit was returned
    double zone_penalty = 0.25;       ///< load share that another zone must be better by
    double aged_share = 0.5;       ///< of a class's deadline in the queue, after which it has aged
    double aged_slots = 0.1;       ///< share of the slots that a class's aged requests get first
    double retry_burst = 20;       ///< most retries saved up
    double retries_per_second = 1; ///< earned beside the pool's retry ratio
    core::millis shortest_retry_after{100};
    core::millis longest_retry_after{10000};
    core::millis not_ready_retry_after{50};
    core::millis no_target_retry_after{1000};
    health_settings health;
};

struct sender_settings
{
    core::millis permit_ttl{1000};    ///< as the dispatcher's
    core::millis result_grace{5000};  ///< wait past the deadline for an answer
    core::millis silent_linger{3000}; ///< as the dispatcher's
    core::millis connect_timeout{500};
    core::millis first_pause{20}; ///< before an owner or holder is asked again; it doubles
    core::millis longest_pause{500};
    core::millis retry_after{1000}; ///< told to callers when nobody gave a better figure
    /// An idempotent request is sent again when its call takes longer than nearly all others.
    double patience_deviations = 20;      ///< from the mean, in mean differences from it
    core::millis least_patience{250};     ///< below it, a pause of either side looks like a loss
    std::uint64_t patience_samples = 100; ///< measured runs before patience counts
    int most_attempts = 3; ///< sends of one request, the callers' own retries counted
    std::size_t answer_kept_bytes = 16384; ///< larger answers are remembered without body
    /// Its permit_ttl must cover the longest wait for a permit and be the holders' own; otherwise
    /// keyed requests that wait long are never sent.
    claims::executor_settings claims;
};

/// \return how long after a request's deadline its permit may still be in use at the target: it is
/// sent late, left to finish, and cut without the target's noticing at once.
core::millis use_after_deadline(const dispatcher_settings& settings);

/// \return what is wrong with \p settings, as findings of a document named \p name.
core::findings check(const dispatcher_settings& settings, const std::string& name);

} // namespace camphorhitch::dispatch
