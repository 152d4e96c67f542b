/// \file
/// Counters, gauges and summaries with names and labels, and their Prometheus text.
#pragma once

#include "ports/telemetry.hpp"
#include "summary.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <variant>

namespace camphorhitch::telemetry
{

enum class metric_kind
{
    counter,
    gauge,
    summary
};

/// All metrics of the process.
class metrics
{
public:
    /// \param max_series maximum number of label sets of one metric.
    /// \param help texts of the HELP lines, by metric.
    metrics(std::size_t max_series, std::map<std::string, std::string> help);

    /// Adds \p by to a counter.
    void count(const std::string& name, const ports::metric_labels& labels, double by);
    /// Sets a gauge.
    void gauge(const std::string& name, const ports::metric_labels& labels, double v);
    /// Adds an observation to a summary.
    void observe(const std::string& name, const ports::metric_labels& labels, double v);

    /// \return all metrics as Prometheus text, ordered by name and labels.
    std::string render() const;

private:
    using series = std::variant<double, summary>;

    struct family
    {
        metric_kind kind = metric_kind::counter;
        std::map<ports::metric_labels, series> all;
    };

    /// \return the series for a sample; null when the sample is dropped, which is then counted.
    series* find(const std::string& name, const ports::metric_labels& labels, metric_kind kind);
    series* find_overflow_series(family& f, const std::string& name);
    void count_dropped(const std::string& name, const char* reason);

    static void render_family(
        std::string& out, const std::string& name, const family& f, const std::string& help);

    std::size_t max_series_;
    std::map<std::string, std::string> help_;
    std::map<std::string, family> families_;
};

} // namespace camphorhitch::telemetry
