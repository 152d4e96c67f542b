/// \file
/// Tables and explanations for operators, from the state of a node on a hosting platform.
#pragma once

#include "hosted/formats.hpp"
#include "hosted/job_catalog.hpp"
#include "language/table.hpp"

#include <string>
#include <vector>

namespace camphorhitch::daemon
{

/// Jobs of which only the end is stored have empty cells except for id and state.
language::table job_table(const std::vector<hosted::stored_job>& all, std::int64_t unix_ms);

/// \return the table for `show hosts`.
language::table host_table(const std::vector<coordinator::host_listing>& all);

/// \return the table for `show pools`.
language::table pool_table(const hosted::fleet_config& config);

/// \param age time since the store last answered this node about the configuration; a later version
/// is not known to this node
language::table config_table(const hosted::fleet_config& config, core::micros age);

/// \param steps the coordinator's explanation of each step; empty when another node coordinates, or
/// this node has not read the job yet
/// \param leader id of the node that coordinates; empty when none is known
/// \param own id of this node
/// \return the state of the job and the reasons for it, one per line.
std::string explain(const hosted::stored_job& j,
    const std::vector<std::string>& steps,
    const std::string& leader,
    const std::string& own,
    std::int64_t unix_ms);

} // namespace camphorhitch::daemon
