#include "experiment/report.hpp"

#include "checked_json/writer.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace camphorhitch::experiment
{

namespace
{

constexpr double ms_per_hour = 3600000.0;

std::string fixed(double v, int digits)
{
    std::array<char, 64> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%.*f", digits, v);
    return {buf.data(), static_cast<std::size_t>(n)};
}

std::string padded(std::string text, std::size_t width)
{
    text.resize(std::max(width, text.size()), ' ');
    return text;
}

std::string name(measure quantity)
{
    return std::string{core::name_of(measure_names, quantity)};
}

std::string name(verdict conclusion)
{
    return std::string{core::name_of(verdict_names, conclusion)};
}

std::string percent(double share)
{
    return fixed(share * 100, 1) + '%';
}

std::string interval_text(const interval& it)
{
    return '[' + fixed(it.low, 3) + ", " + fixed(it.high, 3) + ']';
}

std::string head_text(const experiment_document& d)
{
    const auto withdrawn = std::count_if(
        d.pools.begin(), d.pools.end(), [](const experiment_pool& it) { return it.withdrawn; });
    std::string text =
        "experiment " + d.id + ": " + std::string{core::name_of(experiment_state_names, d.state)};
    if (d.reason != end_reason::none)
    {
        text += ", " + std::string{core::name_of(end_reason_names, d.reason)} + " (" +
                d.decision.weighed + ')';
    }
    text += "\nobserved " + fixed(static_cast<double>(d.observed_ms) / ms_per_hour, 2) + " of " +
            fixed(static_cast<double>(d.duration_ms) / ms_per_hour, 2) + " hours, " +
            std::to_string(d.pools.size()) + " pools, " + std::to_string(withdrawn) +
            " withdrawn, seed " + std::to_string(d.seed) + '\n';
    for (const auto& it : d.arms)
    {
        text += "arm " + it.name + ": policy " + it.policy + '\n';
    }
    return text;
}

std::string row_text(const comparison& c, const std::string& first)
{
    std::string text =
        padded(name(c.quantity), 14) + padded(c.arm, 16) + padded(std::to_string(c.blocks), 8);
    if (c.blocks == 0)
    {
        return text + name(c.conclusion) + '\n';
    }
    text += padded(fixed(c.first_mean, 3), 11) + padded(fixed(c.mean, 3), 11) +
            padded(fixed(c.difference, 3), 12);
    if (c.conclusion == verdict::too_few_blocks)
    {
        return text + padded("-", 20) + name(c.conclusion) + '\n';
    }
    const bool differs = c.conclusion == verdict::less || c.conclusion == verdict::more;
    return text + padded(interval_text(c.student), 20) + name(c.conclusion) +
           (differs ? " than " + first : "") + '\n';
}

} // namespace

template <class Keys>
void describe(Keys& keys, const interval& r)
{
    keys.required("low", r.low).required("high", r.high);
}

template <class Keys>
void describe(Keys& keys, const comparison& r)
{
    keys.required("measure", r.quantity, measure_names)
        .required("arm", r.arm)
        .required("blocks", r.blocks)
        .required("first_mean", r.first_mean)
        .required("mean", r.mean)
        .required("difference", r.difference)
        .required("student", r.student)
        .required("bootstrap", r.bootstrap)
        .required("verdict", r.conclusion, verdict_names);
}

template <class Keys>
void describe(Keys& keys, const arm& r)
{
    keys.required("name", r.name).required("policy", r.policy);
}

std::string report_text(const experiment_document& d, const outcome& o)
{
    std::string text = head_text(d);
    text += "each interval at " + percent(o.confidence) +
            "; buffer_cost in host-hours held back and moves in hosts and jobs, each for 100 "
            "host-hours; rollout_time in hours a wave\n\n";
    text += padded("measure", 14) + padded("arm", 16) + padded("blocks", 8) +
            padded("first arm", 11) + padded("this arm", 11) + padded("difference", 12) +
            padded("interval", 20) + "verdict\n";
    for (const auto& it : o.comparisons)
    {
        text += row_text(it, d.arms.front().name);
    }
    return text;
}

std::string report_json(const experiment_document& d, const outcome& o)
{
    checked_json::object_writer keys;
    keys.required("id", d.id)
        .required("state", d.state, experiment_state_names)
        .required("cause", d.reason, end_reason_names)
        .required("why", d.decision.weighed)
        .required("seed", d.seed)
        .required("observed_ms", d.observed_ms)
        .required("duration_ms", d.duration_ms)
        .required("arms", d.arms)
        .required("confidence", o.confidence)
        .required("comparisons", o.comparisons);
    return keys.text();
}

plot_files report_plot(const experiment_document& d,
    const outcome& o,
    const std::string& data_name,
    const std::string& svg_name)
{
    plot_files result;
    result.data = "# measure arm difference low high\n";
    for (const auto& it : o.comparisons)
    {
        if (it.conclusion != verdict::too_few_blocks)
        {
            result.data += '"' + name(it.quantity) + "\" \"" + it.arm + "\" " +
                           fixed(it.difference, 6) + ' ' + fixed(it.student.low, 6) + ' ' +
                           fixed(it.student.high, 6) + "\n";
        }
    }
    result.script =
        "set terminal svg size 720,360 noenhanced background '#ffffff'\n"
        "set output '" +
        svg_name +
        "'\n"
        "set title 'experiment " +
        d.id + ": difference from " + d.arms.front().name + ", intervals at " +
        percent(o.confidence) +
        "' noenhanced\n"
        "set ylabel 'difference'\n"
        "set xrange [-0.5:*]\n"
        "set offsets 0.5, 0.5, 0, 0\n"
        "set xzeroaxis\n"
        "set key off\n"
        "plot '" +
        data_name +
        "' using 0:3:4:5:xticlabels(sprintf('%s %s', stringcolumn(2), stringcolumn(1))) "
        "with yerrorbars pointtype 7\n";
    return result;
}

} // namespace camphorhitch::experiment
