/// \file
/// Logs, metrics and traces behind ports::telemetry. docs/operators/metrics-and-logs.md tells what
/// operators see of them.
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

/// Where the lines go.
enum class line_output
{
    standard_output,
    standard_error
};

/// Logs, metrics and traces of one process. Copies share them.
/// Only logs and spans may be used on other threads than the scheduler's.
class hub
{
public:
    /// \return functions that keep the hub's parts alive.
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

/// Makes a hub. Each setter may be left out.
class builder
{
public:
    /// Less urgent lines are not written. Default: info.
    builder& level(ports::log_level least);

    /// Default: standard output.
    builder& output(line_output where);

    /// Hands each line, without its end, to \p lines in place of an output.
    builder& lines(std::function<void(std::string_view)> lines);

    /// A field that each line carries, as the member's id.
    builder& field(std::string key, std::string value);

    /// \param share of new traces that are recorded, 0 to 1. Default: 0.
    builder& sample(double share);

    /// Makes the ids of traces and spans the same at each run. Default: random.
    builder& seed(std::uint64_t seed);

    /// Default: the system's clocks.
    builder& clocks(
        std::function<core::wall_time()> wall, std::function<core::mono_time()> monotonic);

    /// Most label sets that one metric keeps apart. Default: 1000.
    builder& most_series(std::size_t most);

    /// One sentence on a metric, for its HELP line.
    builder& help(std::string metric, std::string text);

    /// Asserts that the settings are in their ranges.
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
    std::size_t most_series_ = 1000;
    std::map<std::string, std::string> help_;
};

} // namespace camphorhitch::telemetry
