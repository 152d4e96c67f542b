#include "http/client.hpp"
#include "http/server.hpp"
#include "http_fakes/fakes.hpp"

#include <netinet/tcp.h>
#include <optional>
#include <thread>
#include <tuple>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::http;
using namespace camphorhitch::http_fakes;
using namespace std::chrono_literals;
using ports::call_end;

namespace
{

ports::http_call make_call(std::uint16_t port, std::string method = "POST", std::string body = "x")
{
    ports::http_call out;
    out.address = loopback(port);
    out.request.method = std::move(method);
    out.request.path = "/book";
    out.request.body = std::move(body);
    return out;
}

const std::string good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_GROUP(http_client)
{
    reactor::event_loop loop = reactor::event_loop::builder().build();
    client made = client::builder().loop(loop).build();
    ports::http_client port = made.port();
    scripted_target target{loop};

    ports::http_outcome call(ports::http_call it)
    {
        std::optional<ports::http_outcome> out;
        port.send(std::move(it), [&](ports::http_outcome o) { out = std::move(o); });
        CHECK(run_until(loop, [&] { return out.has_value(); }));
        return out.value_or(ports::http_outcome{});
    }
};

TEST(http_client, a_request_is_sent_unchanged)
{
    target.on_request = [&](int id, int)
    {
        target.send(id, good);
    };
    const std::string binary("a\0b\xff", 4);
    auto it = make_call(target.port(), "PUT", binary);
    it.request.path = "/a%2Fb/../c";
    it.request.query = "q=1&r=%20";
    it.request.fields = {
        {"X-Trace", "t1"}, {"Empty", ""}, {"Content-Length", "999"}, {"Connection", "close"}};
    const auto out = call(it);
    CHECK(out.end == call_end::answered);
    STRCMP_EQUAL("ok", out.response.body.c_str());
    const std::string head = "PUT /a%2Fb/../c?q=1&r=%20 HTTP/1.1\r\nHost: " + it.address +
                             "\r\nX-Trace: t1\r\nEmpty:\r\nContent-Length: 4\r\n\r\n";
    STRCMP_EQUAL(head.c_str(), target.last.substr(0, head.size()).c_str());
    CHECK(target.last == head + binary);
}

// The loop of an overloaded node handles all descriptors that are ready before it runs the next
// timer. An urgent call that is sent by a timer would wait for that in its own node.
TEST(http_client, an_urgent_call_over_an_open_connection_is_sent_at_once)
{
    reactor::event_loop far_loop = reactor::event_loop::builder().build();
    scripted_target far{far_loop};
    int requests = 0;
    far.on_request = [&](int id, int)
    {
        ++requests;
        far.send(id, good);
    };
    client_limits limits;
    limits.urgency = reactor::urgency::urgent;
    const auto urgent = client::builder().loop(loop).limits(limits).build();
    const auto send = [&](bool& ended)
    {
        urgent.port().send(make_call(far.port()),
            [&](const ports::http_outcome& it) { ended = it.end == call_end::answered; });
    };
    const auto both = [&](const std::function<bool()>& holds)
    {
        return run_until(loop,
            [&]
            {
                far_loop.run_once(core::millis{1});
                return holds();
            });
    };
    bool opened = false;
    send(opened);
    CHECK(both([&] { return opened; }));
    bool ended = false;
    send(ended);
    CHECK(run_until(far_loop, [&] { return requests == 2; }));
    CHECK(!ended); // no callback runs inside send
    CHECK(both([&] { return ended; }));
}

TEST(http_client, each_end_of_an_answer_has_the_outcome_that_it_proves)
{
    struct row
    {
        const char* about;
        call_end end;
        std::string bytes;
        bool close = false;
        const char* method = "GET";
    };
    constexpr auto whole = call_end::answered;
    constexpr auto broken = call_end::answer_broken;
    constexpr auto cut = call_end::interrupted;
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunks = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string moved = "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n";
    const row rows[] = {
        {"length", whole, good},
        {"chunks", whole, chunks + "2\r\nok\r\n0\r\n\r\n"},
        {"interim answer first", whole, "HTTP/1.1 103 Early\r\nA: b\r\n\r\n" + good},
        {"redirect is not followed", whole, moved + "Content-Length: 0\r\n\r\n"},
        {"head", whole, ok + "Content-Length: 7\r\n\r\n", false, "HEAD"},
        {"empty", whole, "HTTP/1.1 204 No Content\r\n\r\n", false, "DELETE"},
        {"cut within length", broken, ok + "Content-Length: 9\r\n\r\nok", true},
        {"cut within chunks", broken, chunks + "9\r\nok", true},
        {"last chunk is missing", broken, chunks + "2\r\nok\r\n", true},
        {"bad chunk size", broken, chunks + "zz\r\nok"},
        {"end not marked", broken, ok + "\r\nok", true},
        {"cut within header", broken, ok + "Content-Le", true},
        {"no HTTP at all", broken, "hello\r\n\r\n", true},
        {"two lengths", broken, ok + "Content-Length: 2\r\nContent-Length: x\r\n\r\nok", true},
        {"length over the bound", broken, ok + "Content-Length: 5000\r\n\r\n"},
        {"chunks over the bound", broken, chunks + "1000\r\n" + std::string(4096, 'x') + "\r\n"},
        {"header over the bound", broken, ok + "A: " + std::string(4000, 'x') + "\r\n\r\n", true},
        {"closed with no answer", cut, "", true},
        {"closed after an interim answer", cut, "HTTP/1.1 100 Continue\r\n\r\n", true},
    };
    for (const auto& it : rows)
    {
        target.on_request = [&](int id, int)
        {
            target.send(id, it.bytes);
            if (it.close)
            {
                target.close_connection(id);
            }
        };
        auto request = make_call(target.port(), it.method, "");
        request.largest_answer = 3000;
        const int before = target.requests;
        const auto out = call(request);
        CHECK_TEXT(out.end == it.end, it.about);
        LONGS_EQUAL_TEXT(before + 1, target.requests, it.about);
    }
}

TEST(http_client, calls_that_were_certainly_not_sent_are_reported_as_such)
{
    scripted_target closed{loop};
    const auto refusing = closed.port();
    closed.close_listener();
    struct row
    {
        const char* about;
        std::function<void(ports::http_call&)> change;
    };
    const row rows[] = {
        {"connection refused",
            [&](auto& it)
            {
                it.address = loopback(refusing);
            }},
        {"a name",
            [](auto& it)
            {
                it.address = "localhost:80";
            }},
        {"no port",
            [](auto& it)
            {
                it.address = "127.0.0.1";
            }},
        {"bad method",
            [](auto& it)
            {
                it.request.method = "GET /x";
            }},
        {"line break in the path",
            [](auto& it)
            {
                it.request.path = "/x\r\nA: b";
            }},
        {"line break in a field",
            [](auto& it)
            {
                it.request.fields = {{"A", "b\r\nC: d"}};
            }},
        {"field name is no token",
            [](auto& it)
            {
                it.request.fields = {{"A b", "c"}};
            }},
    };
    for (const auto& it : rows)
    {
        auto request = make_call(target.port());
        it.change(request);
        const auto out = call(request);
        CHECK_TEXT(out.end == call_end::not_sent, it.about);
        CHECK_TEXT(!out.detail.empty(), it.about);
    }
    LONGS_EQUAL(0, target.requests);
}

// The target's listen queue is full, so no connection is established. The caller may be told that
// its request was not run, because curl had no socket to write to.
TEST(http_client, a_connect_timeout_is_not_sent)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    auto at = loopback_address(0);
    socklen_t n = sizeof(at);
    std::ignore = ::bind(fd, reinterpret_cast<sockaddr*>(&at), n);
    ::listen(fd, 0);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &n);
    raw_caller first(ntohs(at.sin_port)); // fills the listen queue
    auto it = make_call(ntohs(at.sin_port));
    it.connect_timeout = 100ms;
    CHECK(call(it).end == call_end::not_sent);
    it.connect_timeout = 10s;
    it.total_timeout = 100ms;
    CHECK(call(it).end == call_end::not_sent);
    ::close(fd);
}

// The target closes a pooled connection just after it has read the next request, as a target does
// that runs the request and then crashes. curl would send the request again on a new connection,
// and a payment would be charged twice. The target must receive the request only once, and the call
// must end as interrupted, with or without fresh_connection.
TEST(http_client, a_request_is_never_sent_twice_when_a_pooled_connection_closes)
{
    for (const char* method : {"POST", "GET", "HEAD"})
    {
        for (const bool fresh : {false, true})
        {
            target.on_request = [&](int id, int)
            {
                target.send(id, good);
            };
            CHECK(call(make_call(target.port())).end == call_end::answered);
            target.on_request = [&](int id, int)
            {
                target.close_connection(id);
            };
            const int before = target.requests;
            auto it = make_call(target.port(), method, "");
            it.fresh_connection = fresh;
            const auto out = call(it);
            CHECK(out.end == call_end::interrupted);
            CHECK(out.new_connection == fresh);
            run_for(loop, 50ms);
            LONGS_EQUAL(before + 1, target.requests);
        }
    }
}

// As above with further idle connections in the pool, on which curl would send the request again.
TEST(http_client, a_request_is_not_repeated_on_another_pooled_connection)
{
    target.on_request = [&](int id, int)
    {
        loop.scheduler().after(30ms, [&, id] { target.send(id, good); });
    };
    int ended = 0;
    for (int i = 0; i < 4; ++i)
    {
        port.send(make_call(target.port()), [&](const ports::http_outcome&) { ++ended; });
    }
    CHECK(run_until(loop, [&] { return ended == 4; }));
    LONGS_EQUAL(4, target.connections);
    target.on_request = [&](int id, int)
    {
        target.close_connection(id);
    };
    CHECK(call(make_call(target.port())).end == call_end::interrupted);
    run_for(loop, 50ms);
    LONGS_EQUAL(5, target.requests);
}

// A call times out or is cancelled, and the target answers afterwards. The late answer must not be
// read as the answer to the next caller's request, so the connection must have been closed.
TEST(http_client, a_late_answer_never_reaches_another_call)
{
    const std::string late = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
    for (const bool cancels : {false, true})
    {
        target.on_request = [&](int id, int)
        {
            loop.scheduler().after(150ms, [&, id] { target.send(id, late); });
        };
        auto it = make_call(target.port());
        it.total_timeout = cancels ? 10s : 60ms;
        bool called = false;
        ports::http_outcome out;
        const auto call_id = port.send(it,
            [&](ports::http_outcome o)
            {
                called = true;
                out = std::move(o);
            });
        const int before = target.requests;
        CHECK(run_until(loop, [&] { return target.requests > before; }));
        if (cancels)
        {
            port.cancel(call_id);
        }
        run_for(loop, 100ms);
        CHECK(called == !cancels);
        CHECK(cancels || out.end == call_end::interrupted);
        target.on_request = [&](int id, int)
        {
            loop.scheduler().after(100ms, [&, id] { target.send(id, good); });
        };
        const auto next = call(make_call(target.port()));
        CHECK(next.new_connection);
        STRCMP_EQUAL("ok", next.response.body.c_str());
    }
}

// A call waits for a connection, or its process is paused, until its latest start time has passed.
// The target may be drained by then, so it must not receive the request, and the call must end as
// not sent.
TEST(http_client, a_call_is_not_sent_after_its_latest_start)
{
    made = client::builder().loop(loop).limits({.max_connections_per_host = 1}).build();
    port = made.port();
    target.on_request = [&](int id, int)
    {
        loop.scheduler().after(100ms, [&, id] { target.send(id, good); });
    };
    bool first_answered = false;
    port.send(make_call(target.port()),
        [&](const ports::http_outcome& it) { first_answered = it.end == call_end::answered; });
    auto it = make_call(target.port());
    it.latest_start = loop.scheduler().now() + 50ms;
    CHECK(call(it).end == call_end::not_sent);
    CHECK(first_answered);
    LONGS_EQUAL(1, target.requests);
    it.latest_start = loop.scheduler().now() + 10s;
    CHECK(call(it).end == call_end::answered);
}

// The target answers at once, and the answer is in the socket's buffer while this process is busy
// until after the timeout. Timers run before sockets are read, so the call would end as unanswered.
// The process would mistake its own delay for an unresponsive target, end the leases of healthy
// targets and start their work again. Data that arrived in time must be read first.
TEST(http_client, an_answer_that_arrived_in_time_is_read_by_a_delayed_process)
{
    target.on_request = [&](int id, int)
    {
        target.send(id, good);
        std::this_thread::sleep_for(150ms);
    };
    auto it = make_call(target.port());
    it.total_timeout = 100ms;
    const auto out = call(it);
    CHECK(out.end == call_end::answered);
    STRCMP_EQUAL("ok", out.response.body.c_str());
}

// As above with an answer that is larger than one read of curl, such as a poll of a runner with
// hundreds of ends, or a page of jobs. All of it is in the socket's buffer in time, so all of it
// must be read before the timeout is evaluated.
TEST(http_client, a_long_answer_that_arrived_in_time_is_read_by_a_delayed_process)
{
    const std::string body(50000, 'x');
    const auto length = std::to_string(body.size());
    target.on_request = [&](int id, int)
    {
        target.send(id, "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + body);
        std::this_thread::sleep_for(150ms);
    };
    auto it = make_call(target.port());
    it.total_timeout = 100ms;
    const auto out = call(it);
    CHECK(out.end == call_end::answered);
    CHECK(out.response.body == body);
}

// As above for the connect timeout: the connection is established within a millisecond, and the
// process is busy until after the timeout.
TEST(http_client, a_connection_established_in_time_is_used_by_a_delayed_process)
{
    target.on_request = [&](int id, int)
    {
        target.send(id, good);
    };
    auto it = make_call(target.port());
    it.connect_timeout = 100ms;
    std::optional<ports::http_outcome> out;
    port.send(std::move(it), [&](ports::http_outcome o) { out = std::move(o); });
    loop.run_once(0ms); // starts to connect
    std::this_thread::sleep_for(150ms);
    CHECK(run_until(loop, [&] { return out.has_value(); }));
    CHECK(out->end == call_end::answered);
}

TEST(http_client, an_answer_that_stalls_halfway_is_interrupted)
{
    target.on_request = [&](int id, int)
    {
        target.send(id, good.substr(0, good.size() - 1));
    };
    auto it = make_call(target.port());
    it.total_timeout = 60ms;
    CHECK(call(it).end == call_end::interrupted);
}

TEST(http_client, connections_are_reused_bounded_and_not_used_when_fresh_is_asked_for)
{
    made = client::builder().loop(loop).limits({.max_connections_per_host = 2}).build();
    port = made.port();
    int at_once = 0;
    int most = 0;
    target.on_request = [&](int id, int)
    {
        most = std::max(most, ++at_once);
        loop.scheduler().after(10ms,
            [&, id]
            {
                --at_once;
                target.send(id, good);
            });
    };
    int answered = 0;
    for (int i = 0; i < 10; ++i)
    {
        port.send(make_call(target.port()),
            [&](const ports::http_outcome& it) { answered += it.end == call_end::answered; });
    }
    CHECK(run_until(loop, [&] { return answered == 10; }));
    LONGS_EQUAL(2, most);
    LONGS_EQUAL(2, target.connections);
    auto it = make_call(target.port());
    it.fresh_connection = true;
    CHECK(call(it).new_connection);
    LONGS_EQUAL(3, target.connections);
}

// A device on the network path has dropped an idle connection, so data that is sent on it would be
// lost. A connection that was idle for long must not be reused, and one with unacknowledged data
// must be closed early.
TEST(http_client, old_connections_are_not_used_and_sockets_have_a_user_timeout)
{
    const client_limits limits{.max_idle_time = 1s, .max_unacknowledged_time = 1234ms};
    made = client::builder().loop(loop).limits(limits).build();
    port = made.port();
    target.on_request = [&](int id, int)
    {
        target.send(id, good);
    };
    CHECK(call(make_call(target.port())).new_connection);
    CHECK(!call(make_call(target.port())).new_connection);
    bool found = false;
    for (int fd = 0; fd < 256; ++fd)
    {
        unsigned wait = 0;
        socklen_t n = sizeof(wait);
        ::getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &wait, &n);
        found = found || wait == 1234;
    }
    CHECK(found);
    run_for(loop, 2100ms);
    CHECK(call(make_call(target.port())).new_connection);
}

TEST(http_client, calls_may_be_started_and_cancelled_inside_callbacks)
{
    target.on_request = [&](int id, int)
    {
        target.send(id, good);
    };
    int ended = 0;
    ports::call_id cancelled_call = 0;
    port.send(make_call(target.port()),
        [&](const ports::http_outcome&)
        {
            port.cancel(cancelled_call);
            port.send(make_call(target.port()), [&](const ports::http_outcome&) { ++ended; });
        });
    auto slow = make_call(target.port());
    slow.address = "127.0.0.1:9";
    target.on_request = [&](int id, int)
    {
        target.send(id, good);
    };
    cancelled_call =
        port.send(make_call(target.port()), [&](const ports::http_outcome&) { ended += 100; });
    CHECK(run_until(loop, [&] { return ended > 0; }));
    run_for(loop, 30ms);
    LONGS_EQUAL(1, ended % 100);
}

TEST(http_client, a_stream_delivers_its_parts_and_ends_when_it_is_idle_or_cut)
{
    struct row
    {
        bool close;
        call_end end;
    };
    for (const row it : {row{false, call_end::interrupted}, row{true, call_end::answer_broken}})
    {
        target.on_request = [&](int id, int)
        {
            target.send(id, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n");
            loop.scheduler().after(30ms, [&, id] { target.send(id, "1\r\nb\r\n"); });
            loop.scheduler().after(60ms,
                [&, id]
                {
                    target.send(id, "1\r\nc\r\n");
                    if (it.close)
                    {
                        target.close_connection(id);
                    }
                });
        };
        std::string seen;
        std::optional<ports::http_outcome> out;
        stream_call stream;
        stream.call = make_call(target.port());
        stream.call.total_timeout = 1ms; // ignored for streams
        stream.idle_timeout = 400ms;
        stream.on_chunk = [&](std::string_view part)
        {
            seen += std::string(part) + ",";
        };
        stream.on_end = [&](ports::http_outcome o)
        {
            out = std::move(o);
        };
        made.stream(stream);
        CHECK(run_until(loop, [&] { return out.has_value(); }));
        STRCMP_EQUAL("a,b,c,", seen.c_str());
        CHECK(out->end == it.end);
        LONGS_EQUAL(200, out->response.status);
    }
}

TEST(http_client, a_stream_can_be_cancelled_by_its_own_part)
{
    target.on_request = [&](int id, int)
    {
        target.send(id, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n");
    };
    int parts = 0;
    bool ended = false;
    ports::call_id id = 0;
    stream_call stream;
    stream.call = make_call(target.port());
    stream.on_chunk = [&](std::string_view)
    {
        ++parts;
        port.cancel(id);
    };
    stream.on_end = [&](const ports::http_outcome&)
    {
        ended = true;
    };
    id = made.stream(stream);
    CHECK(run_until(loop, [&] { return parts == 1; }));
    run_for(loop, 30ms);
    CHECK(!ended);
}
