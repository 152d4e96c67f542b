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

/// One member with its view of the other members, driven on virtual time.
struct member_driver
{
    roster_state state;
    int now = 0;
    std::vector<propose_roster> proposals;
    int registers = 0;
    int rereads = 0;
    bool store_answers = true;
    member_list leased;
    std::optional<model::roster_document> stored;
    std::vector<int> responding; ///< members whose heartbeats arrive
    std::vector<int> refusing;   ///< members whose address refuses connections
    /// reporting member, id that it reports as unresponsive
    std::vector<std::pair<int, std::string>> silence_reports;

    void tick()
    {
        for (const auto n : responding)
        {
            std::vector<std::string> ids;
            for (const auto& [reporter, unresponsive] : silence_reports)
            {
                if (reporter == n)
                {
                    ids.push_back(unresponsive);
                }
            }
            on_heard(state, member(n), ids, at_ms(now));
        }
        for (const auto n : refusing)
        {
            on_refused(state, member(n), at_ms(now));
        }
        for (const auto& it : on_tick(state, 0.5, at_ms(now)))
        {
            apply(it);
        }
    }

    void apply(const roster_action& action)
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

    void set_leases(member_list those)
    {
        leased = std::move(those);
        on_leased(state, leased, at_ms(now));
    }
};

/// \return member \p self of a stable roster of \p count members that all respond.
member_driver stable_member(int self, int count)
{
    member_driver d;
    d.state.self = member(self);
    d.leased = members(count);
    d.stored = roster(5, members(count));
    for (int n = 1; n <= count; ++n)
    {
        d.responding.push_back(n);
    }
    std::erase(d.responding, self);
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
        const char* name;
        int members;
        std::function<void(member_driver&)> cause;
        bool removed;
    };
    const auto unresponsive = [](member_driver& d)
    {
        std::erase(d.responding, 3);
    };
    const auto refuses = [](member_driver& d)
    {
        std::erase(d.responding, 3);
        d.refusing = {3};
    };
    const auto majority = [](member_driver& d)
    {
        std::erase(d.responding, 3);
        d.silence_reports = {{2, "e3"}, {4, "e3"}};
    };
    const auto reports_by_unresponsive = [](member_driver& d)
    {
        d.silence_reports = {{2, "e3"}, {4, "e3"}};
        d.run(100);
        d.responding = {5};
    };
    const auto expired = [](member_driver& d)
    {
        d.set_leases({member(1), member(2)});
    };
    const auto replaced = [](member_driver& d)
    {
        d.set_leases({member(1), member(2), member(3, "2")});
    };
    const row rows[] = {
        {"nothing happened", 3, [](member_driver&) {}, false},
        {"its address refuses", 3, refuses, true},
        {"unresponsive to this member only", 5, unresponsive, false},
        {"unresponsive to a majority", 5, majority, true},
        {"heard by this member, unresponsive to another",
            5,
            [](member_driver& d) {
                d.silence_reports = {{2, "e3"}};
            },
            false},
        {"the members that reported it are unresponsive themselves",
            5,
            reports_by_unresponsive,
            false},
        {"its lease has expired", 3, expired, true},
        {"a new process took its id", 3, replaced, true},
    };
    for (const auto& it : rows)
    {
        auto d = stable_member(1, it.members);
        LONGS_EQUAL_TEXT(0, d.proposals.size(), it.name);
        it.cause(d);
        d.run(5000);
        CHECK_EQUAL_TEXT(it.removed, !d.proposals.empty(), it.name);
        if (it.removed)
        {
            CHECK_FALSE_TEXT(is_in(d.proposals[0], 3), it.name);
            CHECK_TEXT(is_in(d.proposals[0], 1) && is_in(d.proposals[0], 2), it.name);
            LONGS_EQUAL(6, d.proposals[0].next.epoch);
            LONGS_EQUAL(5, d.proposals[0].expected_revision);
            LONGS_EQUAL(5, d.proposals[0].next.history.front().epoch);
        }
    }
}

/// Guards against simultaneous writes. Nine members observe the same loss; if all wrote at once,
/// eight writes would fail and be read again. Members write in rendezvous order, and the first
/// write stops the others.
TEST(roster_logic, members_write_one_after_the_other)
{
    std::vector<int> waits;
    for (int self = 1; self <= 8; ++self)
    {
        auto d = stable_member(self, 9);
        std::erase(d.responding, 9);
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

/// Guards against decisions on outdated state. A member is paused for a minute. When it resumes,
/// every peer seems unresponsive and its own lease has expired. It therefore reads the store first,
/// registers again, and proposes nothing until then.
TEST(roster_logic, a_paused_member_reads_again_and_removes_no_member)
{
    auto d = stable_member(1, 3);
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

/// Guards against removing members whose leases expired together. The store becomes reachable again
/// after minutes; all leases have expired, and their holders register one by one.
TEST(roster_logic, missing_leases_after_an_outage_remove_no_member_at_first)
{
    auto d = stable_member(1, 3);
    d.leased = {member(1)};
    on_store_lost(d.state);
    d.run(6000);
    LONGS_EQUAL(0, d.proposals.size());
    d.set_leases(members(3));
    d.run(10000);
    LONGS_EQUAL(0, d.proposals.size());
}

TEST(roster_logic, a_removed_process_returns_after_it_was_heard_for_a_while)
{
    auto d = stable_member(1, 3);
    d.stored = roster(6, {member(1), member(2)});
    d.stored->history = {{5, members(3)}};
    d.responding = {2};
    on_roster(d.state, d.stored, 6, at_ms(d.now));
    d.run(6000);
    LONGS_EQUAL(0, d.proposals.size());
    d.responding = {2, 3};
    d.run(4000);
    LONGS_EQUAL(0, d.proposals.size());
    d.run(4000);
    CHECK(!d.proposals.empty() && is_in(d.proposals[0], 3));
}

TEST(roster_logic, a_process_outside_the_roster_writes_only_when_no_member_can)
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
        member_driver d;
        d.state.self = member(4);
        d.stored = roster(5, members(2));
        d.leased = it.leased;
        d.run(20000);
        CHECK_EQUAL(it.writes, !d.proposals.empty());
    }
}

TEST(roster_logic, first_roster_leaving_and_bounded_history)
{
    member_driver d;
    d.state.self = member(1);
    d.leased = {member(1)};
    d.run(1000);
    LONGS_EQUAL(1, d.proposals.at(0).next.epoch);
    LONGS_EQUAL(0, d.proposals[0].expected_revision);

    d = stable_member(1, 3);
    d.state.current->history.assign(16, {});
    leave(d.state);
    d.tick();
    CHECK_FALSE(is_in(d.proposals.at(0), 1));
    LONGS_EQUAL(2, d.proposals[0].next.members.size());
    LONGS_EQUAL(16, d.proposals[0].next.history.size());
}
