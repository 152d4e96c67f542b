/// \file
/// Writers of the elements of the Prometheus text format.
#pragma once

#include "ports/telemetry.hpp"

#include <string>

namespace camphorhitch::telemetry
{

/// \return the shortest text that reads back as \p v.
std::string number_text(double v);

/// Appends the HELP line, unless \p help is empty, and the TYPE line.
void append_header(
    std::string& out, const std::string& name, const char* type, const std::string& help);

/// Appends the line of one sample.
void append_sample(
    std::string& out, const std::string& name, const ports::metric_labels& labels, double v);

} // namespace camphorhitch::telemetry
