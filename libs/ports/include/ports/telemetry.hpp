/// \file
/// Port for logs, metrics and traces.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace camphorhitch::ports
{

enum class log_level
{
    debug,
    info,
    warning,
    error
};

inline constexpr core::name_table<log_level, 4> log_level_names{{
    {log_level::debug, "debug"},
    {log_level::info, "info"},
    {log_level::warning, "warning"},
    {log_level::error, "error"},
}};

/// The key=value pairs of one log line, in order.
using log_fields = std::vector<std::pair<std::string, std::string>>;

/// Labels of a metric, in order.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// The trace span of one hop. finish() ends it; copies refer to the same span.
struct span
{
    std::string traceparent; ///< W3C trace context header for the next hop
    std::function<void(std::string key, std::string value)> tag;
    std::function<void()> finish;
};

struct telemetry
{
    /// Writes one line of key=value pairs that begins with `event=`.
    std::function<void(log_level, std::string event, log_fields)> log;
    /// Increases a counter by \p by.
    std::function<void(std::string name, metric_labels, double by)> count;
    /// Sets a gauge.
    std::function<void(std::string name, metric_labels, double value)> gauge;
    /// Adds a value to a summary; times are in seconds.
    std::function<void(std::string name, metric_labels, double value)> observe;
    /// Starts a span. \p parent is a traceparent; empty: a new trace begins.
    std::function<span(std::string name, std::string parent)> start_span;
};

} // namespace camphorhitch::ports
