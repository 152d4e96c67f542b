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

/// Evaluates freshness at member 1, at 100 s, under epoch 5. A confirmation is valid for 3 s, and
/// the outage grace is 60 s.
TEST(freshness, rule)
{
    struct row
    {
        const char* name;
        int members;
        int store_ms; ///< start of the last read that the store answered
        ports::epoch_number store_epoch;
        std::vector<peer_answer> peers;
        bool fresh;
    };
    const row rows[] = {
        {"store confirmed recently", 3, 99000, 5, {}, true},
        {"store confirmed too long ago", 3, 97000, 5, {}, false},
        {"store named a newer epoch", 3, 99000, 6, {}, false},
        {"store named an older epoch", 3, 99000, 4, {}, false},
        {"majority of 3", 3, 90000, 5, {{2, 99000}}, true},
        {"majority of 3, too old", 3, 90000, 5, {{2, 97000}}, false},
        {"half of 4", 4, 90000, 5, {{2, 99000}}, false},
        {"majority of 4", 4, 90000, 5, {{2, 99000}, {3, 98000}}, true},
        {"two members need each other", 2, 90000, 5, {}, false},
        {"two members", 2, 90000, 5, {{2, 99000}}, true},
        {"a single member is its own majority", 1, 90000, 5, {}, true},
        {"a single member, but the outage is too long", 1, 40000, 5, {}, false},
        {"outage too long", 3, 40000, 5, {{2, 99000}, {3, 99000}}, false},
        {"a peer reaches the store", 3, 90000, 5, {{2, 99000, 5, true}, {3, 99000}}, false},
        {"a peer reached the store long ago", 3, 90000, 5, {{2, 96000, 5, true}, {3, 99000}}, true},
        {"a peer is ahead", 3, 99000, 5, {{2, 99000, 6}}, false},
        {"a peer is behind", 3, 90000, 5, {{2, 99000, 4}}, false},
        {"another process answers at its address", 3, 90000, 5, {{2, 99000, 5, false, "2"}}, false},
        {"the peer is not a member", 3, 90000, 5, {{8, 99000}}, false},
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
        CHECK_EQUAL_TEXT(it.fresh, is_fresh(state, at_ms(100000)), it.name);
    }
}

/// Guards against dating answers by their arrival. A process is paused for 30 s with unread answers
/// in its sockets and reads them first when it resumes. If the answers counted from their arrival,
/// the process would send a request to a host that was rebooted meanwhile.
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

/// Evaluated at member 1, which adopted epoch 6 at 10 s. All members were in epoch 5 before.
TEST(stop_bound, report_proof_freshness_or_grace)
{
    struct row
    {
        const char* name;
        int members;
        std::vector<int> reports; ///< members that reported epoch 6 at 11 s
        std::vector<int> ended;   ///< members proven to have ended at 11 s
        int from_ms;
    };
    const row rows[] = {
        {"all reported", 3, {2, 3}, {}, 10000},
        {"one reported, one has ended", 3, {2}, {3}, 10000},
        {"one of three is unresponsive", 3, {2}, {}, 11000 + 3500},
        {"two of three may confirm one another", 3, {}, {}, 10000 + 60500},
        {"two of four can't confirm one another", 4, {2}, {}, 11000 + 3500},
        {"a single member of two can't alone", 2, {}, {}, 10000 + 3500},
    };
    for (const auto& it : rows)
    {
        stop_bound_state state;
        state.settings.outage_grace = core::millis{60000};
        state.self = member(1);
        auto next = roster(6, {member(1)});
        next.history.push_back({5, members(it.members)});
        on_epoch_adopted(state, next, at_ms(10000));
        for (const auto n : it.reports)
        {
            on_epoch_reported(state, member(n), 6, at_ms(11000));
            on_epoch_reported(state, member(n), 6, at_ms(19000));
        }
        for (const auto n : it.ended)
        {
            on_process_gone(state, member(n), at_ms(11000));
        }
        const auto from = older_epochs_end(state, next).time_since_epoch();
        LONGS_EQUAL_TEXT(
            it.from_ms, std::chrono::duration_cast<core::millis>(from).count(), it.name);
    }
}

/// A single member is its own majority: a member that takes over from it waits for a report, a
/// proof or the outage grace.
TEST(stop_bound, a_single_member_is_a_majority)
{
    const freshness_settings settings;
    LONGS_EQUAL(600500, max_remaining_freshness(settings, 1, 1).count());
    LONGS_EQUAL(3500, max_remaining_freshness(settings, 2, 1).count());
    LONGS_EQUAL(0, max_remaining_freshness(settings, 3, 0).count());
}
