/// \file
/// Logs, metrics and traces. Implements ports::telemetry. docs/operators/metrics-and-logs.md
/// describes the output for operators.
#pragma once

#include "core/time.hpp"
#include "ports/telemetry.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace camphorhitch::telemetry
{

/// Destination of the log lines.
enum class line_output
{
    standard_output,
    standard_error
};

/// Logs, metrics and traces of one process. Copies of a hub share them.
/// Logs and spans may be used on any thread, metrics only on the scheduler's thread.
class hub
{
public:
    /// \return the port, whose functions remain valid after the hub is destroyed.
    ports::telemetry port() const;

    /// \return all metrics as Prometheus text.
    std::string render() const;

private:
    friend class builder;
    struct parts;
    explicit hub(std::shared_ptr<parts> all);
    static ports::span start_span(parts& p, const std::string& name, const std::string& parent);

    std::shared_ptr<parts> parts_;
};

/// Creates a hub. All setters are optional.
class builder
{
public:
    /// Minimum level of the lines that are written. Default: info.
    builder& level(ports::log_level min_level);

    /// Default: standard output.
    builder& output(line_output where);

    /// Passes each line, without the line break, to \p lines instead of writing it to an output.
    builder& lines(std::function<void(std::string_view)> lines);

    /// Adds a field to every line, for example the member's id.
    builder& field(std::string key, std::string value);

    /// \param share of new traces that are recorded, 0 to 1. Default: 0.
    builder& sample(double share);

    /// Seed of the ids of traces and spans, for reproducible ids. Default: random.
    builder& seed(std::uint64_t seed);

    /// Default: the system's clocks.
    builder& clocks(
        std::function<core::wall_time()> wall, std::function<core::mono_time()> monotonic);

    /// Maximum number of label sets of one metric. The samples of further label sets are added to
    /// one common series. Default: 1000.
    builder& max_series(std::size_t max);

    /// Description of a metric, for its HELP line.
    builder& help(std::string metric, std::string text);

    /// Creates the hub. Asserts that the settings are within their ranges.
    hub build() const;

private:
    ports::log_level level_ = ports::log_level::info;
    line_output output_ = line_output::standard_output;
    std::function<void(std::string_view)> lines_;
    ports::log_fields fields_;
    double sample_ = 0;
    std::optional<std::uint64_t> seed_;
    std::function<core::wall_time()> wall_;
    std::function<core::mono_time()> monotonic_;
    std::size_t max_series_ = 1000;
    std::map<std::string, std::string> help_;
};

} // namespace camphorhitch::telemetry
