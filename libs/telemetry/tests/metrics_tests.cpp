#include "fixture.hpp"
#include "summary.hpp"

#include <cmath>
#include <limits>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::telemetry;

TEST_GROUP(summaries){};

TEST(summaries, few_samples_give_exact_quantiles)
{
    struct row
    {
        int samples;
        double p50;
        double p99;
    };
    const row rows[] = {{1, 1, 1}, {2, 1, 2}, {10, 5, 10}, {11, 6, 11}};
    for (const auto& it : rows)
    {
        summary s;
        for (int i = it.samples; i > 0; --i)
        {
            s.add(i);
        }
        DOUBLES_EQUAL(it.p50, s.quantiles()[0], 0);
        DOUBLES_EQUAL(it.p99, s.quantiles()[2], 0);
        DOUBLES_EQUAL(it.samples, s.maximum(), 0);
        DOUBLES_EQUAL(it.samples * (it.samples + 1) / 2.0, s.sum(), 0);
        LONGS_EQUAL(it.samples, s.count());
    }
}

/// Request durations have a long tail. The true rank of each estimate must be close to the
/// requested quantile.
TEST(summaries, many_samples_give_quantiles_close_to_the_requested_rank)
{
    std::mt19937_64 random{20261202};
    std::exponential_distribution<double> times{10};
    summary s;
    for (int i = 0; i < 200000; ++i)
    {
        s.add(times(random));
    }
    const auto estimates = s.quantiles();
    const double allowed[] = {0.01, 0.005, 0.002, 0.0005};
    for (std::size_t i = 0; i < estimates.size(); ++i)
    {
        const double rank = 1 - std::exp(-10 * estimates[i]);
        DOUBLES_EQUAL(summary_quantiles[i], rank, allowed[i]);
    }
}

TEST_GROUP(metrics)
{
    recorded_hub at;
};

TEST(metrics, render_gives_prometheus_text_in_a_fixed_order)
{
    const auto hub = at.make().help("requests_total", "Requests, by\nclass.").build();
    const auto port = hub.port();
    port.gauge("b_hosts", {}, 3);
    port.gauge("b_hosts", {}, 2.5);
    port.count("requests_total", {{"class", "quick"}}, 1);
    port.count("requests_total", {{"class", "a\"b\\c\nd"}}, 2);
    port.count("requests_total", {{"class", "quick"}}, 1);
    port.observe("time_seconds", {{"pool", "p"}}, 0.25);
    port.observe("time_seconds", {{"pool", "p"}}, 0.5);
    port.gauge("9 odd-name", {{"a-b", "c"}}, 1);
    STRCMP_EQUAL("# TYPE __odd_name gauge\n"
                 "__odd_name{a_b=\"c\"} 1\n"
                 "# TYPE b_hosts gauge\n"
                 "b_hosts 2.5\n"
                 "# HELP requests_total Requests, by\\nclass.\n"
                 "# TYPE requests_total counter\n"
                 "requests_total{class=\"a\\\"b\\\\c\\nd\"} 2\n"
                 "requests_total{class=\"quick\"} 2\n"
                 "# TYPE time_seconds summary\n"
                 "time_seconds{pool=\"p\",quantile=\"0.5\"} 0.25\n"
                 "time_seconds{pool=\"p\",quantile=\"0.9\"} 0.5\n"
                 "time_seconds{pool=\"p\",quantile=\"0.99\"} 0.5\n"
                 "time_seconds{pool=\"p\",quantile=\"0.999\"} 0.5\n"
                 "time_seconds_sum{pool=\"p\"} 0.75\n"
                 "time_seconds_count{pool=\"p\"} 2\n"
                 "# TYPE time_seconds_max gauge\n"
                 "time_seconds_max{pool=\"p\"} 0.5\n",
        hub.render().c_str());
}

/// The value of a label comes from callers. Memory and the length of the text must stay bounded,
/// the sum over all series must stay correct, and the dropped samples must be counted.
TEST(metrics, label_sets_beyond_the_limit_share_one_series)
{
    const auto hub = at.make().max_series(2).build();
    const auto port = hub.port();
    for (int i = 0; i < 100; ++i)
    {
        port.count("c", {{"path", std::to_string(i)}}, 1);
        port.gauge("g", {{"path", std::to_string(i)}}, 1);
        port.observe("s", {{"path", std::to_string(i)}}, 1);
    }
    const auto text = hub.render();
    for (const char* line : {"\nc{path=\"0\"} 1\n",
             "\nc{overflow=\"true\"} 98\n",
             "\ns_count{overflow=\"true\"} 98\n",
             "\ncamphorhitch_metric_samples_dropped_total{metric=\"g\",reason=\"series\"} 98\n"})
    {
        CHECK_TEXT(('\n' + text).find(line) != std::string::npos, line);
    }
    CHECK(text.find("path=\"2\"") == std::string::npos);
    CHECK(text.find("g{overflow") == std::string::npos);
}

TEST(metrics, dropped_samples_are_counted)
{
    const auto hub = at.make().build();
    const auto port = hub.port();
    port.count("c", {}, 1);
    port.gauge("c", {}, 5);
    port.count("c", {}, -1);
    port.observe("s", {}, std::numeric_limits<double>::quiet_NaN());
    port.gauge("g", {}, std::numeric_limits<double>::infinity());
    for (int i = 0; i < 2000; ++i)
    {
        port.count("name_" + std::to_string(i), {}, 1);
    }
    const std::string head = "camphorhitch_metric_samples_dropped_total{metric=";
    const auto text = hub.render();
    for (const char* line : {"\"c\",reason=\"kind\"} 1\n",
             "\"c\",reason=\"value\"} 1\n",
             "\"s\",reason=\"value\"} 1\n",
             "\"g\",reason=\"value\"} 1\n",
             "\"other\",reason=\"families\"} 1002\n"})
    {
        CHECK_TEXT(text.find(head + line) != std::string::npos, line);
    }
    CHECK(text.find("\nc 1\n") != std::string::npos);
}
