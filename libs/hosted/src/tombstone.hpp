/// \file
/// Tombstones: records of cancels that found no job. A submission of the job may still be on its
/// way to the store, and may be carried out seconds later whatever its sender does by then. Each
/// submission is conditional on the tombstone of its id, so it cannot store a cancelled job.
#pragma once

#include "core/result.hpp"
#include "hosted/context.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace camphorhitch::hosted
{

/// The record under tombstone_key.
struct tombstone
{
    std::set<std::string> workspaces; ///< on whose behalf the job was cancelled; empty name: none
    bool covers_all = false;          ///< cancelled by a caller who may refer to all jobs
    std::int64_t expires_unix_ms = 0; ///< wall time by which the record is gone
};

std::string write_tombstone(const tombstone& t);

/// \return the record, or an error_code::invalid error if any part of the text is not valid.
core::result<tombstone> read_tombstone(const std::string& text);

/// \param owner workspace of the submitted job; a job without one exists for all callers
/// \return whether the cancel applies to the job.
bool is_covered(const tombstone& t, const std::string& owner);

/// Adds a cancel to the record.
/// \param caller as job_reference::workspace
void add_cancel(tombstone& t, const std::optional<std::string>& caller);

/// \param caller as job_reference::workspace
/// \return whether the record would stay the same if the cancel were added.
bool contains_cancel(const tombstone& t, const std::optional<std::string>& caller);

/// The lease that this node's tombstones are attached to. The store removes them with the lease,
/// whether or not any node is running. Cancels share a lease, so that few of them need a call for a
/// new one.
class tombstone_lease
{
public:
    /// \param retention minimum time for which a tombstone must remain once its cancel is
    /// acknowledged
    tombstone_lease(const context& c, core::millis retention);

    /// Passes a lease that outlasts the retention time, or nullopt if the store did not grant one.
    void request(std::function<void(std::optional<ports::lease_id>)> done);

    /// \return whether a tombstone attached to the lease remains for the retention time from now.
    bool lasts(ports::lease_id id) const;

    /// Forgets a lease that the store no longer has.
    void discard(ports::lease_id id);

    /// \return the longest time for which a tombstone remains.
    core::millis max_time() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace camphorhitch::hosted
