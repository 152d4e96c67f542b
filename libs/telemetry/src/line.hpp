/// \file
/// The text of one event: key=value pairs that no value can break out of.
#pragma once

#include "ports/telemetry.hpp"

#include <string>
#include <string_view>

namespace camphorhitch::telemetry
{

/// Appends ` key=value`, quoted and escaped where needed; long values are cut.
void append_field(std::string& line, std::string_view key, std::string_view value);

/// \param fixed fields that every line carries, after the event's name.
/// \return `event=... key=value ...`, of bounded length.
std::string event_text(
    std::string_view event, const ports::log_fields& fixed, const ports::log_fields& fields);

} // namespace camphorhitch::telemetry
