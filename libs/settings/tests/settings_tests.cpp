#include "settings/client_settings.hpp"
#include "settings/daemon_settings.hpp"

#include <rapidcheck.h>

#include <fstream>
#include <iterator>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::settings;

namespace
{

std::string file_text(const std::string& name)
{
    std::ifstream file{std::string{EXAMPLE_FOLDER} + "/" + name};
    return {std::istreambuf_iterator<char>{file}, {}};
}

template <class Settings>
std::string findings_of(const std::variant<Settings, core::findings>& r)
{
    const auto* found = std::get_if<core::findings>(&r);
    return found == nullptr ? std::string{} : core::to_text(*found);
}

/// \return the minimal valid settings, with the keys \p more, and with \p store added to "store".
std::string with(const std::string& more, const std::string& store = {})
{
    return "{\"member\":\"e1\",\"zone\":\"z1\",\"peer_address\":\"10.0.0.1:1\",\n"
           "\"caller_address\":\"10.0.0.1:2\",\"operator_address\":\"10.0.0.1:3\",\n"
           "\"operator_token\":\"operator\",\"peer_token\":\"among-peers\",\n"
           "\"store\":{\"addresses\":[\"10.0.0.2:4\"]" +
           store + "}\n" + more + "}";
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(settings){};

TEST(settings, the_examples_are_read_and_show_the_defaults)
{
    const auto r = read_daemon_settings(file_text("example.json"), "example.json");
    STRCMP_EQUAL("", findings_of(r).c_str());
    const auto minimal = read_daemon_settings(with(""), "s");
    STRCMP_EQUAL("", findings_of(minimal).c_str());
    const auto& example = std::get<daemon_settings>(r);
    const auto& d = std::get<daemon_settings>(minimal);
    struct row
    {
        const char* key;
        long long example;
        long long default_value;
    };
    const row rows[] = {
        {"timeout_ms", example.store.timeout.count(), d.store.timeout.count()},
        {"lease_ttl_ms", example.store.lease_ttl.count(), d.store.lease_ttl.count()},
        {"poll_ms", example.platform.poll.count(), d.platform.poll.count()},
        {"list_lag_ms", example.platform.list_lag.count(), d.platform.list_lag.count()},
        {"body_bytes", (long long)example.limits.body_bytes, (long long)d.limits.body_bytes},
        {"header_bytes", (long long)example.limits.header_bytes, (long long)d.limits.header_bytes},
        {"connections", (long long)example.limits.connections, (long long)d.limits.connections},
        {"open_requests",
            (long long)example.limits.open_requests,
            (long long)d.limits.open_requests},
        {"answer_bytes", (long long)example.limits.answer_bytes, (long long)d.limits.answer_bytes},
        {"freshness_ms", example.timing.freshness.count(), d.timing.freshness.count()},
        {"beat_interval_ms", example.timing.beat_interval.count(), d.timing.beat_interval.count()},
        {"permit_ttl_ms", example.timing.permit_ttl.count(), d.timing.permit_ttl.count()},
        {"take_over_margin_ms",
            example.timing.take_over_margin.count(),
            d.timing.take_over_margin.count()},
        {"outage_grace_ms", example.timing.outage_grace.count(), d.timing.outage_grace.count()},
        {"drain_stop_ms", example.timing.drain_stop.count(), d.timing.drain_stop.count()},
        {"level", static_cast<int>(example.log.level), static_cast<int>(d.log.level)},
    };
    for (const auto& it : rows)
    {
        CHECK_EQUAL_TEXT(it.default_value, it.example, it.key);
    }
    const auto client = read_client_settings(file_text("example-client.json"), "c");
    STRCMP_EQUAL("", findings_of(client).c_str());
    LONGS_EQUAL(3, std::get<client_settings>(client).operators.size());
}

TEST(settings, all_findings_are_reported_together)
{
    const auto r = read_daemon_settings(
        "{\"member\":\"e 1\",\n\"zon\":\"z\",\n\"peer_address\":\"entry:1\",\n"
        "\"operator_token\":\"x\",\n\"timing\":{\"freshness_ms\":1,\"beat_interval_ms\":1000}}",
        "d.json");
    STRCMP_EQUAL("d.json:1:11 /member: may hold letters, digits, '.', '_' and '-' only\n"
                 "d.json:1:1: lacks the key 'zone'\n"
                 "d.json:3:16 /peer_address: must be an IP number and a port, as 10.0.0.7:8080 "
                 "(no host name)\n"
                 "d.json:1:1: lacks the key 'caller_address'\n"
                 "d.json:1:1: lacks the key 'operator_address'\n"
                 "d.json:4:18 /operator_token: must have 8 to 256 visible ASCII characters\n"
                 "d.json:1:1: lacks the key 'peer_token'\n"
                 "d.json:1:1: lacks the key 'store'\n"
                 "d.json:5:26 /timing/freshness_ms: must be at least 50 ms\n"
                 "d.json:2:1 /zon: unknown key (did you mean 'zone'?)\n",
        findings_of(r).c_str());
}

TEST(settings, contradictions_are_reported_with_their_positions)
{
    struct row
    {
        std::string text;
        const char* findings;
    };
    const row rows[] = {
        {replaced(with(""), "10.0.0.1:1", "0.0.0.0:1"),
            "d:1:43 /peer_address: peers need an address to reach, not one that stands for all\n"},
        {replaced(with(""), "10.0.0.1:2", "0.0.0.0:1"),
            "d:2:18 /caller_address: is the address of 'peer_address' too\n"},
        {replaced(with(""), "10.0.0.1:3", "10.0.0.1:1"),
            "d:2:50 /operator_address: is the address of 'peer_address' too\n"},
        {replaced(with(""), "10.0.0.1:3", "[::]:2"),
            "d:2:50 /operator_address: is the address of 'caller_address' too\n"},
        {replaced(replaced(with(""), "0.1:2", "0.1:0"), "0.1:3", "0.1:0"), ""},
        {with("", ",\"token\":\"operator\""),
            "d:3:18 /operator_token: must differ from the token of 'store'\n"},
        {with(",\"platform\":{\"token\":\"operator\"}"),
            "d:3:18 /operator_token: must differ from the token of 'platform'\n"},
        {replaced(with(""), "among-peers", "operator"),
            "d:3:42 /peer_token: must differ from 'operator_token'\n"},
        {with("", ",\"token\":\"among-peers\""),
            "d:3:42 /peer_token: must differ from the token of 'store'\n"},
        {with(",\"platform\":{\"token\":\"among-peers\"}"),
            "d:3:42 /peer_token: must differ from the token of 'platform'\n"},
        {replaced(with(""), "\"10.0.0.2:4\"", ""),
            "d:4:22 /store/addresses: must name at least 1\n"},
        {with("", ",\"lease_ttl_ms\":1999"),
            "d:4:52 /store/lease_ttl_ms: must be at least 2000 ms, twice 'timeout_ms', or one lost "
            "answer loses the lease\n"},
        {with(",\"timing\":{\"freshness_ms\":1500}", ",\"timeout_ms\":1500"),
            "d:4:50 /store/timeout_ms: must be less than 'timing/freshness_ms' of 1500 ms, or one "
            "slow call makes the member stale\n"},
        {with(",\"timing\":{\"beat_interval_ms\":1001}"),
            "d:5:11 /timing/freshness_ms: must be at least 3003 ms, three times "
            "'beat_interval_ms', or one lost heartbeat makes the member stale\n"},
        {with(",\"timing\":{\"permit_ttl_ms\":3001}"),
            "d:5:28 /timing/permit_ttl_ms: must be at most 'freshness_ms' of 3000 ms, or a permit "
            "outlives the time after which others count on its end\n"},
        {with(",\"timing\":{\"outage_grace_ms\":3999}"),
            "d:5:30 /timing/outage_grace_ms: must be at least 4000 ms, 'freshness_ms' and "
            "'take_over_margin_ms' together\n"},
        {with(",\"limits\":{\"connections\":9,\"open_requests\":10}"),
            "d:5:44 /limits/open_requests: must be at most 'connections' of 9: a connection "
            "carries one request at a time\n"},
    };
    for (const auto& it : rows)
    {
        STRCMP_EQUAL(it.findings, findings_of(read_daemon_settings(it.text, "d")).c_str());
    }
    STRCMP_EQUAL("c:1:14 /operators: must name at least 1\n",
        findings_of(read_client_settings(R"({"operators":[],"token":"operator"})", "c")).c_str());
}

TEST(settings, a_token_cannot_end_a_header_field)
{
    for (const char* token :
        {"short", "with a blank", "line\\r\\nbreak", "caf\xc3\xa9-caf\xc3\xa9"})
    {
        const auto text = replaced(with(""), "\"operator\"", "\"" + std::string{token} + "\"");
        STRCMP_EQUAL("d:3:18 /operator_token: must have 8 to 256 visible ASCII characters\n",
            findings_of(read_daemon_settings(text, "d")).c_str());
    }
}

TEST(settings, damaged_files_are_accepted_or_give_findings)
{
    const std::string intact = file_text("example.json");
    CHECK(rc::check("damaged settings",
        [&]
        {
            std::string text = intact;
            const auto begin = *rc::gen::inRange<std::size_t>(0, text.size());
            const auto count = *rc::gen::inRange<std::size_t>(0, 20);
            text.replace(
                begin, count, *rc::gen::element<std::string>("", "0", "\"", "}", "[", ","));
            const auto r = read_daemon_settings(text, "d");
            if (const auto* found = std::get_if<core::findings>(&r))
            {
                RC_ASSERT(!found->empty());
            }
        }));
}
