/// \file
/// The JSON formats of the platform's interfaces.
#pragma once

#include "ports/platform.hpp"

#include <string>
#include <vector>

namespace camphorhitch::platform
{

/// Parses the live list. Invalid rows are omitted.
/// \return a list with known == false when \p text is not a valid list
ports::live_list read_live_list(const std::string& text);
/// Parses the tasks of \p host. Invalid rows are omitted.
/// \return reports with known == false when \p text is not a valid list
ports::task_reports read_task_reports(const std::string& host, const std::string& text);

// ---- request bodies ----

std::string reboot_body(const std::string& command);
std::string task_body(const ports::task_order& order);
std::string action_body(const std::vector<std::string>& tasks, ports::task_action action);

} // namespace camphorhitch::platform
