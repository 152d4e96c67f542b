#include "metrics.hpp"

#include "prometheus_text.hpp"

#include <cmath>

namespace camphorhitch::telemetry
{

namespace
{

constexpr std::size_t max_families = 1000;
const std::string dropped_name = "camphorhitch_metric_samples_dropped_total";
const ports::metric_labels overflow_labels = {{"overflow", "true"}};

} // namespace

metrics::metrics(std::size_t max_series, std::map<std::string, std::string> help)
    : max_series_(max_series), help_(std::move(help))
{
    help_.emplace(dropped_name,
        "Samples that had no series of their own: too many label sets (series), too many metrics "
        "(families), another kind of metric (kind), no finite number (value).");
}

void metrics::count(const std::string& name, const ports::metric_labels& labels, double by)
{
    if (!std::isfinite(by) || by < 0)
    {
        count_dropped(name, "value");
        return;
    }
    if (series* it = find(name, labels, metric_kind::counter))
    {
        std::get<double>(*it) += by;
    }
}

void metrics::gauge(const std::string& name, const ports::metric_labels& labels, double v)
{
    if (!std::isfinite(v))
    {
        count_dropped(name, "value");
        return;
    }
    if (series* it = find(name, labels, metric_kind::gauge))
    {
        std::get<double>(*it) = v;
    }
}

void metrics::observe(const std::string& name, const ports::metric_labels& labels, double v)
{
    if (!std::isfinite(v))
    {
        count_dropped(name, "value");
        return;
    }
    if (series* it = find(name, labels, metric_kind::summary))
    {
        std::get<summary>(*it).add(v);
    }
}

metrics::series* metrics::find(
    const std::string& name, const ports::metric_labels& labels, metric_kind kind)
{
    auto found = families_.find(name);
    if (found == families_.end())
    {
        if (families_.size() >= max_families)
        {
            count_dropped("other", "families");
            return nullptr;
        }
        found = families_.emplace(name, family{kind, {}}).first;
    }
    family& f = found->second;
    if (f.kind != kind)
    {
        count_dropped(name, "kind");
        return nullptr;
    }
    const auto it = f.all.find(labels);
    if (it != f.all.end())
    {
        return &it->second;
    }
    if (f.all.size() >= max_series_ && labels != overflow_labels)
    {
        return find_overflow_series(f, name);
    }
    const series empty = kind == metric_kind::summary ? series{summary{}} : series{0.0};
    return &f.all.emplace(labels, empty).first->second;
}

/// A label whose value comes from callers, such as a path or a key, creates a series for each
/// value, until the memory is exhausted and each scrape takes seconds. Beyond the limit, the
/// samples of counters and summaries are added to one series, so that sums over all label sets stay
/// correct. Samples of gauges are dropped, since a sum of gauges has no meaning.
metrics::series* metrics::find_overflow_series(family& f, const std::string& name)
{
    count_dropped(name, "series");
    if (f.kind == metric_kind::gauge)
    {
        return nullptr;
    }
    const series empty = f.kind == metric_kind::summary ? series{summary{}} : series{0.0};
    return &f.all.emplace(overflow_labels, empty).first->second;
}

void metrics::count_dropped(const std::string& name, const char* reason)
{
    family& f = families_[dropped_name];
    std::get<double>(f.all[{{"metric", name}, {"reason", reason}}]) += 1;
}

std::string metrics::render() const
{
    std::string out;
    for (const auto& [name, f] : families_)
    {
        const auto help = help_.find(name);
        render_family(out, name, f, help == help_.end() ? std::string{} : help->second);
    }
    return out;
}

void metrics::render_family(
    std::string& out, const std::string& name, const family& f, const std::string& help)
{
    switch (f.kind)
    {
    case metric_kind::counter:
    case metric_kind::gauge:
        append_header(out, name, f.kind == metric_kind::counter ? "counter" : "gauge", help);
        for (const auto& [labels, it] : f.all)
        {
            append_sample(out, name, labels, std::get<double>(it));
        }
        return;
    case metric_kind::summary:
        break;
    }
    append_header(out, name, "summary", help);
    for (const auto& [labels, it] : f.all)
    {
        const auto& s = std::get<summary>(it);
        const auto quantiles = s.quantiles();
        for (std::size_t i = 0; i < quantiles.size(); ++i)
        {
            ports::metric_labels with = labels;
            with.emplace_back("quantile", number_text(summary_quantiles[i]));
            append_sample(out, name, with, quantiles[i]);
        }
        append_sample(out, name + "_sum", labels, s.sum());
        append_sample(out, name + "_count", labels, static_cast<double>(s.count()));
    }
    append_header(out, name + "_max", "gauge", {});
    for (const auto& [labels, it] : f.all)
    {
        append_sample(out, name + "_max", labels, std::get<summary>(it).maximum());
    }
}

} // namespace camphorhitch::telemetry
