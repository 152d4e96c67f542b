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

/// The pairs of one event's line, in order.
using log_fields = std::vector<std::pair<std::string, std::string>>;

/// Labels of a metric, in order.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// One hop's span. finish() ends it; copies share it.
struct span
{
    std::string traceparent; ///< W3C text to hand to the next hop
    std::function<void(std::string key, std::string value)> tag;
    std::function<void()> finish;
};

struct telemetry
{
    /// One line of key=value pairs, `event=` first.
    std::function<void(log_level, std::string event, log_fields)> log;
    std::function<void(std::string name, metric_labels, double by)> count;
    std::function<void(std::string name, metric_labels, double value)> gauge;
    /// \p value in seconds for times.
    std::function<void(std::string name, metric_labels, double value)> observe;
    /// Starts a span; \p parent is a traceparent, or empty for a new trace.
    std::function<span(std::string name, std::string parent)> start_span;
};

} // namespace camphorhitch::ports
