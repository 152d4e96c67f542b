/// \file
/// Pieces of the Prometheus text format.
#pragma once

#include "ports/telemetry.hpp"

#include <string>

namespace camphorhitch::telemetry
{

/// \return the shortest text that reads back as \p v.
std::string number_text(double v);

/// Appends the HELP (unless empty) and TYPE lines.
void append_head(
    std::string& out, const std::string& name, const char* type, const std::string& help);

void append_sample(
    std::string& out, const std::string& name, const ports::metric_labels& labels, double v);

} // namespace camphorhitch::telemetry
