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

constexpr millis soon{50};
constexpr millis a_while{1000}; ///< enough for a few messages on loopback
constexpr millis never{3600 * 1000};

using beat_record = call_record<ports::heartbeat>;

/// A heartbeat to \p address and its end.
peer_status beat(test_scheduler& loop, const network& from, const std::string& address)
{
    beat_record end;
    from.client().beat(address, {}, end.callback());
    CHECK(loop.run_until([&]() { return end.ends == 1; }));
    return end.status;
}

/// Handlers whose heartbeats are kept unanswered in \p kept.
ports::peer_handlers keeping(std::vector<std::function<void(ports::heartbeat)>>& kept)
{
    auto h = plain_handlers();
    h.beat = [&kept](const ports::heartbeat&, std::function<void(ports::heartbeat)> reply)
    {
        kept.push_back(std::move(reply));
    };
    return h;
}

} // namespace

TEST_GROUP(endings)
{
    test_scheduler loop;
};

// The caller sees "refused" and takes it for proof that the process is gone, so that its permits
// and claims may be forgotten. Any other failure may hide a process that is paused or cut off and
// still sends: it must be "unreachable", whatever the cause.
TEST(endings, refused_only_when_nobody_listens)
{
    raw_socket closed;
    raw_socket silent;
    auto b = plain_builder(loop);
    const auto net = built(b);
    const auto hasty = built(b.connect_timeout(soon));
    const struct
    {
        const network& from;
        std::string address;
        peer_status status;
    } rows[] = {
        {*net, closed.bind(), peer_status::refused},
        {*hasty, silent.listen(), peer_status::unreachable},
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
    LONGS_EQUAL(1, hasty->counters().unreachable);
}

// A paused peer's kernel goes on taking connections; its process answers nothing. The caller's
// calls to it wait for their timeouts, an hour here, and the calls to the others go on.
TEST(endings, a_paused_peer_does_not_hold_up_the_others)
{
    raw_socket paused;
    const auto address = paused.listen();
    beat_record waiting;
    auto b = plain_builder(loop);
    b.connect_timeout(never).timeout(call_kind::beat, never);
    const auto net = built(b);
    net->client().beat(address, {}, waiting.callback());
    CHECK(beat(loop, *net, address_of(*net)) == peer_status::ok);
    LONGS_EQUAL(0, waiting.ends);
}

// The caller gives up at its timeout; the handler answers afterwards. The answer belongs to a call
// that is over and must neither reach it nor a later one.
TEST(endings, a_late_reply_is_dropped)
{
    std::vector<std::function<void(ports::heartbeat)>> kept;
    auto b = plain_builder(loop);
    const auto net = built(b.handlers(keeping(kept)).timeout(call_kind::beat, soon));
    beat_record first;
    net->client().beat(address_of(*net), {}, first.callback());
    CHECK(loop.run_until([&]() { return first.ends == 1 && kept.size() == 1; }));
    CHECK(first.status == peer_status::unreachable);
    ports::heartbeat late;
    late.member = "late";
    kept[0](late);
    kept[0](late);
    ports::explain_query query;
    call_record<ports::explain_reply> other;
    net->client().explain(address_of(*net), query, other.callback());
    CHECK(loop.run_until([&]() { return other.ends == 1; }));
    CHECK(other.status == peer_status::ok);
    LONGS_EQUAL(1, first.ends);
    CHECK(net->counters().late_replies >= 1);
}

// An open connection can go silent for good while new ones work. A call on it times out without
// any sign of life from the other side; the next call must not be lost in the same connection. One
// that did give a sign of life meanwhile is kept.
TEST(endings, a_silent_connection_is_replaced)
{
    const struct
    {
        bool sign_of_life;
        millis timeout;
        std::uint64_t connects;
    } rows[] = {{false, soon, 2}, {true, a_while, 1}};
    for (const auto& it : rows)
    {
        std::vector<std::function<void(ports::heartbeat)>> kept;
        auto b = plain_builder(loop);
        b.timeout(call_kind::beat, it.timeout);
        const auto net = built(b.handlers(keeping(kept)));
        const auto address = address_of(*net);
        beat_record silent;
        call_record<ports::explain_reply> sign;
        call_record<ports::explain_reply> next;
        net->client().beat(address, {}, silent.callback());
        if (it.sign_of_life)
        {
            net->client().explain(address, {}, sign.callback());
        }
        CHECK(loop.run_until([&]() { return silent.ends == 1; }));
        net->client().explain(address, {}, next.callback());
        CHECK(loop.run_until([&]() { return next.ends == 1; }));
        CHECK(next.status == peer_status::ok);
        LONGS_EQUAL(it.connects, net->counters().connects);
    }
}

// A peer is replaced at the same address. The cached connection breaks: calls end, at the latest by
// the next one they are refused, and once the new process listens they are answered again.
TEST(endings, a_restarted_peer_is_reached_again)
{
    auto b = plain_builder(loop);
    const auto caller = built(b);
    auto old = built(b);
    const auto address = address_of(*old);
    CHECK(beat(loop, *caller, address) == peer_status::ok);
    old.reset();
    peer_status status = beat(loop, *caller, address);
    while (status == peer_status::unreachable)
    {
        status = beat(loop, *caller, address);
    }
    CHECK(status == peer_status::refused);
    const auto renewed = built(b.listen(address));
    CHECK(renewed != nullptr);
    CHECK(beat(loop, *caller, address) == peer_status::ok);
}

TEST(endings, a_permit_may_take_its_time_left)
{
    auto handlers = plain_handlers();
    handlers.request_permit = [](const auto&, const auto&) {
    };
    handlers.query_held = [](const auto&, const auto&) {
    };
    auto b = plain_builder(loop);
    b.timeout(call_kind::request_permit, soon).timeout(call_kind::query_held, soon);
    const auto net = built(b.handlers(handlers));
    std::vector<std::string> ended;
    ports::permit_request ask;
    ask.time_left = soon * 4;
    net->client().request_permit(
        address_of(*net), ask, [&](peer_status, auto) { ended.emplace_back("permit"); });
    net->client().query_held(
        address_of(*net), {}, [&](peer_status, auto) { ended.emplace_back("held"); });
    CHECK(loop.run_until([&]() { return ended.size() == 2; }));
    STRCMP_EQUAL("held permit", (ended[0] + " " + ended[1]).c_str());
    LONGS_EQUAL(2, net->counters().timed_out);
}

TEST(endings, nothing_is_called_after_the_end)
{
    raw_socket paused;
    beat_record open;
    int asked = 0;
    auto handlers = plain_handlers();
    handlers.beat = [&asked](const auto&, const auto&)
    {
        ++asked;
    };
    auto b = plain_builder(loop);
    auto other = built(b);
    auto net = built(b.handlers(handlers));
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

/// Bytes that look like messages to different depths: noise, noise with the head of a message, and
/// the real opening of a connection with a few bytes changed.
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

// A stranger who can reach the port sends what it likes. The daemon must neither crash nor stop
// answering its peers.
TEST(bounds, hostile_bytes_do_no_harm)
{
    constexpr std::size_t opening_size = 200; // a part of what a caller sends before any answer
    raw_socket recorder;
    beat_record recorded;
    auto b = plain_builder(loop);
    const auto net = built(b);
    net->client().beat(recorder.listen(), {}, recorded.callback());
    const auto opening = recorder.receive(opening_size);
    LONGS_EQUAL(opening_size, opening.size());
    for (const auto& it : hostile_inputs(opening))
    {
        raw_socket stranger;
        CHECK(stranger.connect(net->port()));
        stranger.send(it);
        stranger.end_sending();
        stranger.wait_for_end();
    }
    CHECK(beat(loop, *net, address_of(*net)) == peer_status::ok);
    LONGS_EQUAL(1, net->counters().served[static_cast<std::size_t>(call_kind::beat)]);
}

TEST(bounds, a_wrong_token_opens_nothing)
{
    auto b = plain_builder(loop);
    const auto net = built(b);
    for (const char* it : {"wrong", "secre", "secret ", "secrets"})
    {
        const auto stranger = built(b.token(it));
        CHECK(beat(loop, *stranger, address_of(*net)) == peer_status::unreachable);
    }
    LONGS_EQUAL(4, net->counters().wrong_tokens);
    LONGS_EQUAL(0, net->counters().served[static_cast<std::size_t>(call_kind::beat)]);
}

// Strangers hold every connection that may be open without a token. A peer is turned away; when
// the strangers' time for the token is over their connections are closed and the peer gets in.
TEST(bounds, strangers_can_not_hold_connections)
{
    limits bounds;
    bounds.connections_before_token = 2;
    bounds.token_within = a_while;
    auto b = plain_builder(loop);
    const auto caller = built(b);
    const auto net = built(b.limits(bounds));
    raw_socket first;
    raw_socket second;
    CHECK(first.connect(net->port()));
    CHECK(second.connect(net->port()));
    CHECK(beat(loop, *caller, address_of(*net)) == peer_status::unreachable);
    LONGS_EQUAL(1, net->counters().turned_away);
    first.wait_for_end();
    second.wait_for_end();
    CHECK(beat(loop, *caller, address_of(*net)) == peer_status::ok);
}

// A message beyond the bound would make the other side close the connection, and end other calls
// with it; so it isn't sent, and the connection stays.
TEST(bounds, a_message_too_large_ends_only_its_own_call)
{
    const std::string large(100000, 'x');
    limits bounds;
    bounds.largest_message = 64 << 10;
    auto handlers = plain_handlers();
    handlers.explain = [&](const auto&, const auto& reply)
    {
        reply({{large}});
    };
    auto b = plain_builder(loop);
    const auto net = built(b.handlers(handlers).limits(bounds));
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
    LONGS_EQUAL(1, net->counters().connects);
}

TEST(bounds, calls_to_one_peer)
{
    raw_socket paused;
    const auto address = paused.listen();
    limits bounds;
    bounds.calls_per_peer = 2;
    auto b = plain_builder(loop);
    const auto net = built(b.limits(bounds).connect_timeout(never).timeout(call_kind::beat, never));
    beat_record open[2];
    net->client().beat(address, {}, open[0].callback());
    net->client().beat(address, {}, open[1].callback());
    CHECK(beat(loop, *net, address) == peer_status::unreachable);
    CHECK(beat(loop, *net, address_of(*net)) == peer_status::ok);
    LONGS_EQUAL(0, open[0].ends + open[1].ends);
    LONGS_EQUAL(1, net->counters().not_taken);
}

TEST_GROUP(building)
{
    test_scheduler loop;
};

TEST(building, says_what_is_wrong)
{
    auto good = plain_builder(loop);
    const auto taken = built(good);
    const std::string in_use = address_of(*taken);
    auto no_handlers = plain_builder(loop);
    no_handlers.handlers({});
    const struct
    {
        network::builder builder;
        std::string text;
    } rows[] = {
        {plain_builder(loop).token(""), "peer network: it needs a token"},
        {plain_builder(loop).scheduler({}), "peer network: it needs a scheduler"},
        {no_handlers,
            "peer network: it needs handlers for beat, request_permit, return_permits, "
            "query_held, claim, finish_claim, copy_claim, pull_slots, explain"},
        {plain_builder(loop).token("").scheduler({}),
            "peer network: it needs a token, a scheduler"},
        {plain_builder(loop).listen("127.0.0.1"), "'127.0.0.1' is not \"ip:port\""},
        {plain_builder(loop).listen("host:1"), "'host:1' is not \"ip:port\""},
        {plain_builder(loop).listen(in_use), "bind: Address already in use"},
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
    auto b = plain_builder(loop);
    const auto caller = built(b);
    const auto net = built(b);
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
    LONGS_EQUAL(1, net->counters().accepted);
}
