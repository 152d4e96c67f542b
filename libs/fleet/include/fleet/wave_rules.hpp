/// \file
/// Operators' commands on waves: select hosts, start, resume, cancel.
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

/// Selects the hosts of a wave. A host matches if it matches every list; an empty list matches
/// every host.
struct host_selection
{
    std::vector<std::string> pools;
    std::vector<std::string> zones;
    std::vector<std::string> racks;
    std::vector<std::string> hosts;
};

/// \return the ids of the confirmed hosts that match, sorted.
std::vector<std::string> select_hosts(
    const std::vector<pool_view>& pools, const host_selection& selection);

/// An operator's request to start a wave.
struct wave_start_request
{
    std::string id; ///< of the new wave
    host_selection selection;
    std::string policy;  ///< name of the policy that overrides the pools' policies, or empty
    std::string command; ///< id of the command, by which a repeat is recognized
};

/// A wave document to write, and whether it differs from the stored document.
struct wave_change
{
    model::wave_document next;
    bool changed = false; ///< false: the command was applied before
    std::string note;     ///< for the operator
};

/// Makes the document of a new wave.
/// \param waves all known waves. The caller must create the document only if its key does not exist
/// in the store.
/// \return the new wave, or an error that lists every reason why the wave can never be carried out.
core::result<wave_change> start_wave(const wave_start_request& request,
    const model::configuration& config,
    const std::vector<pool_view>& pools,
    const std::vector<wave_view>& waves,
    core::wall_time now);

/// Resumes a halted wave. The hosts that have failed by now are excused; only later failures count
/// towards the next halt.
core::result<wave_change> resume_wave(const model::wave_document& w,
    const std::string& command,
    const std::vector<pool_view>& pools,
    core::wall_time now);

/// Cancels a wave: no more hosts are drained, drains that were not handed over are undone, and
/// reboots in progress are completed.
core::result<wave_change> cancel_wave(
    const model::wave_document& w, const std::string& command, core::wall_time now);

/// \return the hosts that failed while wave \p w drained or rebooted them, or after \p w maintained
/// them.
std::vector<std::string> failed_in_wave(
    const model::wave_document& w, const std::vector<pool_view>& pools);

} // namespace camphorhitch::fleet
