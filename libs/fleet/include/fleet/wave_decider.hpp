/// \file
/// Decides the next step of one wave from the documents of all pools. The wave's owner, one entry
/// host, calls it.
///
/// A wave only admits hosts. Each pool starts the drains of its hosts itself, within its own
/// budget. A wave decision that is based on old views can therefore admit too many or too few
/// hosts, but it can't violate a budget.
#pragma once

#include "core/time.hpp"
#include "fleet/ownership.hpp"
#include "fleet/waves.hpp"
#include "model/config.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::fleet
{

/// What one wave decision is made from.
struct wave_inputs
{
    const wave_view& own; ///< the wave's document as last read or written
    const model::configuration& config;
    const std::vector<pool_view>& pools; ///< every pool document, at one revision of the store
    bool pools_known = false;            ///< false: not read yet, and nothing is decided
    const std::vector<wave_view>& waves; ///< all waves; \p own may be included
    core::wall_time now;                 ///< for records only
};

/// Action: write the wave's document if its store revision is still \p expected.
struct write_wave
{
    model::wave_document document;
    std::int64_t expected = 0;
    std::string note; ///< the rule that decided and what it was based on, for the log
};

/// \return the write to make now, or nullopt when the document needs no change.
std::optional<write_wave> decide_wave(const wave_inputs& in);

/// Progress of a wave, for operators.
struct wave_summary
{
    int hosts = 0;
    int done = 0;
    int in_progress = 0;
    int waiting = 0; ///< neither maintained nor in progress yet, or under another plan
    int failed = 0;
    int gone = 0; ///< in no pool any more
};

/// \return the progress of \p w according to the documents of all pools.
wave_summary summarize(const model::wave_document& w, const std::vector<pool_view>& pools);

} // namespace camphorhitch::fleet
