/// \file
/// How far the store had come when: what this node's own calls have shown.
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

/// A call that sees every acknowledged write was sent, and its answer told the store's revision:
/// every write acknowledged before the sending is within that revision. So the age of what was made
/// from the store up to a revision is told by this node's clock alone. Answers that may be older
/// than their call, as those of a cheap reading, must not be noted: they prove nothing.
class revision_log
{
public:
    /// \param sent by a clock that goes on while the machine is suspended
    void note(core::mono_time sent, ports::revision told);

    /// \return a time before which every acknowledged write is within \p through; nothing when no
    /// call of the last seconds shows one.
    std::optional<core::mono_time> covered_until(ports::revision through) const;

private:
    struct sample
    {
        core::mono_time sent;
        ports::revision told = 0;
    };

    std::map<std::int64_t, sample> samples_; ///< by the span of time in which it was sent
};

/// \return \p real, whose newest readings and writes are noted in \p log.
ports::metadata_store with_revisions_noted(const ports::metadata_store& real,
    const std::function<core::mono_time()>& boot_now,
    const std::shared_ptr<revision_log>& log);

} // namespace camphorhitch::hosted
