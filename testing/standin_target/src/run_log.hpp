/// \file
/// Log of the requests that ran, for all targets of the process, because a duplicate may run on
/// another target than the first run.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorhitch::standin_target
{

/// One run of a request.
struct run
{
    std::string host;
    std::int64_t at_ms = 0; ///< milliseconds since 1970
};

/// All runs of the process.
struct run_log
{
    /// First run of each id, by the id's hash, so that millions of ids of a long test fit in
    /// memory.
    std::unordered_map<std::uint64_t, run> first_runs;
    /// All runs of the ids that ran more than once.
    std::map<std::string, std::vector<run>> duplicates;
    std::uint64_t without_id = 0; ///< number of runs of requests without an id
};

/// Records a run.
/// \param id the request's id, may be empty
/// \return the number of runs of the id, including this one; 1 without an id.
std::size_t record_run(run_log& l, const std::string& id, run r);

/// \return all runs of \p id.
std::vector<run> runs_of(const run_log& l, const std::string& id);

} // namespace camphorhitch::standin_target
