/// \file
/// Reads the jobs in the metadata store for operators. Any node can do this; it need not be the
/// coordinator.
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

/// A job as it is stored.
struct stored_job
{
    std::string id;
    /// The job as accepted; nullopt if the job is final, because its record is removed in the write
    /// that stores its final state.
    std::optional<workflow::job> spec;
    /// Tasks are empty if no progress is stored or the job is final.
    workflow::job_progress progress;
    bool cancelled = false; ///< a cancel was accepted and is not yet reflected in the stored state
};

/// \return the state that is reported to a caller: cancelled as soon as a cancel is accepted,
/// unless the job is final.
workflow::job_state effective_state(const stored_job& j);

/// Passes all jobs in the order of their ids to \p done, or the reason why the store could not be
/// read. Jobs that are accepted or end during the read may be missing; a job that is stored
/// throughout the read is included.
void list_jobs(
    const context& c, const std::function<void(core::result<std::vector<stored_job>>)>& done);

/// Passes one job to \p done; an error with code not_found if it does not exist.
void find_job(const context& c,
    const std::string& id,
    const std::function<void(core::result<stored_job>)>& done);

} // namespace camphorhitch::hosted
