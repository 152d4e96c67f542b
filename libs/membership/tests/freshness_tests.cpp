#include "membership/freshness.hpp"
#include "membership/stop_bound.hpp"

#include "fixture.hpp"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::membership;
using namespace camphorhitch::membership::testing;

namespace
{

struct peer_answer
{
    int number;
    int started_ms;
    ports::epoch_number epoch = 5;
    bool store_reachable = false;
    const char* incarnation = "1";
};

ports::heartbeat answer_of(const peer_answer& it)
{
    ports::heartbeat beat;
    beat.member = member(it.number).id;
    beat.incarnation = it.incarnation;
    beat.epoch = it.epoch;
    beat.store_reachable = it.store_reachable;
    return beat;
}

freshness_state state_of(int roster_size)
{
    freshness_state state;
    state.self = member(1);
    on_roster_adopted(state, roster(5, members(roster_size)));
    return state;
}

} // namespace

TEST_GROUP(freshness){};

/// Looked at from member 1 at 100 s, under epoch 5; a confirmation holds for 3 s, outages for 60 s.
TEST(freshness, rule)
{
    struct row
    {
        const char* what;
        int members;
        int store_ms; ///< start of the last read that the store answered
        ports::epoch_number store_epoch;
        std::vector<peer_answer> peers;
        bool fresh;
    };
    const row rows[] = {
        {"store just now", 3, 99000, 5, {}, true},
        {"store too long ago", 3, 97000, 5, {}, false},
        {"store named a newer epoch", 3, 99000, 6, {}, false},
        {"store named an older epoch", 3, 99000, 4, {}, false},
        {"majority of 3", 3, 90000, 5, {{2, 99000}}, true},
        {"majority of 3, too old", 3, 90000, 5, {{2, 97000}}, false},
        {"half of 4", 4, 90000, 5, {{2, 99000}}, false},
        {"majority of 4", 4, 90000, 5, {{2, 99000}, {3, 98000}}, true},
        {"two members need each other", 2, 90000, 5, {}, false},
        {"two members", 2, 90000, 5, {{2, 99000}}, true},
        {"a single one is its own majority", 1, 90000, 5, {}, true},
        {"a single one, but the outage is too long", 1, 40000, 5, {}, false},
        {"outage too long", 3, 40000, 5, {{2, 99000}, {3, 99000}}, false},
        {"a peer reaches the store", 3, 90000, 5, {{2, 99000, 5, true}, {3, 99000}}, false},
        {"it reached the store long ago", 3, 90000, 5, {{2, 96000, 5, true}, {3, 99000}}, true},
        {"a peer is ahead", 3, 99000, 5, {{2, 99000, 6}}, false},
        {"a peer is behind", 3, 90000, 5, {{2, 99000, 4}}, false},
        {"another process has its address", 3, 90000, 5, {{2, 99000, 5, false, "2"}}, false},
        {"no member", 3, 90000, 5, {{8, 99000}}, false},
    };
    for (const auto& it : rows)
    {
        auto state = state_of(it.members);
        state.settings.outage_grace = core::millis{60000};
        on_store_confirmed(state, it.store_epoch, at_ms(it.store_ms));
        for (const auto& peer : it.peers)
        {
            on_peer_confirmed(state, answer_of(peer), at_ms(peer.started_ms));
        }
        CHECK_EQUAL_TEXT(it.fresh, is_fresh(state, at_ms(100000)), it.what);
    }
}

/// A process is stopped for 30 s with answers in its sockets. On waking it reads them first; were
/// they counted from their arrival, it would send a request to a host that was rebooted meanwhile.
TEST(freshness, answers_read_after_a_pause_count_from_their_requests)
{
    auto state = state_of(3);
    on_store_confirmed(state, 5, at_ms(1000));
    CHECK(is_fresh(state, at_ms(3999)));
    on_store_confirmed(state, 5, at_ms(2000));
    on_peer_confirmed(state, answer_of({2, 2000}), at_ms(2000));
    on_peer_confirmed(state, answer_of({3, 2000}), at_ms(2000));
    CHECK_FALSE(is_fresh(state, at_ms(32000)));
}

TEST(freshness, a_removed_member_is_not_fresh_and_an_older_roster_changes_nothing)
{
    auto state = state_of(3);
    on_store_confirmed(state, 5, at_ms(1000));
    on_roster_adopted(state, roster(4, members(1)));
    CHECK(is_fresh(state, at_ms(1500)));
    on_roster_adopted(state, roster(6, {member(2), member(3)}));
    on_store_confirmed(state, 6, at_ms(1200));
    CHECK_FALSE(is_fresh(state, at_ms(1500)));
}

TEST_GROUP(stop_bound){};

/// Seen from member 1, which adopted epoch 6 at 10 s after the others were in epoch 5 with it.
TEST(stop_bound, word_proof_freshness_or_grace)
{
    struct row
    {
        const char* what;
        int members;
        std::vector<int> words; ///< members that spoke at 11 s
        std::vector<int> gone;  ///< members proven gone at 11 s
        int from_ms;
    };
    const row rows[] = {
        {"all spoke", 3, {2, 3}, {}, 10000},
        {"one spoke, one is gone", 3, {2}, {3}, 10000},
        {"one of three is silent", 3, {2}, {}, 11000 + 3500},
        {"two of three may confirm one another", 3, {}, {}, 10000 + 60500},
        {"two of four can't", 4, {2}, {}, 11000 + 3500},
        {"the other one of two can't alone", 2, {}, {}, 10000 + 3500},
    };
    for (const auto& it : rows)
    {
        stop_state state;
        state.settings.outage_grace = core::millis{60000};
        state.self = member(1);
        auto next = roster(6, {member(1)});
        next.history.push_back({5, members(it.members)});
        on_epoch_adopted(state, next, at_ms(10000));
        for (const auto n : it.words)
        {
            on_word(state, member(n), 6, at_ms(11000));
            on_word(state, member(n), 6, at_ms(19000));
        }
        for (const auto n : it.gone)
        {
            on_process_gone(state, member(n), at_ms(11000));
        }
        const auto from = stopped_from(state, next).time_since_epoch();
        LONGS_EQUAL_TEXT(
            it.from_ms, std::chrono::duration_cast<core::millis>(from).count(), it.what);
    }
}

/// A single member is its own majority: whoever takes over waits for word, proof or the grace.
TEST(stop_bound, a_single_member_is_a_majority)
{
    const freshness_settings settings;
    LONGS_EQUAL(600500, silent_bound(settings, 1, 1).count());
    LONGS_EQUAL(3500, silent_bound(settings, 2, 1).count());
    LONGS_EQUAL(0, silent_bound(settings, 3, 0).count());
}
