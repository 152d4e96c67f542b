#include "fixture.hpp"
#include "line.hpp"
#include "line_sinks.hpp"

#include <rapidcheck.h>
#include <spdlog/logger.h>

#include <algorithm>
#include <array>
#include <string>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::telemetry;

namespace
{

std::string field_text(const std::string& key, const std::string& value)
{
    std::string line;
    append_field(line, key, value);
    return line;
}

/// Parses a line as a log shipper does: pairs separated by blanks, quoted values with escapes.
ports::log_fields parse_line(const std::string& line)
{
    ports::log_fields fields;
    std::size_t i = 0;
    while (i < line.size())
    {
        const auto equals = line.find('=', i);
        std::string value;
        const bool quoted = line[equals + 1] == '"';
        std::size_t it = equals + (quoted ? 2 : 1);
        while (it < line.size() && line[it] != (quoted ? '"' : ' '))
        {
            value += line[it];
            it += quoted && line[it] == '\\' ? 2 : 1;
        }
        fields.emplace_back(line.substr(i, equals - i), value);
        i = it + (quoted ? 2 : 1);
    }
    return fields;
}

} // namespace

TEST_GROUP(log)
{
    recorded_hub at;
};

TEST(log, values_are_quoted_and_escaped_where_needed)
{
    struct row
    {
        std::string value;
        const char* text;
    };
    const row rows[] = {
        {"10.0.0.7:80/a?b", "k=10.0.0.7:80/a?b"},
        {"", "k=\"\""},
        {"a b", "k=\"a b\""},
        {"a=b", "k=\"a=b\""},
        {"say \"no\" \\", "k=\"say \\\"no\\\" \\\\\""},
        {"a\nts=1 event=forged", "k=\"a\\nts=1 event=forged\""},
        {"\r\t\x1b[2J\x7f", "k=\"\\r\\t\\x1b[2J\\x7f\""},
        {std::string("a\0b", 3), "k=\"a\\x00b\""},
        {"Skólaferð", "k=\"Skólaferð\""},
        {"a\xff\xc3", "k=\"a\\xff\\xc3\""},
        {"a\xe2\x80\xa8\xc2\x85\xe2\x80\xae", "k=\"a\\u2028\\u0085\\u202e\""},
    };
    for (const auto& it : rows)
    {
        STRCMP_EQUAL(it.text, field_text("k", it.value).c_str());
    }
    STRCMP_EQUAL("a_b__=v", field_text("a b=\n", "v").c_str());
}

/// Paths, ids and header fields of callers appear in log lines. Arbitrary bytes in them must not
/// add a field or a line, and the fields must keep their order.
TEST(log, no_value_adds_a_field_or_a_line)
{
    CHECK(rc::check("no value adds a field",
        [this]
        {
            at.lines.clear();
            const auto bytes = rc::gen::element<char>(
                '"', '\\', ' ', '=', '\n', '\r', 'a', '\0', '\x1b', '\xc3', '\xa9', '\xe2', '\x80');
            const auto text = rc::gen::container<std::string>(bytes);
            const std::string event = *text;
            const std::string value = *text;
            at.make().build().port().log(
                ports::log_level::error, event, {{"first", value}, {"second", "x"}});
            RC_ASSERT(at.lines.size() == 1u);
            const auto fields = parse_line(at.lines[0]);
            RC_ASSERT(fields.size() == 5u);
            RC_ASSERT(fields[1].second == "error");
            RC_ASSERT(fields[2].first == "event");
            RC_ASSERT(fields[3].first == "first");
            RC_ASSERT(std::all_of(at.lines[0].begin(),
                at.lines[0].end(),
                [](char c) { return static_cast<unsigned char>(c) >= ' ' && c != 0x7f; }));
            RC_ASSERT(fields[4] == std::make_pair(std::string{"second"}, std::string{"x"}));
        }));
}

TEST(log, lines_carry_time_level_event_and_fixed_fields)
{
    const auto port = at.make().field("member", "e1").build().port();
    port.log(ports::log_level::debug, "hidden", {});
    port.log(ports::log_level::warning, "drain_slow", {{"host", "h 1"}});
    LONGS_EQUAL(1, at.lines.size());
    STRCMP_EQUAL(
        "ts=2025-12-02T18:00:00.123Z level=warning event=drain_slow member=e1 host=\"h 1\"",
        at.lines[0].c_str());
}

TEST(log, long_values_and_lines_are_cut)
{
    const auto one = field_text("k", std::string(5000, 'x'));
    CHECK(one.size() < 1100);
    const auto port = at.make().build().port();
    port.log(ports::log_level::info, "e", ports::log_fields(50, {"k", std::string(200, '\n')}));
    CHECK(at.lines[0].size() < 4096);
    STRCMP_EQUAL(" cut=true", at.lines[0].substr(at.lines[0].size() - 9).c_str());
}

/// The reader of the output stops reading and the pipe fills up. Logging must not block; lines are
/// dropped, and the first line that can be written again must report their number.
TEST(log, a_stuck_reader_does_not_block_logging)
{
    std::array<int, 2> ends{};
    CHECK_EQUAL(0, pipe(ends.data()));
    const auto sink = std::make_shared<descriptor_sink>(ends[1]);
    sink->set_pattern("%l %v");
    spdlog::logger logger{"stuck", sink};
    const std::string line(1000, 'x');
    constexpr int lines_beyond_pipe_capacity =
        2000; // of 1000 bytes; pipes hold 64 KiB, at most 1 MiB
    for (int i = 0; i < lines_beyond_pipe_capacity; ++i)
    {
        logger.info(line);
    }
    std::array<char, 1 << 16> buf{};
    std::size_t bytes_read = 0;
    while (bytes_read < buf.size() / 2)
    {
        const auto n = read(ends[0], buf.data(), buf.size());
        CHECK(n > 0);
        bytes_read += static_cast<std::size_t>(n);
    }
    logger.info("again");
    std::string text;
    while (text.find("again\n") == std::string::npos)
    {
        const auto n = read(ends[0], buf.data(), buf.size());
        text.append(buf.data(), static_cast<std::size_t>(n));
    }
    CHECK(text.find("warning event=log_lines_dropped count=") != std::string::npos);
    close(ends[0]);
    close(ends[1]);
}
