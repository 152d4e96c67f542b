#include "fixture.hpp"
#include "line_span.hpp"
#include "trace_context.hpp"
#include "tracer.hpp"

#include <rapidcheck.h>

#include <map>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::telemetry;

namespace
{

const std::string sampled_parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const std::string unsampled_parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";

/// An OpenTracing carrier that stores the fields in a map.
struct map_carrier : opentracing::TextMapReader, opentracing::TextMapWriter
{
    mutable std::map<std::string, std::string> all;

    opentracing::expected<void> Set(
        opentracing::string_view key, opentracing::string_view value) const override
    {
        all[key] = value;
        return {};
    }

    opentracing::expected<void> ForeachKey(std::function<opentracing::expected<void>(
            opentracing::string_view key, opentracing::string_view value)> f) const override
    {
        for (const auto& [key, value] : all)
        {
            f(key, value);
        }
        return {};
    }
};

} // namespace

TEST_GROUP(traces)
{
    recorded_hub at;
};

TEST(traces, traceparent_is_parsed_as_the_recommendation_requires)
{
    const std::string good = sampled_parent;
    struct row
    {
        std::string text;
        bool accepted;
    };
    const row rows[] = {{good, true},
        {unsampled_parent, true},
        {"01" + good.substr(2) + "-more", true},
        {"01" + good.substr(2) + "more", false},
        {good + "-more", false},
        {"ff" + good.substr(2), false},
        {good.substr(0, 54), false},
        {"", false},
        {"00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01", false},
        {"00-00000000000000000000000000000000-b7ad6b7169203331-01", false},
        {"00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01", false},
        {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b716920333g-01", false},
        {"00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", false}};
    for (const auto& it : rows)
    {
        CHECK_EQUAL_TEXT(it.accepted, from_traceparent(it.text).has_value(), it.text.c_str());
    }
    STRCMP_EQUAL(good.c_str(), to_traceparent(*from_traceparent(good)).c_str());
}

TEST(traces, arbitrary_bytes_are_parsed_without_failure)
{
    CHECK(rc::check("damaged traceparent",
        []
        {
            std::string text = sampled_parent;
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
            text.resize(*rc::gen::inRange<std::size_t>(50, 60), '-');
            if (const auto context = from_traceparent(text))
            {
                RC_ASSERT(from_traceparent(to_traceparent(*context)).has_value());
            }
        }));
}

TEST(traces, a_sampled_span_is_one_line_with_the_id_of_its_parent)
{
    const auto port = at.make().build().port();
    auto it = port.start_span("permit ask", sampled_parent);
    it.tag("pool", "p 1");
    at.now += core::micros{1500};
    it.finish();
    it.finish();
    LONGS_EQUAL(1, at.lines.size());
    const std::string span = it.traceparent.substr(36, 16);
    STRCMP_EQUAL(("ts=2025-12-02T18:00:00.123Z level=info event=span "
                  "trace=0af7651916cd43dd8448eb211c80319c span=" +
                     span +
                     " parent=b7ad6b7169203331 name=\"permit ask\" start_ms=1764698400123 "
                     "duration_us=1500 tag.pool=\"p 1\"")
                     .c_str(),
        at.lines[0].c_str());
    STRCMP_EQUAL(sampled_parent.substr(0, 36).c_str(), it.traceparent.substr(0, 36).c_str());
    STRCMP_EQUAL("-01", it.traceparent.substr(52).c_str());
}

TEST(traces, the_parents_decision_overrides_the_sampled_share)
{
    struct row
    {
        double share;
        std::string parent;
        std::size_t lines;
        const char* flags;
    };
    const row rows[] = {{1, unsampled_parent, 0, "00"},
        {0, sampled_parent, 1, "01"},
        {1, "", 1, "01"},
        {0, "", 0, "00"},
        {1, "broken", 1, "01"}};
    for (const auto& it : rows)
    {
        at.lines.clear();
        const auto span = at.make().sample(it.share).build().port().start_span("s", it.parent);
        span.finish();
        LONGS_EQUAL(it.lines, at.lines.size());
        STRCMP_EQUAL(it.flags, span.traceparent.substr(53).c_str());
    }
}

TEST(traces, ids_follow_the_seed_and_the_share_is_kept)
{
    const auto port = at.make().sample(0.25).build().port();
    const auto again = at.make().sample(0.25).build().port();
    const auto other = at.make().sample(0.25).seed(8).build().port();
    int sampled = 0;
    for (int i = 0; i < 4000; ++i)
    {
        const auto text = port.start_span("s", "").traceparent;
        STRCMP_EQUAL(text.c_str(), again.start_span("s", "").traceparent.c_str());
        CHECK(text != other.start_span("s", "").traceparent);
        sampled += text.substr(53) == "01" ? 1 : 0;
    }
    DOUBLES_EQUAL(0.25, sampled / 4000.0, 0.03);
}

/// A span is not ended explicitly, for example because of an early return. It must be written when
/// its last copy is destroyed.
TEST(traces, an_unfinished_span_ends_with_its_last_copy)
{
    const auto port = at.make().sample(1).build().port();
    {
        const auto it = port.start_span("s", "");
        const auto copy = it;
        LONGS_EQUAL(0, at.lines.size());
    }
    LONGS_EQUAL(1, at.lines.size());
}

TEST(traces, the_opentracing_api_carries_contexts_through_each_carrier)
{
    tracer_settings settings;
    settings.sample = 1;
    settings.wall = []
    {
        return core::from_unix_ms(0);
    };
    settings.monotonic = []
    {
        return core::mono_time{};
    };
    std::vector<span_record> records;
    settings.record = [&](const span_record& it)
    {
        records.push_back(it);
    };
    const auto tracer = std::make_shared<line_tracer>(settings);
    const auto root = tracer->StartSpan("root", {opentracing::SetTag("retry", 2)});

    const map_carrier carrier;
    CHECK(static_cast<bool>(tracer->Inject(root->context(), carrier)));
    carrier.all = {{"TraceParent", carrier.all.at("traceparent")}};
    const auto from_map = tracer->Extract(carrier);
    std::stringstream stream;
    CHECK(static_cast<bool>(tracer->Inject(root->context(), stream)));
    const auto from_stream = tracer->Extract(stream);
    for (const auto* context : {from_map->get(), from_stream->get()})
    {
        STRCMP_EQUAL(root->context().ToTraceID().c_str(), context->ToTraceID().c_str());
        STRCMP_EQUAL(root->context().ToSpanID().c_str(), context->ToSpanID().c_str());
    }
    tracer->StartSpan("child", {opentracing::ChildOf(from_map->get())})->Finish();
    root->Finish();
    LONGS_EQUAL(2, records.size());
    CHECK(records[0].parent == records[1].context.span);
    STRCMP_EQUAL("2", records[1].tags.at(0).second.c_str());

    const map_carrier empty;
    CHECK(tracer->Extract(empty)->get() == nullptr);
    empty.all = {{"traceparent", "broken"}};
    const auto broken = tracer->Extract(empty);
    CHECK(broken.error() == opentracing::span_context_corrupted_error);
}
