#include "core/base64.hpp"
#include "http_fakes/fakes.hpp"
#include "store/etcd_store.hpp"

#include <nlohmann/json.hpp>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::http_fakes;
using namespace std::chrono_literals;
using json = nlohmann::json;
using ports::kv_status;

namespace
{

std::string answer(int status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stream_head()
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& text)
{
    char size[17];
    std::snprintf(size, sizeof(size), "%zx", text.size());
    return std::string(size) + "\r\n" + text + "\r\n";
}

std::string event_line(const std::string& events)
{
    return R"({"result":{"header":{"revision":"9"},"events":[)" + events + "]}}\n";
}

// "a/1" is YS8x, "v" is dg==, "a/" is YS8= and the end of its prefix, "a0", is YTA=.
const std::string entry = R"({"key":"YS8x","value":"dg==","mod_revision":"7","lease":"5"})";
const std::string header = R"({"header":{"revision":"9"})";

} // namespace

TEST_GROUP(etcd_store)
{
    reactor::event_loop loop = reactor::event_loop::builder().build();
    http::client client = http::client::builder().loop(loop).build();
    scripted_target target{loop};
    std::optional<store::etcd_store> made;
    ports::key_value port;
    int sent = 0;

    void setup() override
    {
        start(loopback(target.port()));
    }

    void start(const std::string& address)
    {
        auto built = store::etcd_store::builder()
                         .client(client)
                         .address(address)
                         .token("secret")
                         .extra_fields({{"X-Member", "e1"}})
                         .timeout(1s)
                         .watch_idle_timeout(400ms)
                         .build();
        CHECK(core::is_ok(built));
        made.emplace(std::move(core::value(built)));
        port = made->port();
    }

    /// Waits for the next request and checks its path, header fields and body.
    void expect_sent(const std::string& path, const std::string& body)
    {
        const int before = sent++;
        CHECK(run_until(loop, [&] { return target.requests > before; }));
        const auto& seen = target.last;
        const auto line = "POST " + path + " HTTP/1.1\r\n";
        STRCMP_EQUAL(line.c_str(), seen.substr(0, line.size()).c_str());
        CHECK(seen.find("\r\nAuthorization: secret\r\n") != std::string::npos);
        CHECK(seen.find("\r\nX-Member: e1\r\n") != std::string::npos);
        const auto got = json::parse(seen.substr(seen.find("\r\n\r\n") + 4), nullptr, false);
        CHECK(got == json::parse(body));
    }

    void answer_with(const std::string& bytes, bool close = false)
    {
        target.on_request = [this, bytes, close](int id, int)
        {
            target.send(id, bytes);
            if (close)
            {
                target.close_connection(id);
            }
        };
    }

    template <class Result, class Start>
    Result wait_for(Start begin)
    {
        std::optional<Result> out;
        begin([&](Result it) { out = std::move(it); });
        CHECK(run_until(loop, [&] { return out.has_value(); }));
        return out.value_or(Result{});
    }

    ports::kv_write put(ports::revision expected = 3)
    {
        return wait_for<ports::kv_write>(
            [&](auto then) { port.put_if("a/1", "v", expected, 5, then); });
    }

    ports::kv_read get()
    {
        return wait_for<ports::kv_read>([&](auto then) { port.get("a/1", then); });
    }
};

TEST(etcd_store, requests_have_the_format_of_the_public_gateway)
{
    const auto ignore = [](const auto&) {
    };
    const std::string compare =
        R"({"compare":[{"key":"YS8x","target":"MOD","result":"EQUAL","mod_revision":"7"}],
            "failure":[{"request_range":{"key":"YS8x"}}],"success":[{)";
    const auto put_body = compare + R"("request_put":{"key":"YS8x","value":"dg==","lease":"5"}}]})";
    const auto delete_body = compare + R"("request_delete_range":{"key":"YS8x"}}]})";
    answer_with(answer(200, "{}"));
    port.get("a/1", ignore);
    expect_sent("/v3/kv/range", R"({"key":"YS8x"})");
    port.range("a/", ignore);
    expect_sent("/v3/kv/range", R"({"key":"YS8=","range_end":"YTA="})");
    port.range("", ignore);
    expect_sent("/v3/kv/range", R"({"key":"AA==","range_end":"AA=="})");
    port.range("\xff", ignore);
    expect_sent("/v3/kv/range", R"({"key":"/w==","range_end":"AA=="})");
    port.put_if("a/1", "v", 7, 5, ignore);
    expect_sent("/v3/kv/txn", put_body);
    port.delete_if("a/1", 7, ignore);
    expect_sent("/v3/kv/txn", delete_body);
    port.grant_lease(2500ms, ignore);
    expect_sent("/v3/lease/grant", R"({"TTL":"3"})");
    port.keep_alive(9007199254740993, ignore); // not representable as a double
    expect_sent("/v3/lease/keepalive", R"({"ID":"9007199254740993"})");
    port.revoke_lease(5, ignore);
    expect_sent("/v3/lease/revoke", R"({"ID":"5"})");
    port.watch("a/", 8, ignore, [] {});
    expect_sent("/v3/watch",
        R"({"create_request":{"key":"YS8=","range_end":"YTA=","start_revision":"8"}})");
}

TEST(etcd_store, values_of_arbitrary_bytes_are_returned_unchanged)
{
    std::string value;
    for (int i = 0; i < 256; ++i)
    {
        value += static_cast<char>(i);
    }
    answer_with(answer(200,
        header + R"(,"kvs":[{"key":"YS8x","mod_revision":7,"value":")" + core::to_base64(value) +
            "\"}]}"));
    const auto out = get();
    CHECK(out.status == kv_status::ok);
    LONGS_EQUAL(9, out.store_revision);
    CHECK(out.entries.at(0).value == value);
    LONGS_EQUAL(7, out.entries.at(0).modified);
}

TEST(etcd_store, a_conflict_returns_the_current_entry)
{
    answer_with(answer(200, header + R"(,"succeeded":true,"responses":[{"response_put":{}}]})"));
    auto out = put();
    CHECK(out.status == kv_status::ok);
    LONGS_EQUAL(9, out.modified);
    answer_with(answer(200,
        header + R"(,"responses":[{"response_range":{"kvs":[)" + entry + R"(],"count":"1"}}]})"));
    out = put();
    CHECK(out.status == kv_status::conflict);
    LONGS_EQUAL(7, out.modified);
    STRCMP_EQUAL("v", out.current.value.c_str());
    LONGS_EQUAL(5, out.current.lease);
    answer_with(answer(200, header + R"(,"responses":[{"response_range":{}}]})"));
    out = put();
    CHECK(out.status == kv_status::conflict);
    LONGS_EQUAL(0, out.modified);
}

// The service refuses a call, fails, or its answer is lost after the write may have taken effect. A
// write must be "unavailable" or "rejected" only when it certainly did not take effect. Otherwise
// its caller must read the key again before it decides.
TEST(etcd_store, a_missing_or_invalid_answer_has_the_status_that_it_proves)
{
    struct row
    {
        const char* about;
        kv_status write;
        std::string bytes;
        bool close = false;
    };
    constexpr auto unknown = kv_status::unknown;
    constexpr auto rejected = kv_status::rejected;
    const auto coded = [](int status, int code)
    {
        return answer(status, R"({"message":"x","code":)" + std::to_string(code) + "}");
    };
    const auto odd = R"({"header":{"revision":[]},"kvs":3,"responses":{}})";
    const auto bad_base64 = header + R"(,"kvs":[{"key":"!","mod_revision":"1"}],"responses":[1]})";
    const row rows[] = {
        {"closed", unknown, "", true},
        {"silent", unknown, ""},
        {"cut", unknown, answer(200, "{}").substr(0, 30), true},
        {"no JSON", unknown, answer(200, "<html>")},
        {"no header", unknown, answer(200, "{}")},
        {"odd types", unknown, answer(200, odd)},
        {"bad base64", unknown, answer(200, bad_base64)},
        {"no token", rejected, answer(401, "no")},
        {"rate limit", rejected, coded(429, 8)},
        {"rate limit as 503", rejected, coded(503, 8)},
        {"no such lease", rejected, coded(404, 5)},
        {"too large", rejected, coded(400, 3)},
        {"timed out inside", unknown, coded(503, 14)},
        {"deadline inside", unknown, coded(504, 4)},
        {"not the gateway", unknown, answer(503, "no")},
        {"bad gateway", unknown, answer(502, "")},
    };
    for (const auto& it : rows)
    {
        answer_with(it.bytes, it.close);
        const int before = target.requests;
        CHECK_TEXT(put().status == it.write, it.about);
        const auto read = it.write == unknown ? kv_status::unavailable : rejected;
        CHECK_TEXT(get().status == read, it.about);
        LONGS_EQUAL_TEXT(before + 2, target.requests, it.about);
    }
    target.close_listener();
    client = http::client::builder().loop(loop).build();
    start("127.0.0.1:1");
    CHECK(put().status == kv_status::unavailable);
    CHECK(get().status == kv_status::unavailable);
}

TEST(etcd_store, a_lease_is_granted_renewed_expired_and_revoked)
{
    answer_with(answer(200, header + R"(,"ID":"77","TTL":"10"})"));
    auto lease = wait_for<ports::kv_lease>([&](auto then) { port.grant_lease(10s, then); });
    CHECK(lease.status == kv_status::ok && lease.id == 77 && lease.ttl == 10s);
    struct row
    {
        std::string bytes;
        kv_status status;
        core::millis ttl;
    };
    const row rows[] = {
        {answer(200, R"({"result":{"ID":"77","TTL":"9"}})"), kv_status::ok, 9s},
        {answer(200, R"({"result":{"ID":"77"}})"), kv_status::ok, 0s},
        {answer(404, R"({"code":5})"), kv_status::ok, 0s},
        {answer(200, R"({"error":{"code":14}})"), kv_status::unknown, 0s},
        {answer(401, ""), kv_status::rejected, 0s},
    };
    for (const auto& it : rows)
    {
        answer_with(it.bytes);
        lease = wait_for<ports::kv_lease>([&](auto then) { port.keep_alive(77, then); });
        CHECK(lease.status == it.status);
        CHECK(lease.ttl == it.ttl);
    }
    answer_with(answer(200, header + "}"));
    CHECK(wait_for<kv_status>([&](auto then) { port.revoke_lease(77, then); }) == kv_status::ok);
}

TEST(etcd_store, a_watch_delivers_events_in_order_for_any_chunk_size)
{
    const auto put_line = event_line(R"({"kv":)" + entry + "}");
    const auto delete_line = event_line(
        R"({"type":"DELETE","kv":{"key":"YS8x","mod_revision":"8"}},{"kv":)" + entry + "}");
    const auto created =
        R"({"result":{"header":{"revision":"9"},"created":true}})" + std::string("\n");
    for (const std::size_t part : {std::size_t{1}, std::size_t{7}, std::size_t{100000}})
    {
        auto bytes = stream_head();
        const auto text = created + put_line + delete_line;
        for (std::size_t i = 0; i < text.size(); i += part)
        {
            bytes += chunk(text.substr(i, part));
        }
        answer_with(bytes);
        std::string seen;
        const auto id = port.watch(
            "a/",
            8,
            [&](const std::vector<ports::kv_event>& events)
            {
                for (const auto& it : events)
                {
                    seen += (it.deleted ? "-" : "+") + it.entry.key + "@" +
                            std::to_string(it.entry.modified) + " ";
                }
            },
            [&] { seen += "end"; });
        CHECK(run_until(loop, [&] { return seen.size() >= 21; }));
        port.cancel_watch(id);
        run_for(loop, 20ms);
        STRCMP_EQUAL("+a/1@7 -a/1@8 +a/1@7 ", seen.c_str());
    }
}

// The stream ends for some reason, or delivers no more data because the connection is lost on the
// network path. on_end must be called once, so that the user of the watch reads the keys again.
// Without the call it would keep an old configuration forever.
TEST(etcd_store, a_watch_that_is_lost_ends_once)
{
    struct row
    {
        const char* about;
        std::string bytes;
        bool close;
    };
    const row rows[] = {
        {"closed at once", "", true},
        {"closed", stream_head() + chunk("{}\n").substr(0, 3), true},
        {"ended", stream_head() + "0\r\n\r\n", false},
        {"silent", stream_head(), false},
        {"never answered", "", false},
        {"compacted",
            stream_head() + chunk(R"({"result":{"canceled":true,"compact_revision":"5"}})"
                                  "\n"),
            false},
        {"error line", stream_head() + chunk("{\"error\":{\"code\":14}}\n"), false},
        {"not understood", stream_head() + chunk(event_line(R"({"kv":{"key":3}})")), false},
        {"no token", answer(401, "{\"code\":16}"), false},
    };
    for (const auto& it : rows)
    {
        answer_with(it.bytes, it.close);
        int events = 0;
        int ends = 0;
        port.watch(
            "a/", 8, [&](const auto&) { ++events; }, [&] { ++ends; });
        CHECK_TEXT(run_until(loop, [&] { return ends > 0; }), it.about);
        run_for(loop, 10ms);
        LONGS_EQUAL_TEXT(1, ends, it.about);
        LONGS_EQUAL_TEXT(0, events, it.about);
    }
}

TEST(etcd_store, a_watch_may_be_cancelled_inside_its_events)
{
    const auto line = event_line(R"({"kv":)" + entry + "}");
    answer_with(stream_head() + chunk(line + line + "{}\n") + "0\r\n\r\n");
    int events = 0;
    int ends = 0;
    ports::watch_id id = 0;
    id = port.watch(
        "a/",
        8,
        [&](const auto&)
        {
            ++events;
            port.cancel_watch(id);
        },
        [&] { ++ends; });
    CHECK(run_until(loop, [&] { return events > 0; }));
    run_for(loop, 20ms);
    LONGS_EQUAL(1, events);
    LONGS_EQUAL(0, ends);
}

TEST(etcd_store, calls_are_counted_by_kind)
{
    using store::call_kind;
    answer_with(answer(200, header + "}"));
    get();
    const auto read_size = target.last.size();
    get();
    answer_with("", true);
    put();
    answer_with(answer(429, ""));
    put();
    const auto& range = made->counts(call_kind::range);
    LONGS_EQUAL(2, range.calls);
    LONGS_EQUAL(0, range.failures);
    LONGS_EQUAL(2 * read_size, range.bytes_sent);
    LONGS_EQUAL(2 * answer(200, header + "}").size(), range.bytes_received);
    const auto& writes = made->counts(call_kind::put);
    LONGS_EQUAL(2, writes.calls);
    LONGS_EQUAL(1, writes.failures);
    LONGS_EQUAL(1, writes.rejections);
    LONGS_EQUAL(0, made->counts(call_kind::watch).calls);
}

TEST(etcd_store, open_calls_end_without_callback_with_the_store)
{
    answer_with("");
    int ends = 0;
    port.get("a", [&](const auto&) { ++ends; });
    port.watch(
        "a", 1, [&](const auto&) { ++ends; }, [&] { ++ends; });
    CHECK(run_until(loop, [&] { return target.requests == 2; }));
    made.reset();
    run_for(loop, 1200ms);
    LONGS_EQUAL(0, ends);
}

TEST(etcd_store, an_invalid_address_is_an_error)
{
    auto built = store::etcd_store::builder().client(client).address("kv.example:2379").build();
    CHECK(!core::is_ok(built));
}
