#include "fixture.hpp"
#include "raw_socket.hpp"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::peer;
using namespace camphorhitch::peer::testing;
using core::millis;
using ports::peer_status;

namespace
{

constexpr millis short_timeout{50};
constexpr millis long_timeout{1000}; ///< enough for a few messages on loopback
constexpr millis hour_timeout{3600 * 1000};

using beat_record = call_record<ports::heartbeat>;

/// Sends a heartbeat to \p address.
/// \return the status with which it ended.
peer_status beat(test_scheduler& loop, const network& from, const std::string& address)
{
    beat_record end;
    from.client().beat(address, {}, end.callback());
    CHECK(loop.run_until([&]() { return end.ends == 1; }));
    return end.status;
}

/// Handlers that don't answer heartbeats and store their reply functions in \p held_replies.
ports::peer_handlers holding_handlers(
    std::vector<std::function<void(ports::heartbeat)>>& held_replies)
{
    auto h = empty_reply_handlers();
    h.beat = [&held_replies](const ports::heartbeat&, std::function<void(ports::heartbeat)> reply)
    {
        held_replies.push_back(std::move(reply));
    };
    return h;
}

} // namespace

TEST_GROUP(endings)
{
    test_scheduler loop;
};

// Guards against a false proof that a process has ended. The caller takes "refused" as this proof,
// after which the permits and claims of the process may be removed. Any other failure may hide a
// process that is paused or cut off and can still send requests, so it must be reported as
// "unreachable", whatever its cause.
TEST(endings, refused_only_when_no_process_listens)
{
    raw_socket closed;
    raw_socket unanswered;
    auto b = default_builder(loop);
    const auto net = build_network(b);
    const auto impatient = build_network(b.connect_timeout(short_timeout));
    const struct
    {
        const network& from;
        std::string address;
        peer_status status;
    } rows[] = {
        {*net, closed.bind(), peer_status::refused},
        {*impatient, unanswered.listen(), peer_status::unreachable},
        {*net, "no address", peer_status::unreachable},
        {*net, "localhost:80", peer_status::unreachable},
        {*net, "255.255.255.255:9", peer_status::unreachable},
        {*net, address_of(*net), peer_status::ok},
    };
    for (const auto& it : rows)
    {
        CHECK_TEXT(it.status == beat(loop, it.from, it.address), it.address.c_str());
    }
    LONGS_EQUAL(1, net->counters().refused);
    LONGS_EQUAL(3, net->counters().unreachable);
    LONGS_EQUAL(1, impatient->counters().unreachable);
}

// Guards against calls that block calls to other peers. The kernel of a paused peer still accepts
// connections, but its process answers nothing. The calls to it wait for their timeouts, an hour in
// this test, while the calls to other peers continue.
TEST(endings, a_paused_peer_does_not_delay_calls_to_others)
{
    raw_socket paused;
    const auto address = paused.listen();
    beat_record waiting;
    auto b = default_builder(loop);
    b.connect_timeout(hour_timeout).timeout(call_kind::beat, hour_timeout);
    const auto net = build_network(b);
    net->client().beat(address, {}, waiting.callback());
    CHECK(beat(loop, *net, address_of(*net)) == peer_status::ok);
    LONGS_EQUAL(0, waiting.ends);
}

// Guards against misdirected replies. The caller's timeout ends the call, and the handler answers
// afterwards. The reply belongs to an ended call and must reach neither that call nor a later one.
TEST(endings, a_late_reply_is_dropped)
{
    std::vector<std::function<void(ports::heartbeat)>> held_replies;
    auto b = default_builder(loop);
    const auto net = build_network(
        b.handlers(holding_handlers(held_replies)).timeout(call_kind::beat, short_timeout));
    beat_record first;
    net->client().beat(address_of(*net), {}, first.callback());
    CHECK(loop.run_until([&]() { return first.ends == 1 && held_replies.size() == 1; }));
    CHECK(first.status == peer_status::unreachable);
    ports::heartbeat late;
    late.member = "late";
    held_replies[0](late);
    held_replies[0](late);
    ports::explain_query query;
    call_record<ports::explain_reply> other;
    net->client().explain(address_of(*net), query, other.callback());
    CHECK(loop.run_until([&]() { return other.ends == 1; }));
    CHECK(other.status == peer_status::ok);
    LONGS_EQUAL(1, first.ends);
    CHECK(net->counters().late_replies >= 1);
}

// Guards against calls on a dead connection. An open connection can stop working for ever while new
// connections work. A call on it times out without any data from the other side, and the next call
// must use a new connection. A connection that received data meanwhile is kept.
TEST(endings, an_unresponsive_connection_is_replaced)
{
    const struct
    {
        bool receives_data;
        millis timeout;
        std::uint64_t connection_attempts;
    } rows[] = {{false, short_timeout, 2}, {true, long_timeout, 1}};
    for (const auto& it : rows)
    {
        std::vector<std::function<void(ports::heartbeat)>> held_replies;
        auto b = default_builder(loop);
        b.timeout(call_kind::beat, it.timeout);
        const auto net = build_network(b.handlers(holding_handlers(held_replies)));
        const auto address = address_of(*net);
        beat_record unanswered;
        call_record<ports::explain_reply> other;
        call_record<ports::explain_reply> next;
        net->client().beat(address, {}, unanswered.callback());
        if (it.receives_data)
        {
            net->client().explain(address, {}, other.callback());
        }
        CHECK(loop.run_until([&]() { return unanswered.ends == 1; }));
        net->client().explain(address, {}, next.callback());
        CHECK(loop.run_until([&]() { return next.ends == 1; }));
        CHECK(next.status == peer_status::ok);
        LONGS_EQUAL(it.connection_attempts, net->counters().connection_attempts);
    }
}

// A peer is replaced by a new process at the same address. The cached connection breaks: calls end,
// and the next call at the latest is refused. Once the new process listens, calls are answered
// again.
TEST(endings, a_restarted_peer_is_reached_again)
{
    auto b = default_builder(loop);
    const auto caller = build_network(b);
    auto old = build_network(b);
    const auto address = address_of(*old);
    CHECK(beat(loop, *caller, address) == peer_status::ok);
    old.reset();
    peer_status status = beat(loop, *caller, address);
    while (status == peer_status::unreachable)
    {
        status = beat(loop, *caller, address);
    }
    CHECK(status == peer_status::refused);
    const auto restarted = build_network(b.listen(address));
    CHECK(restarted != nullptr);
    CHECK(beat(loop, *caller, address) == peer_status::ok);
}

TEST(endings, a_permit_request_may_take_its_time_left)
{
    auto handlers = empty_reply_handlers();
    handlers.request_permit = [](const auto&, const auto&) {
    };
    handlers.query_held = [](const auto&, const auto&) {
    };
    auto b = default_builder(loop);
    b.timeout(call_kind::request_permit, short_timeout)
        .timeout(call_kind::query_held, short_timeout);
    const auto net = build_network(b.handlers(handlers));
    std::vector<std::string> ended;
    ports::permit_request ask;
    ask.time_left = short_timeout * 4;
    net->client().request_permit(
        address_of(*net), ask, [&](peer_status, auto) { ended.emplace_back("permit"); });
    net->client().query_held(
        address_of(*net), {}, [&](peer_status, auto) { ended.emplace_back("held"); });
    CHECK(loop.run_until([&]() { return ended.size() == 2; }));
    STRCMP_EQUAL("held permit", (ended[0] + " " + ended[1]).c_str());
    LONGS_EQUAL(2, net->counters().timed_out);
}

TEST(endings, nothing_is_called_after_destruction)
{
    raw_socket paused;
    beat_record open;
    int asked = 0;
    auto handlers = empty_reply_handlers();
    handlers.beat = [&asked](const auto&, const auto&)
    {
        ++asked;
    };
    auto b = default_builder(loop);
    auto other = build_network(b);
    auto net = build_network(b.handlers(handlers));
    net->client().beat(paused.listen(), {}, open.callback());
    other->client().beat(address_of(*net), {}, [](auto, auto) {});
    const auto client = net->client();
    net.reset();
    client.beat(address_of(*other), {}, open.callback());
    beat(loop, *other, address_of(*other));
    LONGS_EQUAL(0, open.ends);
    LONGS_EQUAL(0, asked);
}

TEST_GROUP(bounds)
{
    test_scheduler loop;
};

namespace
{

/// Inputs that resemble messages to different degrees: noise, noise with the header of a message,
/// and the real start of a connection with a few bytes changed.
std::vector<std::string> hostile_inputs(const std::string& opening)
{
    std::mt19937 random(20240917);
    std::vector<std::string> all = {
        "",
        "GET / HTTP/1.1\r\n\r\n",
        std::string(8, '\0'),                       // one empty segment
        std::string("\0\0\0\0\xff\xff\xff\x7f", 8), // a segment of 16 GB
        std::string("\xff\xff\xff\xff", 4),         // four thousand million segments
        std::string("\0\0\0\0\1\0\0\0", 8),         // cut off
    };
    constexpr int inputs = 300;
    constexpr std::size_t longest = 2000;
    for (int i = 0; i < inputs; ++i)
    {
        std::string noise(random() % longest, '\0');
        std::generate(noise.begin(), noise.end(), [&]() { return static_cast<char>(random()); });
        all.push_back(noise);
        all.push_back(std::string("\0\0\0\0", 4) + static_cast<char>(noise.size() / 8) +
                      std::string(3, '\0') + noise);
        auto changed = opening;
        for (unsigned k = 0; k < 1 + random() % 4; ++k)
        {
            changed[random() % changed.size()] = static_cast<char>(random());
        }
        all.push_back(changed);
    }
    return all;
}

} // namespace

// Guards against crashes by hostile input. A client without the token that can reach the port may
// send any bytes. The daemon must neither crash nor stop answering its peers.
TEST(bounds, hostile_bytes_neither_crash_nor_block)
{
    constexpr std::size_t opening_size = 200; // a part of what a caller sends before any answer
    raw_socket recorder;
    beat_record recorded;
    auto b = default_builder(loop);
    const auto net = build_network(b);
    net->client().beat(recorder.listen(), {}, recorded.callback());
    const auto opening = recorder.receive(opening_size);
    LONGS_EQUAL(opening_size, opening.size());
    for (const auto& it : hostile_inputs(opening))
    {
        raw_socket client;
        CHECK(client.connect(net->port()));
        client.send(it);
        client.end_sending();
        client.wait_for_end();
    }
    CHECK(beat(loop, *net, address_of(*net)) == peer_status::ok);
    LONGS_EQUAL(1, net->counters().served[static_cast<std::size_t>(call_kind::beat)]);
}

TEST(bounds, a_wrong_token_is_rejected)
{
    auto b = default_builder(loop);
    const auto net = build_network(b);
    for (const char* it : {"wrong", "secre", "secret ", "secrets"})
    {
        const auto client = build_network(b.token(it));
        CHECK(beat(loop, *client, address_of(*net)) == peer_status::unreachable);
    }
    LONGS_EQUAL(4, net->counters().wrong_tokens);
    LONGS_EQUAL(0, net->counters().served[static_cast<std::size_t>(call_kind::beat)]);
}

// Guards against clients that occupy all connections without a token. Such clients hold every
// connection that may be open without authentication, and a peer is rejected. When the clients'
// time for the token is over, their connections are closed and the peer can connect.
TEST(bounds, unauthenticated_clients_can_not_hold_connections)
{
    limits bounds;
    bounds.max_unauthenticated_connections = 2;
    bounds.token_timeout = long_timeout;
    auto b = default_builder(loop);
    const auto caller = build_network(b);
    const auto net = build_network(b.limits(bounds));
    raw_socket first;
    raw_socket second;
    CHECK(first.connect(net->port()));
    CHECK(second.connect(net->port()));
    CHECK(beat(loop, *caller, address_of(*net)) == peer_status::unreachable);
    LONGS_EQUAL(1, net->counters().connections_rejected);
    first.wait_for_end();
    second.wait_for_end();
    CHECK(beat(loop, *caller, address_of(*net)) == peer_status::ok);
}

// Guards against a message that ends other calls. A message larger than the limit would make the
// other side close the connection and thereby end other calls; the message is therefore not sent,
// and the connection stays open.
TEST(bounds, a_message_too_large_ends_only_its_own_call)
{
    const std::string large(100000, 'x');
    limits bounds;
    bounds.max_message_bytes = 64 << 10;
    auto handlers = empty_reply_handlers();
    handlers.explain = [&](const auto&, const auto& reply)
    {
        reply({{large}});
    };
    auto b = default_builder(loop);
    const auto net = build_network(b.handlers(handlers).limits(bounds));
    beat_record asked;
    call_record<ports::explain_reply> answered;
    ports::heartbeat message;
    message.roster_document = large;
    net->client().beat(address_of(*net), message, asked.callback());
    net->client().explain(address_of(*net), {}, answered.callback());
    CHECK(loop.run_until([&]() { return asked.ends == 1 && answered.ends == 1; }));
    CHECK(asked.status == peer_status::unreachable);
    CHECK(answered.status == peer_status::unreachable);
    CHECK(beat(loop, *net, address_of(*net)) == peer_status::ok);
    LONGS_EQUAL(1, net->counters().connection_attempts);
}

TEST(bounds, calls_to_one_peer)
{
    raw_socket paused;
    const auto address = paused.listen();
    limits bounds;
    bounds.max_calls_per_peer = 2;
    auto b = default_builder(loop);
    const auto net = build_network(
        b.limits(bounds).connect_timeout(hour_timeout).timeout(call_kind::beat, hour_timeout));
    beat_record open[2];
    net->client().beat(address, {}, open[0].callback());
    net->client().beat(address, {}, open[1].callback());
    CHECK(beat(loop, *net, address) == peer_status::unreachable);
    CHECK(beat(loop, *net, address_of(*net)) == peer_status::ok);
    LONGS_EQUAL(0, open[0].ends + open[1].ends);
    LONGS_EQUAL(1, net->counters().calls_over_limit);
}

TEST_GROUP(building)
{
    test_scheduler loop;
};

TEST(building, errors_name_every_missing_part)
{
    auto good = default_builder(loop);
    const auto existing = build_network(good);
    const std::string in_use = address_of(*existing);
    auto no_handlers = default_builder(loop);
    no_handlers.handlers({});
    const struct
    {
        network::builder builder;
        std::string text;
    } rows[] = {
        {default_builder(loop).token(""), "peer network: it needs a token"},
        {default_builder(loop).scheduler({}), "peer network: it needs a scheduler"},
        {no_handlers,
            "peer network: it needs handlers for beat, request_permit, return_permits, "
            "query_held, claim, finish_claim, copy_claim, pull_slots, explain"},
        {default_builder(loop).token("").scheduler({}),
            "peer network: it needs a token, a scheduler"},
        {default_builder(loop).listen("127.0.0.1"), "'127.0.0.1' is not \"ip:port\""},
        {default_builder(loop).listen("host:1"), "'host:1' is not \"ip:port\""},
        {default_builder(loop).listen(in_use), "bind: Address already in use"},
    };
    for (auto it : rows)
    {
        const auto made = it.builder.build();
        CHECK(!core::is_ok(made));
        STRCMP_EQUAL(it.text.c_str(), core::failure(made).message.c_str());
    }
}

TEST(building, counts_bytes_both_ways)
{
    auto b = default_builder(loop);
    const auto caller = build_network(b);
    const auto net = build_network(b);
    beat(loop, *caller, address_of(*net));
    const auto before = caller->counters();
    ports::heartbeat message;
    message.config_document = std::string(1000, 'x');
    beat_record end;
    caller->client().beat(address_of(*net), message, end.callback());
    CHECK(loop.run_until([&]() { return end.ends == 1; }));
    const auto after = caller->counters();
    CHECK(after.bytes_out - before.bytes_out > 1000);
    CHECK(after.bytes_in - before.bytes_in < 1000);
    LONGS_EQUAL(2, after.sent[static_cast<std::size_t>(call_kind::beat)]);
    CHECK(net->counters().bytes_in > 1000);
    LONGS_EQUAL(1, net->counters().connections_accepted);
}
