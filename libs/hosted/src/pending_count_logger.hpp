/// \file
/// Logs the data on which each stored record of waiting jobs is based, so that a wrong count can be
/// traced.
#pragma once

#include "job_reader.hpp"
#include "term.hpp"

#include <map>
#include <string>

namespace camphorhitch::hosted
{

/// State of the coordinator when it made a record of waiting jobs.
struct pending_basis
{
    std::map<std::string, int> by_queue;
    std::int64_t ordered_only = 0; ///< see coordinator::jobs_only_ordered
    ports::revision intake_revision = 0;
    /// Time since the store last answered a read or watch of accepted jobs.
    core::millis intake_age{0};
    core::mono_time counted_at;
};

class pending_count_logger
{
public:
    pending_count_logger(term& t, const job_reader& jobs);

    /// \return the basis of a record with these counts that is made now.
    pending_basis current_basis(std::map<std::string, int> by_queue) const;

    /// Logs the store's answer to the write of a record.
    void log_write_result(const pending_basis& b, const ports::commit_result& result);

private:
    term& term_;
    const job_reader& jobs_;
    std::map<std::string, int> last_logged_; ///< counts in the latest log line
    core::mono_time last_logged_at_;
};

} // namespace camphorhitch::hosted
