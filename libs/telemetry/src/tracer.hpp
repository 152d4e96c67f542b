/// \file
/// An implementation of the OpenTracing API that writes one record for each sampled span.
#pragma once

#include "core/time.hpp"
#include "ports/telemetry.hpp"
#include "trace_context.hpp"

#include <opentracing/tracer.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>

namespace camphorhitch::telemetry
{

/// A span that has ended.
struct span_record
{
    trace_context context;
    std::uint64_t parent = 0; ///< id of the parent span; 0: the span is the root of the trace
    std::string name;
    core::wall_time start;
    core::micros duration{0};
    ports::log_fields tags;
};

struct tracer_settings
{
    double sample = 0; ///< share of new traces that are recorded
    std::uint64_t seed = 0;
    std::function<core::wall_time()> wall;
    std::function<core::mono_time()> monotonic;
    std::function<void(const span_record&)> record; ///< called for each sampled span that ends
};

/// State that a tracer shares with its spans, which may outlive the tracer.
struct tracer_core
{
    explicit tracer_core(tracer_settings s);

    /// \return the context of a child of \p parent; the root of a new trace when \p parent is null.
    trace_context next_context(const trace_context* parent);

    tracer_settings settings;
    std::mutex mutex; ///< protects ids
    std::mt19937_64 ids;
};

/// A trace_context as OpenTracing's context type.
class line_context : public opentracing::SpanContext
{
public:
    explicit line_context(const trace_context& c);

    void ForeachBaggageItem(
        std::function<bool(const std::string& key, const std::string& value)> f) const override;
    std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override;
    std::string ToTraceID() const noexcept override;
    std::string ToSpanID() const noexcept override;

    const trace_context& value() const
    {
        return value_;
    }

private:
    trace_context value_;
};

/// Creates the spans, and transfers their contexts to and from header fields.
class line_tracer : public opentracing::Tracer, public std::enable_shared_from_this<line_tracer>
{
public:
    explicit line_tracer(tracer_settings settings);

    std::unique_ptr<opentracing::Span> StartSpanWithOptions(opentracing::string_view name,
        const opentracing::StartSpanOptions& options) const noexcept override;

    opentracing::expected<void> Inject(
        const opentracing::SpanContext& sc, std::ostream& writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext& sc,
        const opentracing::TextMapWriter& writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext& sc,
        const opentracing::HTTPHeadersWriter& writer) const override;

    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
        std::istream& reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
        const opentracing::TextMapReader& reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
        const opentracing::HTTPHeadersReader& reader) const override;

private:
    std::shared_ptr<tracer_core> core_;
};

} // namespace camphorhitch::telemetry
