/// \file
/// Which requests ran, and how often. Over all targets of the process, since a duplicate may run
/// on another target than the first run.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorhitch::standin_target
{

struct run
{
    std::string host;
    std::int64_t at_ms = 0; ///< milliseconds since 1970
};

struct run_ledger
{
    /// Runs of each id, by a hash of it, so that a long test with millions of ids fits in memory.
    std::unordered_map<std::uint64_t, run> first_runs;
    /// All runs of the ids that ran more than once.
    std::map<std::string, std::vector<run>> duplicates;
    std::uint64_t without_id = 0;
};

/// \param id the request's own, may be empty.
/// \return how often it ran by now, with this run.
std::size_t record_run(run_ledger& l, const std::string& id, run r);

/// \return all runs of \p id.
std::vector<run> runs_of(const run_ledger& l, const std::string& id);

} // namespace camphorhitch::standin_target
