/// \file
/// Operators' commands on waves: select, start, resume, cancel.
#pragma once

#include "core/result.hpp"
#include "core/time.hpp"
#include "fleet/ownership.hpp"
#include "fleet/waves.hpp"
#include "model/config.hpp"
#include "model/fleet.hpp"

#include <string>
#include <vector>

namespace camphorhitch::fleet
{

/// Which hosts a wave is for; an empty list does not restrict.
struct host_selection
{
    std::vector<std::string> pools;
    std::vector<std::string> zones;
    std::vector<std::string> racks;
    std::vector<std::string> hosts;
};

/// \return the hosts that match, sorted.
std::vector<std::string> select_hosts(
    const std::vector<pool_view>& pools, const host_selection& which);

struct wave_wish
{
    std::string id;
    host_selection which;
    std::string policy; ///< overrides the pools' policies, or empty
    std::string command;
};

/// A wave document to write, and whether it differs from what stands there.
struct wave_change
{
    model::wave_document next;
    bool changed = false; ///< false: the command had its effect before
    std::string note;
};

/// \param waves all waves known; the document is to be created only if none has its key.
/// \return the new wave, or every reason why it can never be carried out.
core::result<wave_change> start_wave(const wave_wish& wish,
    const model::configuration& config,
    const std::vector<pool_view>& pools,
    const std::vector<wave_view>& waves,
    core::wall_time now);

/// Goes on over the failures that there are now; the next ones count anew.
core::result<wave_change> resume_wave(const model::wave_document& w,
    const std::string& command,
    const std::vector<pool_view>& pools,
    core::wall_time now);

/// Starts nothing more; drains not handed over are undone, reboots in progress come back.
core::result<wave_change> cancel_wave(
    const model::wave_document& w, const std::string& command, core::wall_time now);

/// \return the hosts of \p w that failed while it drained or rebooted them, or after it had.
std::vector<std::string> failed_in_wave(
    const model::wave_document& w, const std::vector<pool_view>& pools);

} // namespace camphorhitch::fleet
