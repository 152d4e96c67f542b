/// \file
/// What the metadata store knows of jobs, for people who ask. Any node can tell; none need
/// coordinate.
#pragma once

#include "core/result.hpp"
#include "hosted/context.hpp"
#include "workflow/model.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::hosted
{

/// One job as it is stored.
struct stored_job
{
    std::string id;
    /// As accepted; nothing when the job is final: its record went with the write of its end.
    std::optional<workflow::job> spec;
    workflow::job_progress progress; ///< empty tasks: none is stored, or the job is final
    bool cancelled = false;          ///< a cancel was accepted that no state shows yet
};

/// \return the state that a caller is told.
workflow::job_state shown_state(const stored_job& j);

/// Tells all jobs in the order of their ids, or why the store could not be read. Jobs that come or
/// end meanwhile may be missing; one that is in the store all the time is told.
void list_jobs(
    const context& c, const std::function<void(core::result<std::vector<stored_job>>)>& done);

/// Tells one job; an error of code not_found when there is none.
void find_job(const context& c,
    const std::string& id,
    const std::function<void(core::result<stored_job>)>& done);

} // namespace camphorhitch::hosted
