#include "tracer.hpp"

#include "line_span.hpp"

#include <algorithm>
#include <cmath>
#include <istream>
#include <ostream>

namespace camphorhitch::telemetry
{

namespace
{

const std::string field_name = "traceparent";

using extracted = opentracing::expected<std::unique_ptr<opentracing::SpanContext>>;

const line_context* as_line_context(const opentracing::SpanContext* sc)
{
    return dynamic_cast<const line_context*>(sc);
}

/// Derives the sampling decision from the trace id, so that hops which decide independently agree.
bool is_sampled(std::uint64_t trace_low, double share)
{
    return std::ldexp(static_cast<double>(trace_low), -64) < share;
}

bool is_field_name(opentracing::string_view key)
{
    const auto same = [](char a, char b)
    {
        return (a >= 'A' && a <= 'Z' ? a + 32 : a) == b;
    };
    return std::equal(key.begin(), key.end(), field_name.begin(), field_name.end(), same);
}

extracted extract_text(std::string_view text)
{
    const auto context = from_traceparent(text);
    if (!context)
    {
        return opentracing::make_unexpected(opentracing::span_context_corrupted_error);
    }
    return std::unique_ptr<opentracing::SpanContext>{std::make_unique<line_context>(*context)};
}

opentracing::expected<void> inject_into(
    const opentracing::SpanContext& sc, const opentracing::TextMapWriter& writer)
{
    const line_context* context = as_line_context(&sc);
    if (context == nullptr)
    {
        return opentracing::make_unexpected(opentracing::invalid_span_context_error);
    }
    return writer.Set(field_name, to_traceparent(context->value()));
}

/// \return the context; a null pointer when there is no traceparent field.
extracted extract_from(const opentracing::TextMapReader& reader)
{
    std::string text;
    const auto done = reader.ForeachKey(
        [&](opentracing::string_view key,
            opentracing::string_view value) -> opentracing::expected<void>
        {
            if (is_field_name(key))
            {
                text = value;
            }
            return {};
        });
    if (!done)
    {
        return opentracing::make_unexpected(done.error());
    }
    if (text.empty())
    {
        return std::unique_ptr<opentracing::SpanContext>{};
    }
    return extract_text(text);
}

} // namespace

tracer_core::tracer_core(tracer_settings s) : settings(std::move(s)), ids(settings.seed)
{
}

trace_context tracer_core::next_context(const trace_context* parent)
{
    const std::lock_guard lock{mutex};
    const auto next_id = [&]
    {
        const std::uint64_t id = ids();
        return id == 0 ? 1 : id; // 0 is not a valid id
    };
    trace_context c;
    if (parent != nullptr)
    {
        c = *parent;
    }
    else
    {
        c.trace_high = next_id();
        c.trace_low = next_id();
        c.sampled = is_sampled(c.trace_low, settings.sample);
    }
    c.span = next_id();
    return c;
}

line_context::line_context(const trace_context& c) : value_(c)
{
}

void line_context::ForeachBaggageItem(
    std::function<bool(const std::string& key, const std::string& value)>) const
{
}

std::unique_ptr<opentracing::SpanContext> line_context::Clone() const noexcept
{
    return std::make_unique<line_context>(value_);
}

std::string line_context::ToTraceID() const noexcept
{
    return trace_id_text(value_);
}

std::string line_context::ToSpanID() const noexcept
{
    return span_id_text(value_.span);
}

line_tracer::line_tracer(tracer_settings settings)
    : core_(std::make_shared<tracer_core>(std::move(settings)))
{
}

std::unique_ptr<opentracing::Span> line_tracer::StartSpanWithOptions(
    opentracing::string_view name, const opentracing::StartSpanOptions& options) const noexcept
{
    const line_context* parent = nullptr;
    for (const auto& [kind, context] : options.references)
    {
        parent = parent == nullptr ? as_line_context(context) : parent;
    }
    span_record started;
    started.context = core_->next_context(parent == nullptr ? nullptr : &parent->value());
    started.parent = parent == nullptr ? 0 : parent->value().span;
    started.name = name;
    started.start = core_->settings.wall();
    if (options.start_system_timestamp != opentracing::SystemTime{})
    {
        started.start = core::wall_time{std::chrono::duration_cast<core::millis>(
            options.start_system_timestamp.time_since_epoch())};
    }
    opentracing::SteadyTime start = options.start_steady_timestamp;
    if (start == opentracing::SteadyTime{})
    {
        start = opentracing::SteadyTime{core_->settings.monotonic().time_since_epoch()};
    }
    auto span = std::make_unique<line_span>(shared_from_this(), core_, std::move(started), start);
    for (const auto& [key, value] : options.tags)
    {
        span->SetTag(key, value);
    }
    return span;
}

opentracing::expected<void> line_tracer::Inject(
    const opentracing::SpanContext& sc, std::ostream& writer) const
{
    const line_context* context = as_line_context(&sc);
    if (context == nullptr)
    {
        return opentracing::make_unexpected(opentracing::invalid_span_context_error);
    }
    writer << to_traceparent(context->value());
    return {};
}

opentracing::expected<void> line_tracer::Inject(
    const opentracing::SpanContext& sc, const opentracing::TextMapWriter& writer) const
{
    return inject_into(sc, writer);
}

opentracing::expected<void> line_tracer::Inject(
    const opentracing::SpanContext& sc, const opentracing::HTTPHeadersWriter& writer) const
{
    return inject_into(sc, writer);
}

extracted line_tracer::Extract(std::istream& reader) const
{
    std::string text;
    reader >> text;
    return extract_text(text);
}

extracted line_tracer::Extract(const opentracing::TextMapReader& reader) const
{
    return extract_from(reader);
}

extracted line_tracer::Extract(const opentracing::HTTPHeadersReader& reader) const
{
    return extract_from(reader);
}

} // namespace camphorhitch::telemetry
