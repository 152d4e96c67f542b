/// \file
/// The eight promises of the system, judged by the records of those outside it.
#pragma once

#include "records.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::checker
{

/// The promises, in the order of the brief.
enum class promise
{
    budget = 1,       ///< pools stay within their availability budget
    one_pool,         ///< a host belongs to exactly one pool
    own_answer,       ///< a caller gets the whole answer to its own request
    not_run,          ///< what is told "not run" was not run
    at_most_once,     ///< keyed requests and run-once jobs run at most once
    leaving_is_quiet, ///< a leaving target gets nothing new
    graceful_stop,    ///< a planned stop cuts nothing off
    config_stays      ///< a configuration is in force within seconds and never reverts
};

/// How long the system has for what it does "within seconds".
struct limits
{
    std::int64_t leaving_ms = 5000;    ///< from a host's mark to its last new request
    std::int64_t in_force_ms = 19000;  ///< from a configuration's write to all daemons
    std::int64_t old_config_ms = 5000; ///< a drain may be decided by a configuration so old
};

struct breach
{
    promise which = promise::budget;
    std::string subject; ///< what to look for in logs and traces: "id=r1-7", "host=h3"
    std::int64_t at_ms = 0;
    std::string detail;
};

/// Breaches, and how much was checked, so that a pass can be weighed.
struct verdict
{
    std::vector<breach> breaches;
    std::size_t drains = 0;    ///< planned absences that began
    std::size_t moves = 0;     ///< hosts that changed their pool
    std::size_t reboots = 0;   ///< hosts handed to maintenance
    std::size_t requests = 0;  ///< ids of requests
    std::size_t keyed = 0;     ///< of those, with an idempotency key
    std::size_t jobs = 0;      ///< submitted
    std::size_t run_once = 0;  ///< of those, that may run once only
    std::size_t starts = 0;    ///< of tasks
    std::size_t versions = 0;  ///< of the configuration
    std::size_t adoptions = 0; ///< by daemons
};

/// Judges all promises.
verdict judge(const records& r, const limits& l);

/// Promises 1, 2: from the history of the pools' documents.
void judge_pools(const records& r, const limits& l, verdict& to);

/// Promise 6: from the history and the targets' runs.
void judge_leaving(const records& r, const limits& l, verdict& to);

/// Promises 3, 4, 5: from the callers' calls and the targets' runs.
void judge_requests(const records& r, verdict& to);

/// Promise 5: from the workers' starts.
void judge_jobs(const records& r, verdict& to);

/// Promise 7: from the targets' counts, the workers' ends and the callers' broken calls.
void judge_stops(const records& r, verdict& to);

/// Promise 8: from the history and the daemons' lines.
void judge_configuration(const records& r, const limits& l, verdict& to);

} // namespace camphorhitch::checker
