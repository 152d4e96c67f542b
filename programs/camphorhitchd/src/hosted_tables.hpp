/// \file
/// Tables and explanations of what a node on a hosting platform knows, for people who ask.
#pragma once

#include "hosted/formats.hpp"
#include "hosted/job_catalog.hpp"
#include "language/table.hpp"

#include <string>
#include <vector>

namespace camphorhitch::daemon
{

/// Jobs of which only the end is known have empty cells but for id and state.
language::table job_table(const std::vector<hosted::stored_job>& all, std::int64_t unix_ms);

language::table host_table(const std::vector<coordinator::host_listing>& all);

language::table pool_table(const hosted::fleet_config& config);

/// \param age since the store last answered this node about the configuration: one that came later
/// is not known here
language::table config_table(const hosted::fleet_config& config, core::micros age);

/// \param steps what the coordinator says of the steps; empty when another node coordinates, or
///     this one has not read the job yet
/// \param leader the node that coordinates; empty: none is known
/// \param own this node
/// \return why the job is where it is, a line each.
std::string explain(const hosted::stored_job& j,
    const std::vector<std::string>& steps,
    const std::string& leader,
    const std::string& own,
    std::int64_t unix_ms);

} // namespace camphorhitch::daemon
