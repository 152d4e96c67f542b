/// \file
/// The span type of line_tracer.
#pragma once

#include "tracer.hpp"

#include <opentracing/span.h>

namespace camphorhitch::telemetry
{

/// A span that is written as one record when it ends.
class line_span : public opentracing::Span
{
public:
    line_span(std::shared_ptr<const line_tracer> tracer,
        std::shared_ptr<tracer_core> core,
        span_record started,
        opentracing::SteadyTime start);
    line_span(const line_span&) = delete;
    line_span& operator=(const line_span&) = delete;

    /// Ends the span if it has not ended yet.
    ~line_span() override;

    void FinishWithOptions(const opentracing::FinishSpanOptions& options) noexcept override;
    void SetOperationName(opentracing::string_view name) noexcept override;
    void SetTag(opentracing::string_view key, const opentracing::Value& v) noexcept override;
    void SetBaggageItem(opentracing::string_view key, opentracing::string_view v) noexcept override;
    std::string BaggageItem(opentracing::string_view key) const noexcept override;
    void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
            fields) noexcept override;
    void Log(opentracing::SystemTime at,
        std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
            fields) noexcept override;
    void Log(opentracing::SystemTime at,
        const std::vector<std::pair<opentracing::string_view, opentracing::Value>>& fields) noexcept
        override;
    const opentracing::SpanContext& context() const noexcept override;
    const opentracing::Tracer& tracer() const noexcept override;

private:
    std::shared_ptr<const line_tracer> tracer_;
    std::shared_ptr<tracer_core> core_;
    span_record record_;
    opentracing::SteadyTime start_;
    line_context context_;
    bool ended_ = false;
};

/// \return \p v as text; for lists and dictionaries, their size.
std::string value_text(const opentracing::Value& v);

} // namespace camphorhitch::telemetry
