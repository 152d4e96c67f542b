#include "telemetry/telemetry.hpp"

#include "core/invariant.hpp"
#include "line.hpp"
#include "line_sinks.hpp"
#include "metrics.hpp"
#include "tracer.hpp"

#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>

#include <random>
#include <unistd.h>
#include <utility>

namespace camphorhitch::telemetry
{

namespace
{

constexpr const char* line_pattern = "ts=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v";

spdlog::level::level_enum spdlog_level(ports::log_level level)
{
    switch (level)
    {
    case ports::log_level::debug:
        return spdlog::level::debug;
    case ports::log_level::info:
        return spdlog::level::info;
    case ports::log_level::warning:
        return spdlog::level::warn;
    case ports::log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::err;
}

core::wall_time system_wall()
{
    return core::wall_time{std::chrono::duration_cast<core::millis>(
        std::chrono::system_clock::now().time_since_epoch())};
}

core::mono_time system_monotonic()
{
    return core::mono_time{std::chrono::duration_cast<core::micros>(
        std::chrono::steady_clock::now().time_since_epoch())};
}

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

std::shared_ptr<spdlog::sinks::sink> make_sink(
    line_output where, const std::function<void(std::string_view)>& lines)
{
    if (lines)
    {
        return std::make_shared<function_sink>(lines);
    }
    const bool to_error = where == line_output::standard_error;
    return std::make_shared<descriptor_sink>(to_error ? STDERR_FILENO : STDOUT_FILENO);
}

spdlog::logger make_logger(
    const std::shared_ptr<spdlog::sinks::sink>& sink, ports::log_level min_level)
{
    sink->set_formatter(std::make_unique<spdlog::pattern_formatter>(
        line_pattern, spdlog::pattern_time_type::utc, "\n"));
    spdlog::logger logger{"camphorhitch", sink};
    logger.set_level(spdlog_level(min_level));
    return logger;
}

/// Writes events through spdlog with the time of the configured clock.
struct event_log
{
    spdlog::logger logger;
    ports::log_fields fixed;
    std::function<core::wall_time()> wall;

    void write(ports::log_level level, const std::string& event, const ports::log_fields& fields)
    {
        const auto at = spdlog_level(level);
        if (!logger.should_log(at))
        {
            return;
        }
        const spdlog::log_clock::time_point now{wall().time_since_epoch()};
        const std::string text = event_text(event, fixed, fields);
        logger.log(now, spdlog::source_loc{}, at, spdlog::string_view_t{text});
    }
};

void write_span(event_log& log, const span_record& it)
{
    ports::log_fields fields = {
        {"trace", trace_id_text(it.context)},
        {"span", span_id_text(it.context.span)},
        {"parent", it.parent == 0 ? std::string{} : span_id_text(it.parent)},
        {"name", it.name},
        {"start_ms", std::to_string(core::to_unix_ms(it.start))},
        {"duration_us", std::to_string(it.duration.count())},
    };
    for (const auto& [key, value] : it.tags)
    {
        fields.emplace_back("tag." + key, value);
    }
    log.write(ports::log_level::info, "span", fields);
}

} // namespace

struct hub::parts
{
    std::shared_ptr<event_log> log;
    metrics all_metrics;
    std::shared_ptr<line_tracer> tracer;
    std::function<core::mono_time()> monotonic;
};

hub::hub(std::shared_ptr<parts> all) : parts_(std::move(all))
{
}

std::string hub::render() const
{
    return parts_->all_metrics.render();
}

ports::telemetry hub::port() const
{
    const auto p = parts_;
    ports::telemetry out;
    out.log = [p](ports::log_level level, const std::string& event, const ports::log_fields& fields)
    {
        p->log->write(level, event, fields);
    };
    out.count = [p](const std::string& name, const ports::metric_labels& labels, double by)
    {
        p->all_metrics.count(name, labels, by);
    };
    out.gauge = [p](const std::string& name, const ports::metric_labels& labels, double v)
    {
        p->all_metrics.gauge(name, labels, v);
    };
    out.observe = [p](const std::string& name, const ports::metric_labels& labels, double v)
    {
        p->all_metrics.observe(name, labels, v);
    };
    out.start_span = [p](const std::string& name, const std::string& parent)
    {
        return start_span(*p, name, parent);
    };
    return out;
}

ports::span hub::start_span(parts& p, const std::string& name, const std::string& parent)
{
    const auto parent_context = from_traceparent(parent);
    const line_context context{parent_context.value_or(trace_context{})};
    const std::shared_ptr<opentracing::Span> it =
        p.tracer->StartSpan(name, {opentracing::ChildOf(parent_context ? &context : nullptr)});
    ports::span out;
    out.traceparent = to_traceparent(dynamic_cast<const line_context&>(it->context()).value());
    out.tag = [it](const std::string& key, const std::string& value)
    {
        it->SetTag(key, value);
    };
    out.finish = [it, monotonic = p.monotonic]
    {
        const opentracing::SteadyTime now{monotonic().time_since_epoch()};
        it->FinishWithOptions({now, {}});
    };
    return out;
}

builder& builder::level(ports::log_level min_level)
{
    level_ = min_level;
    return *this;
}

builder& builder::output(line_output where)
{
    output_ = where;
    return *this;
}

builder& builder::lines(std::function<void(std::string_view)> lines)
{
    lines_ = std::move(lines);
    return *this;
}

builder& builder::field(std::string key, std::string value)
{
    fields_.emplace_back(std::move(key), std::move(value));
    return *this;
}

builder& builder::sample(double share)
{
    sample_ = share;
    return *this;
}

builder& builder::seed(std::uint64_t seed)
{
    seed_ = seed;
    return *this;
}

builder& builder::clocks(
    std::function<core::wall_time()> wall, std::function<core::mono_time()> monotonic)
{
    wall_ = std::move(wall);
    monotonic_ = std::move(monotonic);
    return *this;
}

builder& builder::max_series(std::size_t max)
{
    max_series_ = max;
    return *this;
}

builder& builder::help(std::string metric, std::string text)
{
    help_[std::move(metric)] = std::move(text);
    return *this;
}

hub builder::build() const
{
    core::require(sample_ >= 0 && sample_ <= 1, "the share of sampled traces is 0 to 1");
    core::require(max_series_ > 0, "a metric keeps at least one label set");
    const auto wall = wall_ ? wall_ : system_wall;
    const auto monotonic = monotonic_ ? monotonic_ : system_monotonic;
    const auto log = std::make_shared<event_log>(
        event_log{make_logger(make_sink(output_, lines_), level_), fields_, wall});
    tracer_settings tracing{sample_, seed_ ? *seed_ : random_seed(), wall, monotonic, {}};
    tracing.record = [log](const span_record& it)
    {
        write_span(*log, it);
    };
    return hub{std::make_shared<hub::parts>(hub::parts{log,
        metrics{max_series_, help_},
        std::make_shared<line_tracer>(std::move(tracing)),
        monotonic})};
}

} // namespace camphorhitch::telemetry
