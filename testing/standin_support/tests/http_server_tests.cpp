#include "standin_support/http_server.hpp"

#include "standin_support/json.hpp"
#include "standin_support/router.hpp"
#include "standin_support/test_client.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::standin_support;

TEST_GROUP(http_server)
{
    event_loop loop;
    http_server server{loop, 100000};
    exchange_ptr last;
    listener& port = server.listen(0, [this](const exchange_ptr& it) { last = it; });

    void await_request()
    {
        CHECK(run_until(loop, [this] { return last != nullptr; }));
    }
};

TEST(http_server, answers_late_and_on_the_same_connection)
{
    test_client client(loop, port.port());
    for (const auto* const it : {"one", "two"})
    {
        last.reset();
        client.send("POST", "/a?b=c", it, "X-Y: z\r\n");
        await_request();
        STRCMP_EQUAL("/a", last->request.path.c_str());
        STRCMP_EQUAL("b=c", last->request.query.c_str());
        STRCMP_EQUAL("z", ports::find_field(last->request.fields, "x-y")->c_str());
        loop.after(core::millis{1}, [this] { last->respond({200, {}, last->request.body}); });
        STRCMP_EQUAL((std::string("200 ") + it).c_str(), client.read_answer().c_str());
    }
    CHECK_EQUAL(1, port.counts().total);
}

TEST(http_server, ways_to_end_an_exchange)
{
    struct row
    {
        std::function<void(exchange&)> end;
        const char* seen;
    };
    const row rows[] = {
        {[](exchange& it) { it.cut(); }, "closed"},
        {[](exchange& it) {
             it.truncate({200, {}, "0123456789"});
         },
            "cut short"},
        {[](exchange& it) { it.send_raw("nonsense\r\n\r\n"); }, "non "},
        {[](exchange& it) {
             it.respond({204, {}, ""});
         },
            "204 "},
    };
    for (const auto& it : rows)
    {
        last.reset();
        test_client client(loop, port.port());
        client.send("GET", "/");
        await_request();
        it.end(*last);
        it.end(*last); // The second end has no effect.
        STRCMP_EQUAL(it.seen, client.read_answer().c_str());
    }
}

TEST(http_server, too_large_a_request_gets_413)
{
    test_client client(loop, port.port());
    STRCMP_CONTAINS("413", client.call("POST", "/", std::string(100001, 'x')).c_str());
    CHECK(last == nullptr);
}

TEST(http_server, streams_in_parts_until_either_side_ends)
{
    test_client client(loop, port.port());
    client.send("POST", "/");
    await_request();
    bool ended = false;
    const auto stream = last->stream(200, "text/plain");
    stream->on_end = [&ended]
    {
        ended = true;
    };
    for (const auto* const it : {"first\n", "second\n"})
    {
        stream->write(it);
        STRCMP_CONTAINS(it, client.read_through(it).c_str());
    }
    client.close();
    CHECK(run_until(loop, [&ended] { return ended; }));
}

// A caller closes its connection while its request is pending. The server does not read from that
// connection then; without its own detection it would notice the close only when it answers.
TEST(http_server, close_by_the_caller_is_detected)
{
    test_client client(loop, port.port());
    client.send("GET", "/");
    await_request();
    bool gone = false;
    last->on_gone = [&gone]
    {
        gone = true;
    };
    client.close();
    CHECK(run_until(loop, [&gone] { return gone; }));
    CHECK(run_until(loop, [this] { return port.counts().open == 0; }));
}

// A device between caller and server loses the state of a connection: bytes from the caller are
// discarded, and no answer arrives, not even to the request in flight. New connections work.
TEST(http_server, silent_connection_discards_requests_while_new_ones_work)
{
    test_client old(loop, port.port());
    old.send("GET", "/under-way");
    await_request();
    const auto under_way = last;
    CHECK_EQUAL(1, port.silence([] { return true; }));
    under_way->respond({200, {}, "lost"});
    CHECK(under_way->is_silent());

    last.reset();
    test_client fresh(loop, port.port());
    fresh.send("GET", "/new");
    await_request();
    STRCMP_EQUAL("/new", last->request.path.c_str());
    last->respond({200, {}, "fresh"});
    STRCMP_EQUAL("200 fresh", fresh.read_answer().c_str());

    port.cut_connections();
    STRCMP_EQUAL("closed", old.read_answer().c_str());
}

TEST(http_server, closed_port_refuses_and_opens_again)
{
    port.close();
    test_client refused(loop, port.port());
    CHECK(!refused.is_connected());
    port.open();
    test_client accepted(loop, port.port());
    accepted.send("GET", "/");
    await_request();
}

TEST(http_server, router_checks_the_token_first)
{
    int calls = 0;
    const auto act = [&calls](const ports::http_request&)
    {
        ++calls;
        return ports::http_response{200, {}, "done"};
    };
    auto& guarded = server.listen(0, make_router("secret", {simple_route("GET", "/a", act)}));
    struct row
    {
        const char* path;
        const char* fields;
        const char* status;
        int calls;
    };
    const row rows[] = {
        {"/a", "", "401", 0},
        {"/a", "Authorization: Bearer wrong\r\n", "401", 0},
        {"/b", "Authorization: secret\r\n", "404", 0},
        {"/a", "Authorization: Bearer secret\r\n", "200", 1},
        {"/a", "Authorization: secret\r\n", "200", 2},
    };
    test_client client(loop, guarded.port());
    for (const auto& it : rows)
    {
        STRCMP_CONTAINS(it.status, client.call("GET", it.path, "", it.fields).c_str());
        CHECK_EQUAL(it.calls, calls);
    }
}
