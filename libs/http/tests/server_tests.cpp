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

/// Called with a socket that has just begun to listen; lets a caller be there before anything else.
std::function<void(int fd)> after_listen;

} // namespace

/// Stands in for the C library's call in this program.
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
    std::function<void(ports::exchange_id)> then; ///< after a request has come

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

    bool came(std::size_t n)
    {
        return run_until(loop, [&] { return requests.size() == n; });
    }

    bool saw(raw_caller & caller, const std::string& what)
    {
        return run_until(loop, [&] { return caller.has_received(what); });
    }
};

// A process starts while its callers already send. The caller's bytes lie in the listen queue
// before build() returns; were they handled inside it, the owner would be asked for an answer
// before it has the server to answer with, and the process would abort at every start of a busy
// day.
TEST(http_server, no_request_comes_before_build_has_returned)
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
    CHECK(came(1)); // it is served once the loop runs
    ::close(caller);
}

TEST(http_server, a_request_comes_whole_and_its_answer_goes_back)
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
        CHECK(came(2));
        CHECK(run_until(loop, [&] { return port.open_exchanges() == 0; }));
        LONGS_EQUAL(0, gone.size());
    }
}

TEST(http_server, an_answer_cannot_break_its_framing)
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

// Whatever is wrong with a request, its caller gets an answer that says "not run", at once or when
// its time is up, and the owner never hears of the request.
TEST(http_server, early_refusals_say_not_run_and_never_reach_the_owner)
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
    start({.largest_body = 1000, .largest_header = 2000});
    for (const auto& it : rows)
    {
        expect_refusal(it.bytes, it.status, it.about);
    }
}

// A caller stalls halfway through its request. It is told that its time is up, and what it sends
// afterwards must not make the request run after all.
TEST(http_server, a_request_that_stalls_is_refused)
{
    start({.request_timeout = 150ms});
    expect_refusal(post + "Content-Length: 100\r\n\r\nhalf", "408", "body");
    expect_refusal(post + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "408", "chunks");
    expect_refusal(post + "A: b", "408", "header");
}

// These are refused inside libmicrohttpd, in its own words and without our field. They are listed
// here so that the callers' page stays true: none of them reaches the owner.
TEST(http_server, what_the_library_refuses_never_reaches_the_owner)
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
    start({.most_connections = 3, .most_exchanges = 2, .retry_after = 1500ms});
    const std::string get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    raw_caller first(port.port);
    raw_caller second(port.port);
    raw_caller third(port.port);
    first.write(loop, get);
    second.write(loop, get);
    CHECK(came(2));
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
    CHECK(came(3));
}

// The caller closes, or resets, while the owner still works on its request. libmicrohttpd does not
// look at a suspended connection, so it would be noticed only when the answer is written.
TEST(http_server, a_caller_that_leaves_is_reported_once_and_its_answer_dropped)
{
    start();
    for (const bool resets : {false, true})
    {
        requests.clear();
        gone.clear();
        {
            raw_caller caller(port.port);
            caller.write(loop, post + "Content-Length: 1\r\n\r\nx");
            CHECK(came(1));
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

// A caller sends its request and leaves before the server has read it. Nobody waits for the
// answer any more, so the request is not begun.
TEST(http_server, a_request_whose_caller_left_already_is_not_handed_over)
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

TEST(http_server, idle_connections_are_closed_and_those_with_the_owner_are_not)
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

// Graceful stop: new connections are refused, the request in flight is answered whole, and its
// connection closes after it.
TEST(http_server, stop_accepting_lets_open_exchanges_finish)
{
    start();
    raw_caller caller(port.port);
    caller.write(loop, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(came(1));
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

// Callers whose connections stand in the kernel's queue have sent their requests, and the program
// hasn't seen them yet when it stops accepting. A reset there is a broken call that may have run.
TEST(http_server, stop_accepting_takes_in_those_who_are_connected_already)
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

TEST(http_server, destroying_it_with_open_exchanges_is_quiet)
{
    start();
    raw_caller caller(port.port);
    caller.write(loop, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(came(1));
    made.reset();
    LONGS_EQUAL(0, gone.size());
    CHECK(run_until(loop, [&] { return caller.closed(); }));
}

// A process ends while a caller's next request lies unread on an open connection. Reading it now
// and waiting for an owner that is gone would make the library abort the process, and the caller
// see a broken call that may have run. It is told that nothing was run, and to come back.
TEST(http_server, a_request_that_comes_as_the_server_ends_is_refused)
{
    start();
    raw_caller with_owner(port.port);
    with_owner.write(loop, post + "Content-Length: 0\r\n\r\n");
    CHECK(came(1));
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

// Client and server together under many calls at once: each answer is that of its own request.
TEST(http_server, each_caller_gets_its_own_answer)
{
    constexpr int calls = 2000;
    start();
    auto caller = client::builder().loop(loop).limits({.most_connections_per_host = 32}).build();
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
