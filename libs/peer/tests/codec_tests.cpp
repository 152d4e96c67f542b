#include "fixture.hpp"

#include <algorithm>
#include <tuple>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::peer::testing;
using core::micros;
using core::millis;

namespace
{

// Compares every field of each message by structured bindings: a field that is added to a port
// breaks the build here, so that its encoding can't be forgotten.

auto fields_of(const ports::heartbeat& m)
{
    const auto& [a, b, c, d, e, f, g, h, i, j] = m;
    return std::tie(a, b, c, d, e, f, g, h, i, j);
}

auto fields_of(const ports::permit_request& m)
{
    const auto& [a, b, c, d, e, f, g, h, i, j, k] = m;
    return std::tie(a, b, c, d, e, f, g, h, i, j, k);
}

auto fields_of(const ports::permit_reply& m)
{
    const auto& [a, b, c, d, e, f, g] = m;
    return std::tie(a, b, c, d, e, f, g);
}

auto fields_of(const ports::permit_return& m)
{
    const auto& [a, b, c, d, e, f, g, h] = m;
    return std::tie(a, b, c, d, e, f, g, h);
}

auto fields_of(const ports::held_permit& m)
{
    const auto& [a, b, c, d] = m;
    return std::tie(a, b, c, d);
}

auto fields_of(const ports::held_query& m)
{
    const auto& [a, b, c] = m;
    return std::tie(a, b, c);
}

auto fields_of(const ports::claim_entry& m)
{
    const auto& [a, b, c, d, e, f, g, h, i, j, k, l] = m;
    return std::tie(a, b, c, d, e, f, g, h, i, j, k, l);
}

auto fields_of(const ports::claim_request& m)
{
    const auto& [a, b, c, d, e] = m;
    return std::tie(a, b, c, d, e);
}

auto fields_of(const ports::slot_pull& m)
{
    const auto& [a, b, c] = m;
    return std::tie(a, b, c);
}

auto fields_of(const ports::explain_query& m)
{
    const auto& [a, b] = m;
    return std::tie(a, b);
}

auto fields_of(const ports::explain_reply& m)
{
    const auto& [a] = m;
    return std::tie(a);
}

auto fields_of(const ports::ack& m)
{
    const auto& [a] = m;
    return std::tie(a);
}

bool same(const ports::slot_state& x, const ports::slot_state& y);

template <class T>
bool same(const T& x, const T& y)
{
    return fields_of(x) == fields_of(y);
}

template <class T>
bool same(const std::vector<T>& x, const std::vector<T>& y)
{
    return std::equal(
        x.begin(), x.end(), y.begin(), y.end(), [](const T& a, const T& b) { return same(a, b); });
}

bool same(const ports::held_reply& x, const ports::held_reply& y)
{
    const auto& [a, b, c, permits] = x;
    return std::tie(a, b, c) == std::tie(y.epoch, y.member, y.incarnation) &&
           same(permits, y.permits);
}

bool same(const ports::claim_reply& x, const ports::claim_reply& y)
{
    const auto& [a, entry, b] = x;
    return std::tie(a, b) == std::tie(y.verdict, y.retry_after) && same(entry, y.entry);
}

bool same(const ports::claim_finish& x, const ports::claim_finish& y)
{
    const auto& [a, b, c, d, e, entry] = x;
    return std::tie(a, b, c, d, e) == std::tie(y.epoch, y.key, y.executor, y.attempt, y.not_run) &&
           same(entry, y.entry);
}

bool same(const ports::claim_copy& x, const ports::claim_copy& y)
{
    const auto& [a, b, c, entry] = x;
    return std::tie(a, b, c) == std::tie(y.epoch, y.slot, y.erase) && same(entry, y.entry);
}

bool same(const ports::slot_state& x, const ports::slot_state& y)
{
    const auto& [a, b, c, d, e, entries] = x;
    return std::tie(a, b, c, d, e) == std::tie(y.slot,
                                          y.complete_through,
                                          y.refused_through,
                                          y.quarantined_through,
                                          y.quarantine_left) &&
           same(entries, y.entries);
}

bool same(const ports::slot_pull_reply& x, const ports::slot_pull_reply& y)
{
    const auto& [a, b, c, slots] = x;
    return std::tie(a, b, c) == std::tie(y.adopted, y.member, y.incarnation) &&
           same(slots, y.slots);
}

/// Sends \p message through a network to itself, answers it with \p answer, and compares both
/// messages at both ends.
template <class Request, class Reply>
void check_round_trip(ports::peer_client::call<Request, Reply> ports::peer_client::*call,
    ports::peer_handlers::handler<Request, Reply> ports::peer_handlers::*handler,
    const Request& message,
    const Reply& answer)
{
    test_scheduler loop;
    Request arrived;
    auto handlers = empty_reply_handlers();
    handlers.*handler = [&](Request r, const std::function<void(Reply)>& reply)
    {
        arrived = std::move(r);
        reply(answer);
    };
    auto b = default_builder(loop);
    const auto net = build_network(b.handlers(handlers));
    call_record<Reply> end;
    (net->client().*call)(address_of(*net), message, end.callback());
    CHECK(loop.run_until([&]() { return end.ends == 1; }));
    CHECK(end.status == ports::peer_status::ok);
    CHECK(same(message, arrived));
    CHECK(same(answer, end.reply));
}

const std::string binary("a\0b\xff", 4);
const std::string large(300000, 'c'); // more than one segment

ports::claim_entry entry(ports::claim_state state)
{
    return {"key",
        7,
        state,
        "e1/1",
        3,
        millis{12},
        201,
        {{"Content-Type", "text/plain"}, {"X", ""}},
        binary,
        true,
        4,
        5};
}

} // namespace

TEST_GROUP(messages){};

TEST(messages, heartbeats)
{
    const ports::heartbeat full{"e1", "i1", 5, 6, true, true, 7, {"e2", "e3"}, binary, large};
    check_round_trip(
        &ports::peer_client::beat, &ports::peer_handlers::beat, full, ports::heartbeat{});
    check_round_trip(
        &ports::peer_client::beat, &ports::peer_handlers::beat, ports::heartbeat{}, full);
}

TEST(messages, permits)
{
    const ports::permit_request ask{5,
        "e1",
        "i1",
        9,
        "quotes",
        "z1",
        ports::request_class::long_running,
        millis{300},
        millis{20},
        {"h1", "h2"},
        true};
    const ports::permit_reply answer{
        ports::permit_verdict::granted, 4, "h3", "10.0.0.1:80", "rule", millis{70}, millis{8}};
    check_round_trip(
        &ports::peer_client::request_permit, &ports::peer_handlers::request_permit, ask, answer);
    const std::vector<ports::permit_return> returns{
        {"e1", "i1", 1, 2, "p", "h", ports::permit_outcome::unanswered, micros{12345}},
        {"e2", "i2", 3, 4, "q", "g", ports::permit_outcome::unused, micros{0}}};
    check_round_trip(&ports::peer_client::return_permits,
        &ports::peer_handlers::return_permits,
        returns,
        ports::ack{true});
    check_round_trip(&ports::peer_client::query_held,
        &ports::peer_handlers::query_held,
        ports::held_query{8, "e1", {"p", "q"}},
        ports::held_reply{8, "e2", "i2", {{"p", "h", 11, millis{99}}}});
}

TEST(messages, claims)
{
    using ports::claim_state;
    for (const auto state :
        {claim_state::claimed, claim_state::done, claim_state::unknown, claim_state::released})
    {
        check_round_trip(&ports::peer_client::claim,
            &ports::peer_handlers::claim,
            ports::claim_request{5, "key", 7, "e1/1", 3},
            ports::claim_reply{ports::claim_verdict::full, entry(state), millis{9}});
    }
    check_round_trip(&ports::peer_client::finish_claim,
        &ports::peer_handlers::finish_claim,
        ports::claim_finish{5, "key", "e1/1", 3, true, entry(claim_state::done)},
        ports::ack{true});
    check_round_trip(&ports::peer_client::copy_claim,
        &ports::peer_handlers::copy_claim,
        ports::claim_copy{5, 255, true, entry(claim_state::done)},
        ports::ack{false});
}

TEST(messages, slots_and_explanations)
{
    const auto one = entry(ports::claim_state::unknown);
    check_round_trip(&ports::peer_client::pull_slots,
        &ports::peer_handlers::pull_slots,
        ports::slot_pull{5, "e1", {0, 255}},
        ports::slot_pull_reply{
            true, "e2", "i2", {{255, 4, 5, 6, millis{7}, {one, one}}, ports::slot_state{}}});
    check_round_trip(&ports::peer_client::explain,
        &ports::peer_handlers::explain,
        ports::explain_query{"host", "h1"},
        ports::explain_reply{{"line", ""}});
}
