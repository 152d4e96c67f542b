#include "line_span.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace camphorhitch::telemetry
{

namespace
{

constexpr std::size_t max_tags = 32;

/// Converts each type of OpenTracing values to text.
struct value_printer
{
    std::string operator()(bool v) const
    {
        return v ? "true" : "false";
    }

    std::string operator()(double v) const
    {
        return fmt::format("{}", v);
    }

    std::string operator()(std::int64_t v) const
    {
        return std::to_string(v);
    }

    std::string operator()(std::uint64_t v) const
    {
        return std::to_string(v);
    }

    std::string operator()(const std::string& v) const
    {
        return v;
    }

    std::string operator()(opentracing::string_view v) const
    {
        return {v.data(), v.size()};
    }

    std::string operator()(std::nullptr_t) const
    {
        return "null";
    }

    std::string operator()(const char* v) const
    {
        return v;
    }

    std::string operator()(const opentracing::Values& v) const
    {
        return std::to_string(v.size()) + " values";
    }

    std::string operator()(const opentracing::Dictionary& v) const
    {
        return std::to_string(v.size()) + " pairs";
    }
};

} // namespace

std::string value_text(const opentracing::Value& v)
{
    return opentracing::Value::visit(v, value_printer{});
}

line_span::line_span(std::shared_ptr<const line_tracer> tracer,
    std::shared_ptr<tracer_core> core,
    span_record started,
    opentracing::SteadyTime start)
    : tracer_(std::move(tracer)), core_(std::move(core)), record_(std::move(started)),
      start_(start), context_(record_.context)
{
}

line_span::~line_span()
{
    const auto now = core_->settings.monotonic();
    line_span::FinishWithOptions({opentracing::SteadyTime{now.time_since_epoch()}, {}});
}

void line_span::FinishWithOptions(const opentracing::FinishSpanOptions& options) noexcept
{
    if (std::exchange(ended_, true) || !record_.context.sampled)
    {
        return;
    }
    const auto elapsed = options.finish_steady_timestamp - start_;
    record_.duration = std::max(core::micros{0}, std::chrono::duration_cast<core::micros>(elapsed));
    core_->settings.record(record_);
}

void line_span::SetOperationName(opentracing::string_view name) noexcept
{
    record_.name = name;
}

void line_span::SetTag(opentracing::string_view key, const opentracing::Value& v) noexcept
{
    if (record_.context.sampled && record_.tags.size() < max_tags)
    {
        record_.tags.emplace_back(key, value_text(v));
    }
}

/// Baggage is not supported. The traceparent header has no baggage, and baggage that is lost at the
/// first hop would be misleading.
void line_span::SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept
{
}

std::string line_span::BaggageItem(opentracing::string_view) const noexcept
{
    return {};
}

/// Logs within a span are not supported. A span is one line; its events are logged separately.
void line_span::Log(
    std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>) noexcept
{
}

void line_span::Log(opentracing::SystemTime,
    std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>) noexcept
{
}

void line_span::Log(opentracing::SystemTime,
    const std::vector<std::pair<opentracing::string_view, opentracing::Value>>&) noexcept
{
}

const opentracing::SpanContext& line_span::context() const noexcept
{
    return context_;
}

const opentracing::Tracer& line_span::tracer() const noexcept
{
    return *tracer_;
}

} // namespace camphorhitch::telemetry
