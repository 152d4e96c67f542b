/// \file
/// Records which store revision this node's own calls have returned, and when the calls were sent.
#pragma once

#include "core/time.hpp"
#include "ports/metadata_store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace camphorhitch::hosted
{

/// Bounds the age of store data using only this node's clock. If a call that sees every
/// acknowledged write returns a store revision, every write acknowledged before the call was sent
/// is within that revision. Answers that may be older than their call, such as those of a read
/// without the newest freshness, must not be recorded, because they prove nothing.
class revision_log
{
public:
    /// Records the answer of a call.
    /// \param sent time at which the call was sent, by a clock that keeps running while the machine
    /// is suspended
    /// \param returned_revision store revision in the answer; 0 is ignored
    void record(core::mono_time sent, ports::revision returned_revision);

    /// \return a time such that every write acknowledged before it is within \p through_revision;
    /// nullopt if no call of the last seconds shows one.
    std::optional<core::mono_time> covered_until(ports::revision through_revision) const;

private:
    struct sample
    {
        core::mono_time sent;
        ports::revision returned_revision = 0;
    };

    /// By the index of the interval in which the call was sent.
    std::map<std::int64_t, sample> samples_;
};

/// \return \p real, with the revisions returned by its newest reads, range reads and writes
/// recorded in \p log.
ports::metadata_store with_recorded_revisions(const ports::metadata_store& real,
    const std::function<core::mono_time()>& boot_now,
    const std::shared_ptr<revision_log>& log);

} // namespace camphorhitch::hosted
