/// \file
/// The text of one event: key=value pairs, escaped so that no value can add a field or a line.
#pragma once

#include "ports/telemetry.hpp"

#include <string>
#include <string_view>

namespace camphorhitch::telemetry
{

/// Appends ` key=value`. The value is quoted and escaped where necessary, and truncated when it is
/// long.
void append_field(std::string& line, std::string_view key, std::string_view value);

/// \param fixed fields of every line, which follow the event's name.
/// \return `event=... key=value ...`, with a limited length.
std::string event_text(
    std::string_view event, const ports::log_fields& fixed, const ports::log_fields& fields);

} // namespace camphorhitch::telemetry
