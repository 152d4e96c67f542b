/// \file
/// An experiment's report: text for people, JSON, and a plot for gnuplot. The caller writes the
/// files; no process is started.
#pragma once

#include "experiment/outcome.hpp"

#include <string>

namespace camphorhitch::experiment
{

std::string report_text(const experiment_document& d, const outcome& o);
std::string report_json(const experiment_document& d, const outcome& o);

struct plot_files
{
    std::string script; ///< reads `data_name`, writes an SVG
    std::string data;
};

/// \param data_name file name under which the caller stores the data, beside the script.
/// \param svg_name file name of the picture.
plot_files report_plot(const experiment_document& d,
    const outcome& o,
    const std::string& data_name,
    const std::string& svg_name);

} // namespace camphorhitch::experiment
