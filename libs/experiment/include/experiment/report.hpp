/// \file
/// Reports of an experiment: text, JSON, and a plot for gnuplot. The caller writes the files; no
/// process is started.
#pragma once

#include "experiment/outcome.hpp"

#include <string>

namespace camphorhitch::experiment
{

/// \return the report as text.
std::string report_text(const experiment_document& d, const outcome& o);
/// \return the report as JSON.
std::string report_json(const experiment_document& d, const outcome& o);

/// Texts of the two files of a plot.
struct plot_files
{
    std::string script; ///< reads `data_name` and writes an SVG file
    std::string data;
};

/// \param data_name name of the file in which the caller stores the data, in the directory of the
///   script.
/// \param svg_name name of the picture file.
plot_files report_plot(const experiment_document& d,
    const outcome& o,
    const std::string& data_name,
    const std::string& svg_name);

} // namespace camphorhitch::experiment
