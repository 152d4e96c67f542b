/// \file
/// JSON of the platform's interfaces.
#pragma once

#include "ports/platform.hpp"

#include <string>
#include <vector>

namespace camphorhitch::platform
{

/// \return a list that is not known when the text is not what it should be.
ports::live_list read_live_list(const std::string& text);
ports::task_reports read_task_reports(const std::string& host, const std::string& text);

std::string reboot_body(const std::string& command);
std::string task_body(const ports::task_order& order);
std::string action_body(const std::vector<std::string>& tasks, ports::task_action action);

} // namespace camphorhitch::platform
