/// \file
/// The next step of one wave, decided by its owner from all pools' documents.
///
/// A wave only admits; each pool starts the drain itself, within its own budget. So a wave decided
/// from old views can admit too much or too little, and no budget is broken by it.
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

struct wave_inputs
{
    const wave_view& own; ///< as read or written last
    const model::configuration& config;
    const std::vector<pool_view>& pools; ///< every pool document, at one revision of the store
    bool pools_known = false;            ///< false: not read yet, nothing is decided
    const std::vector<wave_view>& waves; ///< the own one may be among them
    core::wall_time now;                 ///< for records
};

/// Write the wave's document, if its revision is still \p expected.
struct write_wave
{
    model::wave_document document;
    std::int64_t expected = 0;
    std::string note;
};

/// \return the write to make now, or nothing.
std::optional<write_wave> decide_wave(const wave_inputs& in);

/// How far a wave is, for operators.
struct wave_summary
{
    int hosts = 0;
    int done = 0;
    int in_progress = 0;
    int waiting = 0; ///< not admitted yet, or admitted and without room
    int failed = 0;
    int gone = 0; ///< in no pool any more
};

wave_summary summarize(const model::wave_document& w, const std::vector<pool_view>& pools);

} // namespace camphorhitch::fleet
