/// \file
/// Counters, gauges and summaries by name and labels, and their Prometheus text.
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
    /// \param most_series label sets that one metric keeps apart.
    /// \param help sentences for the HELP lines, by metric.
    metrics(std::size_t most_series, std::map<std::string, std::string> help);

    void count(const std::string& name, const ports::metric_labels& labels, double by);
    void gauge(const std::string& name, const ports::metric_labels& labels, double v);
    void observe(const std::string& name, const ports::metric_labels& labels, double v);

    /// \return Prometheus text, in order of names and labels.
    std::string render() const;

private:
    using series = std::variant<double, summary>;

    struct family
    {
        metric_kind kind = metric_kind::counter;
        std::map<ports::metric_labels, series> all;
    };

    /// \return where to add a sample, or null after it was counted as dropped.
    series* find(const std::string& name, const ports::metric_labels& labels, metric_kind kind);
    series* find_overflow(family& f, const std::string& name);
    void drop(const std::string& name, const char* reason);

    static void render_family(
        std::string& out, const std::string& name, const family& f, const std::string& help);

    std::size_t most_series_;
    std::map<std::string, std::string> help_;
    std::map<std::string, family> families_;
};

} // namespace camphorhitch::telemetry
