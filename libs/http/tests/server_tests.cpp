#include "http/client.hpp"
#include "http/server.hpp"
#include "http_fakes/fakes.hpp"

#include <list>
#include <netinet/in.h>
#include <optional>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::http;
using namespace camphorhitch::http_fakes;
using namespace std::chrono_literals;

namespace
{

/// Called with a socket that has just started to listen, so that a caller can connect before any
/// other code runs.
std::function<void(int fd)> after_listen;

} // namespace

/// Replaces the C library's function in this program.
extern "C" int listen(int fd, int backlog) noexcept
{
    const auto done = static_cast<int>(::syscall(SYS_listen, fd, backlog));
    if (done == 0 && after_listen)
    {
        after_listen(fd);
    }
    return done;
}

namespace
{

const std::string not_run = "Camphorhitch-Outcome: not-run\r\n";
const std::string post = "POST /x HTTP/1.1\r\nHost: a\r\n";

ports::http_response text(std::string body)
{
    return {200, {{"Camphorhitch-Outcome", "answered"}}, std::move(body)};
}

} // namespace

TEST_GROUP(http_server)
{
    reactor::event_loop loop = reactor::event_loop::builder().build();
    std::optional<server> made;
    ports::http_server port;
    std::vector<std::pair<ports::exchange_id, ports::http_request>> requests;
    std::vector<ports::exchange_id> gone;
    std::function<void(ports::exchange_id)> then; ///< called after a request was received

    void start(server_limits limits = {})
    {
        ports::http_events events;
        events.on_request = [this](ports::exchange_id id, ports::http_request it)
        {
            requests.emplace_back(id, std::move(it));
            if (then)
            {
                then(id);
            }
        };
        events.on_gone = [this](ports::exchange_id id)
        {
            gone.push_back(id);
        };
        auto built = server::builder()
                         .loop(loop)
                         .address("127.0.0.1:0")
                         .events(events)
                         .limits(limits)
                         .extra_fields({{"X-Member", "e1"}})
                         .build();
        CHECK(core::is_ok(built));
        made.emplace(std::move(core::value(built)));
        port = made->port();
        CHECK(port.port != 0);
    }

    void expect_refusal(const std::string& bytes, const std::string& status, const char* about)
    {
        raw_caller caller(port.port);
        caller.write(loop, bytes);
        CHECK_TEXT(saw(caller, "HTTP/1.1 " + status), about);
        CHECK_TEXT(saw(caller, "\r\n\r\n"), about);
        CHECK_TEXT(caller.has_received(not_run), about);
        CHECK_TEXT(caller.has_received("X-Member: e1\r\n"), about);
        caller.write(loop, std::string(100, 'y'));
        run_for(loop, 10ms);
        LONGS_EQUAL_TEXT(0, requests.size(), about);
        LONGS_EQUAL_TEXT(0, port.open_exchanges(), about);
    }

    bool received(std::size_t n)
    {
        return run_until(loop, [&] { return requests.size() == n; });
    }

    bool saw(raw_caller & caller, const std::string& what)
    {
        return run_until(loop, [&] { return caller.has_received(what); });
    }
};

// A process starts while callers are already sending, so a request is in the listen queue before
// build() returns. If build() processed it, the handler would have to answer before it has the
// server, and the process would abort at every start under load.
TEST(http_server, no_request_is_handled_before_build_has_returned)
{
    int caller = -1;
    after_listen = [&caller](int fd)
    {
        sockaddr_in at{};
        socklen_t length = sizeof(at);
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length);
        caller = ::socket(AF_INET, SOCK_STREAM, 0);
        LONGS_EQUAL(0, ::connect(caller, reinterpret_cast<sockaddr*>(&at), length));
        const std::string bytes = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        LONGS_EQUAL(bytes.size(), ::send(caller, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    };
    start();
    after_listen = {};
    LONGS_EQUAL(0, requests.size());
    CHECK(received(1)); // the request is handled once the loop runs
    ::close(caller);
}

TEST(http_server, a_request_is_passed_on_completely_and_answered)
{
    for (const bool later : {false, true})
    {
        start();
        requests.clear();
        then = [&](ports::exchange_id id)
        {
            const auto answer = [&, id]
            {
                port.respond(id, text(std::string("a\0b", 3)));
            };
            later ? loop.scheduler().post(answer) : answer();
        };
        raw_caller caller(port.port);
        caller.write(loop,
            "POST http://h/a%2Fb/../c?q=%20&r HTTP/1.1\r\nHost: h\r\nA: 1\r\nA: 2\r\n"
            "Content-Length: 4\r\n\r\n");
        caller.write(loop, std::string("\0\1\2\3", 4));
        CHECK(saw(caller, std::string("\r\n\r\na\0b", 7)));
        CHECK(caller.has_received("HTTP/1.1 200"));
        CHECK(caller.has_received("X-Member: e1\r\n"));
        CHECK(caller.has_received("Camphorhitch-Outcome: answered\r\n"));
        const auto& it = requests.at(0).second;
        STRCMP_EQUAL("POST", it.method.c_str());
        STRCMP_EQUAL("/a%2Fb/../c", it.path.c_str());
        STRCMP_EQUAL("q=%20&r", it.query.c_str());
        CHECK(it.body == std::string("\0\1\2\3", 4));
        STRCMP_EQUAL("2", it.fields.at(2).second.c_str());
        caller.write(loop, "GET /again HTTP/1.1\r\nHost: h\r\n\r\n"); // the same connection
        CHECK(received(2));
        CHECK(run_until(loop, [&] { return port.open_exchanges() == 0; }));
        LONGS_EQUAL(0, gone.size());
    }
}

TEST(http_server, an_answer_cannot_change_its_framing)
{
    start();
    then = [&](ports::exchange_id id)
    {
        auto it = text("body");
        it.fields = {{"Content-Length", "1"},
            {"Transfer-Encoding", "chunked"},
            {"A", "b\r\nC: d"},
            {"Kept", "yes"}};
        port.respond(id, it);
    };
    raw_caller caller(port.port);
    caller.write(loop, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(saw(caller, "\r\n\r\nbody"));
    CHECK(caller.has_received("Content-Length: 4\r\n"));
    CHECK(caller.has_received("Kept: yes\r\n"));
    CHECK(!caller.has_received("chunked"));
    CHECK(!caller.has_received("C: d"));
}

TEST(http_server, a_head_answer_keeps_its_length)
{
    start();
    then = [&](ports::exchange_id id)
    {
        port.respond(id, {200, {{"Content-Length", "77"}}, ""});
    };
    raw_caller caller(port.port);
    caller.write(loop, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(saw(caller, "\r\n\r\n"));
    CHECK(caller.has_received("Content-Length: 77\r\n"));
}

// A request exceeds a limit or is ambiguous. The caller must get an answer with the outcome
// "not-run", and the handler must not be called.
TEST(http_server, early_refusals_say_not_run_and_never_reach_the_handler)
{
    struct row
    {
        const char* about;
        std::string bytes;
        std::string status;
    };
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string length = post + "Content-Length: ";
    std::string endless = chunked;
    for (int i = 0; i < 100; ++i)
    {
        endless += "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    }
    const row rows[] = {
        {"length over the bound", length + "2000\r\n\r\n" + std::string(2000, 'x'), "413"},
        {"length far over the bound", length + "99999999\r\n\r\n", "413"},
        {"asks before it sends", length + "2000\r\nExpect: 100-continue\r\n\r\n", "413"},
        {"chunks over the bound",
            chunked + "7d0\r\n" + std::string(2000, 'x') + "\r\n0\r\n\r\n",
            "413"},
        {"chunks without an end", endless, "413"},
        {"header over the bound", post + "A: " + std::string(3000, 'x') + "\r\n\r\n", "431"},
        {"length and chunks",
            post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "400"},
    };
    start({.max_body_size = 1000, .max_header_size = 2000});
    for (const auto& it : rows)
    {
        expect_refusal(it.bytes, it.status, it.about);
    }
}

// A caller stalls halfway through its request. It must get a 408, and data that it sends afterwards
// must not cause the request to run.
TEST(http_server, a_request_that_stalls_is_refused)
{
    start({.request_timeout = 150ms});
    expect_refusal(post + "Content-Length: 100\r\n\r\nhalf", "408", "body");
    expect_refusal(post + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "408", "chunks");
    expect_refusal(post + "A: b", "408", "header");
}

// libmicrohttpd itself refuses these requests, with its own text and without the outcome field. The
// documentation for callers states that none of them reaches the handler, which this test checks.
TEST(http_server, requests_refused_by_libmicrohttpd_never_reach_the_handler)
{
    struct row
    {
        std::string bytes;
        std::string status;
    };
    const row rows[] = {
        {post + "A: " + std::string(200000, 'x') + "\r\n\r\n", "431"},
        {"GET /" + std::string(200000, 'x') + " HTTP/1.1\r\n\r\n", "414"},
        {post + "Content-Length: -5\r\n\r\n", "400"},
        {"POST /x HTTP/1.1\r\n\r\n", "400"},
        {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
    };
    start();
    for (const auto& it : rows)
    {
        raw_caller caller(port.port);
        caller.write(loop, it.bytes);
        CHECK(saw(caller, "HTTP/1.1 " + it.status));
        CHECK(run_until(loop, [&] { return caller.closed(); }));
    }
    LONGS_EQUAL(0, requests.size());
}

TEST(http_server, open_exchanges_and_connections_are_bounded)
{
    start({.max_connections = 3, .max_exchanges = 2, .retry_after = 1500ms});
    const std::string get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    raw_caller first(port.port);
    raw_caller second(port.port);
    raw_caller third(port.port);
    first.write(loop, get);
    second.write(loop, get);
    CHECK(received(2));
    LONGS_EQUAL(2, port.open_exchanges());
    third.write(loop, get);
    CHECK(saw(third, "HTTP/1.1 503"));
    CHECK(third.has_received(not_run));
    CHECK(third.has_received("Retry-After: 2\r\n"));
    CHECK(third.has_received("too many open requests"));
    raw_caller fourth(port.port);
    fourth.write(loop, get);
    CHECK(saw(fourth, "too many connections"));
    CHECK(run_until(loop, [&] { return fourth.closed(); }));
    port.respond(requests.at(0).first, text("a"));
    CHECK(saw(first, "\r\n\r\na"));
    third.write(loop, get);
    CHECK(received(3));
}

// The caller closes or resets the connection while the handler works on its request. libmicrohttpd
// does not monitor a suspended connection, so it would detect this only when the answer is written.
TEST(http_server, a_disconnected_caller_is_reported_once_and_its_answer_dropped)
{
    start();
    for (const bool resets : {false, true})
    {
        requests.clear();
        gone.clear();
        {
            raw_caller caller(port.port);
            caller.write(loop, post + "Content-Length: 1\r\n\r\nx");
            CHECK(received(1));
            if (resets)
            {
                caller.reset_on_close();
            }
        }
        CHECK(run_until(loop, [&] { return gone.size() == 1; }));
        CHECK(gone.at(0) == requests.at(0).first);
        LONGS_EQUAL(0, port.open_exchanges());
        port.respond(requests.at(0).first, text("late"));
        run_for(loop, 30ms);
        LONGS_EQUAL(1, gone.size());
    }
}

// A caller sends its request and disconnects before the server has read it. No one waits for the
// answer any more, so the request must not be started.
TEST(http_server, a_request_of_a_disconnected_caller_is_not_passed_to_the_handler)
{
    start();
    {
        raw_caller caller(port.port);
        caller.write(loop, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx");
        run_for(loop, 20ms);
        caller.write(loop, "y");
    }
    run_for(loop, 50ms);
    LONGS_EQUAL(0, requests.size());
    LONGS_EQUAL(0, gone.size());
    LONGS_EQUAL(0, port.open_exchanges());
}

TEST(http_server, idle_connections_are_closed_and_those_with_the_handler_are_not)
{
    start({.idle_timeout = 100ms, .request_timeout = 100ms});
    raw_caller idle(port.port);
    raw_caller half(port.port);
    raw_caller busy(port.port);
    half.write(loop, "GET /");
    busy.write(loop, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(run_until(loop, [&] { return idle.closed() && half.closed(); }));
    run_for(loop, 200ms);
    CHECK(!busy.closed());
    port.respond(requests.at(0).first, text("late but whole"));
    CHECK(saw(busy, "late but whole"));
}

// In a graceful stop, new connections are refused, the request in progress is answered completely,
// and its connection is closed after the answer.
TEST(http_server, stop_accepting_lets_open_exchanges_finish)
{
    start();
    raw_caller caller(port.port);
    caller.write(loop, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(received(1));
    port.stop_accepting();
    port.stop_accepting();
    raw_caller late(port.port);
    CHECK(late.closed());
    const std::string large(3000000, 'z');
    port.respond(requests.at(0).first, text(large));
    CHECK(saw(caller, large));
    CHECK(caller.has_received("Connection: close\r\n"));
    CHECK(run_until(loop, [&] { return port.open_exchanges() == 0; }));
}

// Callers have sent requests on connections that are still in the kernel's listen queue when the
// server stops accepting. If the connections were reset, the callers would see broken calls that
// may have run.
TEST(http_server, stop_accepting_accepts_connections_in_the_listen_queue)
{
    start();
    constexpr std::size_t waiting = 40;
    std::list<raw_caller> callers;
    for (std::size_t i = 0; i < waiting; ++i)
    {
        callers.emplace_back(port.port);
        callers.back().send_now("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    then = [this](ports::exchange_id id)
    {
        port.respond(id, text("whole"));
    };
    port.stop_accepting();
    for (auto& it : callers)
    {
        CHECK(saw(it, "whole"));
    }
}

TEST(http_server, destroying_the_server_with_open_exchanges_calls_no_callback)
{
    start();
    raw_caller caller(port.port);
    caller.write(loop, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(received(1));
    made.reset();
    LONGS_EQUAL(0, gone.size());
    CHECK(run_until(loop, [&] { return caller.closed(); }));
}

// The server is destroyed while a caller's next request is unread on an open connection. If the
// request were read and suspended without a handler, libmicrohttpd would abort the process, and the
// caller would see a broken call that may have run. The caller must get a 503 with Retry-After and
// the outcome "not-run".
TEST(http_server, a_request_that_arrives_while_the_server_is_destroyed_is_refused)
{
    start();
    raw_caller in_progress(port.port);
    in_progress.write(loop, post + "Content-Length: 0\r\n\r\n");
    CHECK(received(1));
    raw_caller late(port.port);
    run_for(loop, 10ms);
    late.send_now("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    made.reset();
    LONGS_EQUAL(1, requests.size());
    CHECK(saw(late, "HTTP/1.1 503"));
    CHECK(late.has_received(not_run));
    CHECK(late.has_received("Retry-After: "));
}

TEST(http_server, a_bad_or_taken_address_is_an_error)
{
    start();
    for (const std::string it : {"localhost:80", "127.0.0.1", "1.2.3.4:99999", ":80", ""})
    {
        auto built = server::builder()
                         .loop(loop)
                         .address(it)
                         .events({[](auto, const auto&) {},
                             [](auto) {
                             }})
                         .build();
        CHECK(!core::is_ok(built));
    }
    auto taken = server::builder()
                     .loop(loop)
                     .address(loopback(port.port))
                     .events({[](auto, const auto&) {},
                         [](auto) {
                         }})
                     .build();
    CHECK(!core::is_ok(taken));
}

// Many calls run at once between client and server. Each call must get the answer to its own
// request.
TEST(http_server, each_caller_gets_its_own_answer)
{
    constexpr int calls = 2000;
    start();
    auto caller = client::builder().loop(loop).limits({.max_connections_per_host = 32}).build();
    then = [&](ports::exchange_id id)
    {
        const auto answer = text("re " + requests.back().second.body);
        const core::millis delay{requests.size() % 4};
        loop.scheduler().after(delay, [&, id, answer] { port.respond(id, answer); });
    };
    int ended = 0;
    int wrong = 0;
    for (int i = 0; i < calls; ++i)
    {
        ports::http_call it;
        it.address = loopback(port.port);
        it.request = {"POST", "/x", "", {}, "n" + std::to_string(i)};
        it.fresh_connection = i % 7 == 0;
        caller.port().send(it,
            [&, want = "re " + it.request.body](const ports::http_outcome& out)
            {
                ++ended;
                wrong += out.response.body == want ? 0 : 1;
            });
    }
    CHECK(run_until(loop, [&] { return ended == calls; }));
    LONGS_EQUAL(0, wrong);
    LONGS_EQUAL(calls, requests.size());
}
