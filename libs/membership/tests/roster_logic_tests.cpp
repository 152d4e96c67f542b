#include "membership/roster_logic.hpp"

#include "fixture.hpp"

#include <algorithm>
#include <functional>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::membership;
using namespace camphorhitch::membership::testing;

namespace
{

/// One member with its view of the others, driven on virtual time.
struct driven
{
    roster_state state;
    int now = 0;
    std::vector<propose_roster> proposals;
    int registers = 0;
    int rereads = 0;
    bool store_answers = true;
    member_list leased;
    std::optional<model::roster_document> stored;
    std::vector<int> talking;                      ///< members whose heartbeats arrive
    std::vector<int> refusing;                     ///< members whose address refuses
    std::vector<std::pair<int, std::string>> says; ///< member, whom it reports as silent

    void tick()
    {
        for (const auto n : talking)
        {
            std::vector<std::string> silent;
            for (const auto& [who, about] : says)
            {
                if (who == n)
                {
                    silent.push_back(about);
                }
            }
            on_heard(state, member(n), silent, at_ms(now));
        }
        for (const auto n : refusing)
        {
            on_refused(state, member(n), at_ms(now));
        }
        for (const auto& it : on_tick(state, 0.5, at_ms(now)))
        {
            take(it);
        }
    }

    void take(const roster_action& action)
    {
        if (const auto* proposal = std::get_if<propose_roster>(&action))
        {
            proposals.push_back(*proposal);
        }
        else if (const auto* reread = std::get_if<reread_store>(&action))
        {
            ++rereads;
            read(reread->ticket);
        }
        else
        {
            ++registers;
        }
    }

    void read(std::uint64_t ticket)
    {
        if (store_answers)
        {
            const auto revision = stored ? static_cast<ports::revision>(stored->epoch) : 0;
            on_roster(state, stored, revision, at_ms(now));
            on_leased(state, leased, at_ms(now));
            on_reread(state, ticket, at_ms(now));
        }
    }

    void run(int ms)
    {
        for (const int end = now + ms; now < end; now += 100)
        {
            tick();
        }
    }

    void lease_only(member_list those)
    {
        leased = std::move(those);
        on_leased(state, leased, at_ms(now));
    }
};

/// Member \p self of a roster of \p count that is whole and talks.
driven settled(int self, int count)
{
    driven d;
    d.state.self = member(self);
    d.leased = members(count);
    d.stored = roster(5, members(count));
    for (int n = 1; n <= count; ++n)
    {
        d.talking.push_back(n);
    }
    std::erase(d.talking, self);
    d.run(10000);
    return d;
}

bool is_in(const propose_roster& proposal, int n)
{
    return contains_process(proposal.next.members, member(n));
}

} // namespace

TEST_GROUP(roster_logic){};

TEST(roster_logic, evidence_decides_who_is_removed)
{
    struct row
    {
        const char* what;
        int members;
        std::function<void(driven&)> cause;
        bool removed;
    };
    const auto silent = [](driven& d)
    {
        std::erase(d.talking, 3);
    };
    const auto refuses = [](driven& d)
    {
        std::erase(d.talking, 3);
        d.refusing = {3};
    };
    const auto majority = [](driven& d)
    {
        std::erase(d.talking, 3);
        d.says = {{2, "e3"}, {4, "e3"}};
    };
    const auto hearsay = [](driven& d)
    {
        d.says = {{2, "e3"}, {4, "e3"}};
        d.run(100);
        d.talking = {5};
    };
    const auto lapsed = [](driven& d)
    {
        d.lease_only({member(1), member(2)});
    };
    const auto replaced = [](driven& d)
    {
        d.lease_only({member(1), member(2), member(3, "2")});
    };
    const row rows[] = {
        {"nothing happened", 3, [](driven&) {}, false},
        {"its address refuses", 3, refuses, true},
        {"silent to us alone", 5, silent, false},
        {"silent to a majority", 5, majority, true},
        {"heard by us, silent to one",
            5,
            [](driven& d) {
                d.says = {{2, "e3"}};
            },
            false},
        {"those who reported it are silent themselves", 5, hearsay, false},
        {"its lease is gone", 3, lapsed, true},
        {"a new process took its id", 3, replaced, true},
    };
    for (const auto& it : rows)
    {
        auto d = settled(1, it.members);
        LONGS_EQUAL_TEXT(0, d.proposals.size(), it.what);
        it.cause(d);
        d.run(5000);
        CHECK_EQUAL_TEXT(it.removed, !d.proposals.empty(), it.what);
        if (it.removed)
        {
            CHECK_FALSE_TEXT(is_in(d.proposals[0], 3), it.what);
            CHECK_TEXT(is_in(d.proposals[0], 1) && is_in(d.proposals[0], 2), it.what);
            LONGS_EQUAL(6, d.proposals[0].next.epoch);
            LONGS_EQUAL(5, d.proposals[0].expected);
            LONGS_EQUAL(5, d.proposals[0].next.history.front().epoch);
        }
    }
}

/// Nine members see the same loss. If all wrote, eight writes would fail and be read again; so they
/// write in rendezvous order, and the first one's write stops the others.
TEST(roster_logic, members_write_one_after_the_other)
{
    std::vector<int> waits;
    for (int self = 1; self <= 8; ++self)
    {
        auto d = settled(self, 9);
        std::erase(d.talking, 9);
        d.refusing = {9};
        const int begin = d.now;
        while (d.proposals.empty())
        {
            d.run(100);
        }
        waits.push_back(d.now - begin);
    }
    std::sort(waits.begin(), waits.end());
    CHECK(waits[0] <= 600);
    for (std::size_t n = 1; n < waits.size(); ++n)
    {
        CHECK(waits[n] - waits[n - 1] >= 200);
    }
}

/// A member is stopped for a minute. On waking everybody looks silent and its own lease has lapsed;
/// what it believes is old, so it reads first, registers again, and proposes nothing until then.
TEST(roster_logic, a_paused_member_reads_again_and_removes_nobody)
{
    auto d = settled(1, 3);
    const int rereads = d.rereads;
    d.store_answers = false;
    d.now += 60000;
    d.run(5000);
    LONGS_EQUAL(0, d.proposals.size());
    CHECK(d.rereads > rereads);
    d.store_answers = true;
    d.leased = {member(2), member(3)};
    d.run(5000);
    LONGS_EQUAL(0, d.proposals.size());
    CHECK(d.registers > 0);
}

/// The store comes back after minutes; all leases have lapsed and their holders register one by
/// one.
TEST(roster_logic, missing_leases_after_an_outage_remove_nobody_at_first)
{
    auto d = settled(1, 3);
    d.leased = {member(1)};
    on_store_lost(d.state);
    d.run(6000);
    LONGS_EQUAL(0, d.proposals.size());
    d.lease_only(members(3));
    d.run(10000);
    LONGS_EQUAL(0, d.proposals.size());
}

TEST(roster_logic, a_removed_process_returns_after_it_was_heard_for_a_while)
{
    auto d = settled(1, 3);
    d.stored = roster(6, {member(1), member(2)});
    d.stored->history = {{5, members(3)}};
    d.talking = {2};
    on_roster(d.state, d.stored, 6, at_ms(d.now));
    d.run(6000);
    LONGS_EQUAL(0, d.proposals.size());
    d.talking = {2, 3};
    d.run(4000);
    LONGS_EQUAL(0, d.proposals.size());
    d.run(4000);
    CHECK(!d.proposals.empty() && is_in(d.proposals[0], 3));
}

TEST(roster_logic, who_is_outside_writes_only_when_nobody_inside_can)
{
    struct row
    {
        member_list leased;
        bool writes;
    };
    const row rows[] = {
        {{member(1), member(2), member(4)}, false},
        {{member(4)}, true},
    };
    for (const auto& it : rows)
    {
        driven d;
        d.state.self = member(4);
        d.stored = roster(5, members(2));
        d.leased = it.leased;
        d.run(20000);
        CHECK_EQUAL(it.writes, !d.proposals.empty());
    }
}

TEST(roster_logic, first_roster_leaving_and_bounded_history)
{
    driven d;
    d.state.self = member(1);
    d.leased = {member(1)};
    d.run(1000);
    LONGS_EQUAL(1, d.proposals.at(0).next.epoch);
    LONGS_EQUAL(0, d.proposals[0].expected);

    d = settled(1, 3);
    d.state.current->history.assign(16, {});
    leave(d.state);
    d.tick();
    CHECK_FALSE(is_in(d.proposals.at(0), 1));
    LONGS_EQUAL(2, d.proposals[0].next.members.size());
    LONGS_EQUAL(16, d.proposals[0].next.history.size());
}
