/// \file
/// Tells what a written record of waiting jobs rests on, so that a wrong count can be traced.
#pragma once

#include "job_reader.hpp"
#include "term.hpp"

#include <map>
#include <string>

namespace camphorhitch::hosted
{

/// What the owner knew when it made a record.
struct pending_basis
{
    std::map<std::string, int> by_queue;
    std::int64_t ordered_only = 0; ///< as coordinator::jobs_only_ordered
    ports::revision read_through = 0;
    core::millis intake_age{0}; ///< since the store last answered about accepted jobs
    core::mono_time made_at;
};

class pending_watch
{
public:
    pending_watch(term& t, const job_reader& jobs);

    /// \return what a record of these counts rests on now.
    pending_basis basis_of(std::map<std::string, int> by_queue) const;

    /// The store has answered the record's writing.
    void see_answer(const pending_basis& b, const ports::commit_result& result);

private:
    term& term_;
    const job_reader& jobs_;
    std::map<std::string, int> told_; ///< counts of the latest line
    core::mono_time told_at_;
};

} // namespace camphorhitch::hosted
