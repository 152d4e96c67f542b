#include "core/base64.hpp"
#include "service.hpp"
#include "standin_support/test_client.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::standin_kv;
using core::to_base64;
using standin_support::test_client;

namespace
{

std::string quoted(const std::string& text)
{
    return "\"" + to_base64(text) + "\"";
}

std::string compare(const std::string& key, int revision)
{
    return R"({"compare":[{"target":"MOD","result":"EQUAL","key":)" + quoted(key) +
           R"(,"mod_revision":")" + std::to_string(revision) + "\"}]";
}

std::string put_if(const std::string& key, const std::string& value, int revision)
{
    return compare(key, revision) + R"(,"success":[{"request_put":{"key":)" + quoted(key) +
           ",\"value\":" + quoted(value) + R"(}}],"failure":[{"request_range":{"key":)" +
           quoted(key) + "}}]}";
}

std::string watch_from(const std::string& from, const std::string& to, int revision)
{
    return R"({"create_request":{"key":)" + quoted(from) + ",\"range_end\":" + quoted(to) +
           R"(,"start_revision":")" + std::to_string(revision) + "\"}}";
}

std::string range_of(const std::string& key)
{
    return "{\"key\":" + quoted(key) + "}";
}

} // namespace

TEST_GROUP(kv_service)
{
    standin_support::standin host{{}};
    service kv{host, {}};
    test_client client{host.loop, kv.port().port()};
    test_client driver{host.loop, kv.control_port().port()};

    std::string txn(const std::string& body)
    {
        return client.call("POST", "/v3/kv/txn", body);
    }

    void control(const std::string& body)
    {
        STRCMP_EQUAL("200 {}\n", driver.call("POST", "/control", body).c_str());
    }

    /// Calls on a new connection, because some faults close the connection.
    std::string call_anew(
        const std::string& path, const std::string& body, const std::string& fields = "")
    {
        test_client fresh(host.loop, kv.port().port());
        return fresh.is_connected() ? fresh.call("POST", path, body, fields) : "refused";
    }
};

TEST(kv_service, conflict_returns_the_present_value)
{
    STRCMP_CONTAINS("\"succeeded\":true", txn(put_if("k", "mine", 0)).c_str());
    const auto lost = txn(put_if("k", "other", 0));
    CHECK(lost.find("succeeded") == std::string::npos);
    STRCMP_CONTAINS(to_base64("mine").c_str(), lost.c_str());
    STRCMP_CONTAINS("\"mod_revision\":\"2\"", lost.c_str());
    STRCMP_CONTAINS("\"conflicts\":1", driver.call("GET", "/control/stats").c_str());
}

TEST(kv_service, more_than_compare_and_swap_on_one_key_is_refused)
{
    const auto a = quoted("a");
    const auto b = quoted("b");
    const auto put_a = R"({"request_put":{"key":)" + a + "}}";
    const std::string bodies[] = {
        "nonsense",
        R"({"success":[)" + put_a + "]}",
        R"({"compare":[],"success":[)" + put_a + "]}",
        compare("a", 0) + R"(,"success":[{"request_put":{"key":)" + b + "}}]}",
        compare("a", 0) + R"(,"success":[)" + put_a + "," + put_a + "]}",
        compare("a", 0) + R"(,"success":[{"request_range":{"key":)" + a + "}}]}",
        compare("a", 0) + R"(,"success":[{"request_delete_range":{"range_end":"AA==","key":)" + a +
            "}}]}",
        compare("a", 0) + R"(,"failure":[{"request_range":{"key":)" + b + "}}]}",
        compare("a", 0) + R"(,"failure":[)" + put_a + "]}",
        compare("a", 0) + R"(,"success":[)" + put_a + R"(],"lock":true})",
        R"({"compare":[{"target":"VALUE","key":)" + a + R"(}],"success":[)" + put_a + "]}",
        R"({"compare":[{"target":"MOD","result":"GREATER","key":)" + a + R"(}],"success":[)" +
            put_a + "]}",
        put_if("a", std::string((1u << 20) + 1, 'x'), 0),
    };
    for (const auto& it : bodies)
    {
        STRCMP_CONTAINS("400 ", txn(it).substr(0, 4).c_str());
    }
    STRCMP_CONTAINS("\"revision\":1,", driver.call("GET", "/control/stats").c_str());
    STRCMP_CONTAINS("200 ", txn(put_if("a", std::string(1u << 20, 'x'), 0)).substr(0, 4).c_str());
}

TEST(kv_service, comparison_without_a_write_is_counted_as_a_read)
{
    STRCMP_CONTAINS("\"succeeded\":true", txn(compare("k", 0) + "}").c_str());
    CHECK(txn(compare("k", 5) + "}").find("succeeded") == std::string::npos);
    const auto stats = driver.call("GET", "/control/stats");
    const auto bytes = 2 * (compare("k", 0).size() + 1);
    const auto check = "\"check\":{\"bytes_in\":" + std::to_string(bytes) + ",";
    STRCMP_CONTAINS(check.c_str(), stats.c_str());
    STRCMP_CONTAINS("\"most_writes_per_second\":0", stats.c_str());
}

// A member whose stream has ended reads, and watches from the revision after its read. Changes
// written between the read and the watch must be delivered too, in order and once.
TEST(kv_service, watch_replays_from_its_start_and_continues)
{
    txn(put_if("w/1", "old", 0));
    txn(put_if("w/1", "replayed", 2));
    txn(put_if("x", "elsewhere", 0));
    test_client watcher(host.loop, kv.port().port());
    watcher.send("POST", "/v3/watch", watch_from("w/", "w0", 3));
    STRCMP_CONTAINS("\"created\":true", watcher.read_through("}}\n").c_str());
    const auto replayed = watcher.read_through("}}\n");
    STRCMP_CONTAINS(to_base64("replayed").c_str(), replayed.c_str());
    CHECK(replayed.find(to_base64("old")) == std::string::npos);
    txn(put_if("w/2", "live", 0));
    STRCMP_CONTAINS(to_base64("live").c_str(), watcher.read_through("}}\n").c_str());
    STRCMP_CONTAINS("\"watches\":1", driver.call("GET", "/control/stats").c_str());
    watcher.close();
    CHECK(standin_support::run_until(host.loop,
        [this] {
            return driver.call("GET", "/control/stats").find("\"watches\":0") != std::string::npos;
        }));
}

// The connection of a caller closes after a write, as in a failure, but the write has taken effect.
// A repeat with the same expectation must get a conflict with its own value.
TEST(kv_service, write_with_lost_answer_takes_effect)
{
    control(R"({"lose_next":1,"lose_prefix":"pools/"})");
    STRCMP_CONTAINS("200", call_anew("/v3/kv/txn", put_if("other", "v", 0)).c_str());
    STRCMP_EQUAL("closed", call_anew("/v3/kv/txn", put_if("pools/a", "v", 0)).c_str());
    const auto again = call_anew("/v3/kv/txn", put_if("pools/a", "v", 0));
    CHECK(again.find("succeeded") == std::string::npos);
    STRCMP_CONTAINS(to_base64("v").c_str(), again.c_str());
    STRCMP_CONTAINS("\"lost_answers\":1", driver.call("GET", "/control/stats").c_str());
}

TEST(kv_service, outage_modes_as_callers_see_them)
{
    struct row
    {
        const char* command;
        const char* seen;
    };
    const row rows[] = {
        {R"({"outage_ms":60000})", "closed"},
        {R"({"outage_ms":60000,"outage_mode":"refuse"})", "refused"},
        {R"({"partition":["e1"]})", "closed"},
        {R"({"drop_requests":1})", "closed"},
        {R"({"writes_per_second":1,"reads_per_second":1})", "200"},
        {R"({})", "429"},
    };
    for (const auto& it : rows)
    {
        control(it.command);
        const auto seen = call_anew("/v3/kv/range", range_of("k"), "Camphorhitch-Member: e1\r\n");
        STRCMP_EQUAL(it.seen, seen.substr(0, seen.find(' ')).c_str());
        control(R"({"outage_ms":0,"partition":[],"drop_requests":0})");
    }
}

TEST(kv_service, partition_cuts_one_member_only)
{
    test_client watcher(host.loop, kv.port().port());
    watcher.send("POST", "/v3/watch", watch_from("w/", "w0", 0), "Camphorhitch-Member: e1\r\n");
    STRCMP_CONTAINS("created", watcher.read_through("}}\n").c_str());
    control(R"({"partition":["e1"]})");
    CHECK(watcher.is_closed());
    STRCMP_CONTAINS(
        "200", call_anew("/v3/kv/range", range_of("k"), "Camphorhitch-Member: e2\r\n").c_str());
}

// The service hangs, so that requests are accepted and never answered, and then recovers.
TEST(kv_service, hanging_outage_answers_nothing_and_closes_connections_at_its_end)
{
    txn(put_if("k", "v", 0));
    test_client waiting(host.loop, kv.port().port());
    control(R"({"outage_ms":60000,"outage_mode":"hang"})");
    waiting.send("POST", "/v3/kv/range", range_of("k"));
    client.send("POST", "/v3/kv/range", range_of("k"));
    CHECK(standin_support::run_until(host.loop, [this] { return kv.port().counts().open == 2; }));
    control(R"({"outage_ms":0})");
    STRCMP_EQUAL("closed", waiting.read_answer().c_str());
    STRCMP_EQUAL("closed", client.read_answer().c_str());
    STRCMP_CONTAINS(to_base64("v").c_str(), call_anew("/v3/kv/range", range_of("k")).c_str());
}

TEST(kv_service, stale_reads_are_of_an_older_revision)
{
    txn(put_if("k", "v1", 0));
    txn(put_if("k", "v2", 2));
    txn(put_if("k", "v3", 3));
    control(R"({"stale_reads":1,"stale_revisions":2})");
    int older = 0;
    for (int i = 0; i < 30; ++i)
    {
        const auto seen = client.call("POST", "/v3/kv/range", range_of("k"));
        older += seen.find(to_base64("v3")) == std::string::npos ? 1 : 0;
        CHECK(seen.find("\"count\":\"1\"") != std::string::npos);
    }
    CHECK(older > 0);
    STRCMP_CONTAINS("\"stale_reads\":30", driver.call("GET", "/control/stats").c_str());
}

TEST(kv_service, history_contains_every_write)
{
    txn(put_if("a/1", "one", 0));
    txn(put_if("b/1", "two", 0));
    const auto all = driver.call("GET", "/control/history?from_revision=2&prefix=a/");
    STRCMP_CONTAINS(R"("key":"a/1","lease":0,"revision":2,"value":"one")", all.c_str());
    CHECK(all.find("b/1") == std::string::npos);
}
