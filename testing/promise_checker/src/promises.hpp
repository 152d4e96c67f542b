/// \file
/// The eight guarantees of the system ("promises"), checked against the records of callers,
/// targets, workers and the key-value service.
#pragma once

#include "records.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::checker
{

/// The promises, numbered as in the specification.
enum class promise
{
    budget = 1,               ///< pools stay within their availability budget
    one_pool,                 ///< a host belongs to exactly one pool
    complete_own_answer,      ///< a caller gets the whole answer to its own request
    not_run,                  ///< a request that was answered "not run" did not run
    at_most_once,             ///< keyed requests and run-once jobs run at most once
    no_requests_when_leaving, ///< a target that is leaving gets no new requests
    graceful_stop,            ///< a planned stop interrupts no request and no task
    config_adopted_and_kept   ///< a configuration is in force within seconds and never reverts
};

/// Time limits for the promises that hold "within seconds", and tolerances. Milliseconds.
struct limits
{
    std::int64_t leaving_ms = 5000; ///< from the mark of a leaving host to its last new request
    /// From a configuration's write to its adoption by all daemons.
    std::int64_t in_force_ms = 19000;
    /// Time after its replacement in which a configuration may still have decided a drain.
    std::int64_t old_config_ms = 5000;
};

/// One violation of a promise.
struct breach
{
    promise which = promise::budget;
    std::string subject;    ///< search term for logs and traces, such as "id=r1-7" or "host=h3"
    std::int64_t at_ms = 0; ///< wall time in ms since 1970, or 0 if the records have none
    std::string detail;
};

/// The breaches, and counts of what was checked: a pass with low counts proves little.
struct verdict
{
    std::vector<breach> breaches;
    std::size_t drains = 0;    ///< planned absences that began
    std::size_t moves = 0;     ///< hosts that changed their pool
    std::size_t reboots = 0;   ///< hosts handed to maintenance
    std::size_t requests = 0;  ///< distinct request ids
    std::size_t keyed = 0;     ///< requests with an idempotency key
    std::size_t jobs = 0;      ///< submitted jobs
    std::size_t run_once = 0;  ///< submitted jobs that may run at most once
    std::size_t starts = 0;    ///< task starts
    std::size_t versions = 0;  ///< accepted versions of the configuration
    std::size_t adoptions = 0; ///< adoptions of a configuration by daemons
};

/// Checks all promises.
verdict check_promises(const records& r, const limits& l);

/// Checks promises 1 and 2 against the history of the pools' documents.
void check_pools(const records& r, const limits& l, verdict& to);

/// Checks promise 6 against the history and the targets' runs.
void check_leaving_hosts(const records& r, const limits& l, verdict& to);

/// Checks promises 3, 4 and 5 (requests) against the callers' calls and the targets' runs.
void check_requests(const records& r, verdict& to);

/// Checks promise 5 (run-once jobs) against the workers' task starts.
void check_jobs(const records& r, verdict& to);

/// Checks promise 7 against the targets' counts, the workers' task ends and the callers' broken
/// calls.
void check_planned_stops(const records& r, verdict& to);

/// Checks promise 8 against the history and the daemons' log lines.
void check_configuration(const records& r, const limits& l, verdict& to);

} // namespace camphorhitch::checker
