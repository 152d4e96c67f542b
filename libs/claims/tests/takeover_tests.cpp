#include "claims/claim_table.hpp"

#include "fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::claims;
using namespace camphorhitch::claims::testing;

namespace
{

using id_list = std::vector<std::string>;

/// One change of the roster.
struct roster_change
{
    id_list members;
    id_list adopting; ///< members that adopt it and can be reached
    id_list gone;     ///< processes that refuse connections; all others do not answer
};

/// Members a and b grant a key in epoch 1, then the roster changes. After each change another
/// executor claims the same key at the first holder of the new roster. The verdict of the last
/// claim is compared.
struct row
{
    const char* what;
    std::vector<roster_change> changes;
    claim_verdict verdict;
};

claim_verdict run_scenario(const row& it, const std::string& restarted = {})
{
    const id_list first{"a", "b", "c", "d"};
    const auto key = key_held_by(first, "a", "b");
    table_set t;
    auto roster = roster_of(first);
    for (const auto& id : first)
    {
        t.adopt(id, roster);
    }
    const auto granted = t.claim("a", key, "x");
    t.deliver_copies();
    CHECK(t.verdict(granted) == claim_verdict::granted);
    if (!restarted.empty())
    {
        t.by_id[restarted] = claim_table{};
        t.by_id[restarted].self = member(restarted, "2");
    }
    std::uint64_t last = 0;
    for (const auto& next : it.changes)
    {
        roster = next_roster(roster, next.members);
        for (const auto& id : next.adopting)
        {
            t.adopt(id, roster);
        }
        t.now += 10;
        id_list unresponsive;
        for (const auto& [id, table] : t.by_id)
        {
            if (table.roster.epoch < roster.epoch)
            {
                unresponsive.push_back(id);
            }
        }
        t.deliver_pulls(next.gone, unresponsive);
        const auto slot = membership::slot_of_key(key);
        const auto holder = membership::claim_holders(roster.members, slot).first->id;
        last = t.claim(holder, key, "y");
        t.deliver_copies();
    }
    return t.verdict(last);
}

} // namespace

TEST_GROUP(takeover){};

/// A member that takes over a slot must have a record of every key that was granted before, or
/// state that it has none. Each row loses holders in another way and order; in none may the key be
/// granted again.
TEST(takeover, recovery_from_former_rosters)
{
    const id_list first{"a", "b", "c", "d"};
    const id_list last{"c", "d"};
    const row rows[] = {
        {"both holders are there", {{last, first, {}}}, claim_verdict::known},
        {"the first holder is lost", {{last, {"b", "c", "d"}, {"a"}}}, claim_verdict::known},
        {"the second holder is lost", {{last, {"a", "c", "d"}, {"b"}}}, claim_verdict::known},
        {"both holders are lost", {{last, last, {"a", "b"}}}, claim_verdict::quarantined},
        {"both holders do not answer", {{last, last, {}}}, claim_verdict::not_ready},
        {"an epoch in between whose holders received no state",
            {{last, last, {}}, {{"e", "f"}, {"a", "b", "c", "d", "e", "f"}, {}}},
            claim_verdict::known},
        {"the holders of that epoch are lost before they can report that they granted nothing",
            {{last, last, {}}, {{"e", "f"}, {"a", "b", "e", "f"}, {"c", "d"}}},
            claim_verdict::quarantined},
        {"the first holders hold the slot again, one did not adopt the epoch in between",
            {{last, first, {}}, {{"a", "b"}, {"a", "b", "c"}, {}}},
            claim_verdict::known},
        {"the key is handed on from holder to holder",
            {{{"b", "c"}, {"b", "c"}, {"a"}},
                {last, last, {"a", "b"}},
                {{"d", "e"}, {"d", "e"}, {"a", "b", "c"}}},
            claim_verdict::known},
    };
    for (const auto& it : rows)
    {
        CHECK_TEXT(it.verdict == run_scenario(it), it.what);
    }
}

/// A holder is killed and a new process answers at its address within a second. The new process
/// truthfully reports that it granted nothing. If that counted as the report of its predecessor,
/// every key would be free again.
TEST(takeover, a_new_process_does_not_report_for_its_predecessor)
{
    const row lost{
        "b restarted, a lost", {{{"c", "d"}, {"b", "c", "d"}, {"a"}}}, claim_verdict::quarantined};
    CHECK(lost.verdict == run_scenario(lost, "b"));
}

/// The second holder waits for its slot's state while the first holder has it. If the second holder
/// acknowledged a copy, it would later report that it was not complete and that nothing was
/// granted, for an epoch in which a key was granted.
TEST(takeover, a_waiting_second_holder_acknowledges_nothing)
{
    const id_list four{"a", "b", "c", "d"};
    const id_list three{"a", "c", "d"};
    const auto roster = roster_of(four);
    const auto next = next_roster(roster, three);
    table_set t;
    std::string key;
    for (int n = 0; key.empty(); ++n)
    {
        const auto candidate = "key" + std::to_string(n);
        const auto slot = membership::slot_of_key(candidate);
        const auto before = membership::claim_holders(roster.members, slot);
        const auto after = membership::claim_holders(next.members, slot);
        const bool wanted =
            before.first->id == "a" && before.second->id == "b" && after.first->id == "a";
        key = wanted ? candidate : "";
    }
    t.adopt("a", roster);
    for (const auto& it : three)
    {
        t.adopt(it, next);
    }
    const auto ticket = t.claim("a", key, "x");
    t.deliver_copies();
    CHECK(t.verdict(ticket) == claim_verdict::not_ready);
    t.deliver_pulls({"b"});
    const auto again = t.claim("a", key, "x");
    t.deliver_copies();
    CHECK(t.verdict(again) == claim_verdict::granted);
}

/// A new member becomes first holder before the old pair has learnt of the new roster. State that
/// it pulls before the old holders adopt its epoch would be out of date at once, because they go on
/// granting.
TEST(takeover, holders_that_lag_behind)
{
    const id_list ab{"a", "b"};
    const auto key = key_held_by(ab, "a", "b");
    table_set t;
    const auto roster = roster_of(ab);
    const auto next = next_roster(roster, {"c", "d"});
    t.adopt("a", roster);
    t.adopt("b", roster);
    t.adopt("c", next);
    t.adopt("d", next);
    t.deliver_pulls();
    const auto granted = t.claim("a", key, "x");
    auto late = std::exchange(t.copies, {}).at(0);
    t.acknowledge(late, peer_status::ok, t.deliver(late));
    CHECK(t.verdict(granted) == claim_verdict::granted);

    t.claim("a", key, "x");
    late = std::exchange(t.copies, {}).at(0);
    t.adopt("b", next);
    CHECK_FALSE(t.deliver(late).accepted);
    t.now += 1000;
    for (const auto* it : {"c", "d"})
    {
        t.apply_actions(it, on_tick(t[it], at_ms(t.now)));
    }
    t.deliver_pulls();
    const auto slot = membership::slot_of_key(key);
    const auto holder = membership::claim_holders(next.members, slot).first->id;
    const auto ticket = t.claim(holder, key, "y");
    t.deliver_copies();
    CHECK(t.verdict(ticket) == claim_verdict::known);
}

/// An attempt whose claim never arrived is released at a new holder that still waits for the slot's
/// state. If the release were stored there, it would look newer than another attempt's claim that
/// arrives with the state.
TEST(takeover, a_release_waits_for_the_slots_state)
{
    const id_list ab{"a", "b"};
    const auto key = key_held_by(ab, "a", "b");
    table_set t;
    const auto roster = roster_of(ab);
    const auto next = next_roster(roster, {"c", "d"});
    t.adopt("a", roster);
    t.adopt("b", roster);
    t.claim("a", key, "y");
    t.deliver_copies();
    for (const auto* it : {"a", "b", "c", "d"})
    {
        t.adopt(it, next);
    }
    const auto slot = membership::slot_of_key(key);
    const auto holder = membership::claim_holders(next.members, slot).first->id;
    const auto release = t.finish(holder, key, "x", ports::claim_state::released);
    t.deliver_copies();
    CHECK_FALSE(t.finishes[release].accepted);
    t.deliver_pulls();
    const auto ticket = t.claim(holder, key, "z");
    t.deliver_copies();
    CHECK(t.verdict(ticket) == claim_verdict::known);
}

/// The grants of the lost holders are unknown. Until the last key that they may have granted has
/// expired, a key without a record is neither run nor reported as "not run". After that the slot
/// serves again. A further change of the roster does not restart the wait.
TEST(takeover, quarantine_ends_and_is_handed_on)
{
    const claim_settings settings;
    const auto wait = static_cast<int>(quarantine_time(settings).count());
    table_set t;
    auto roster = roster_of({"a"});
    t.adopt("a", roster);
    t.claim("a", "k", "x");
    roster = next_roster(roster, {"c", "d"});
    t.adopt("c", roster);
    t.adopt("d", roster);
    const int begin = t.now;
    t.deliver_pulls({"a"});
    t.now = begin + wait / 2;
    roster = next_roster(roster, {"e", "f"});
    for (const auto* it : {"c", "d", "e", "f"})
    {
        t.adopt(it, roster);
    }
    t.deliver_pulls({"a"});
    const auto slot = membership::slot_of_key("k");
    const auto holder = membership::claim_holders(roster.members, slot).first->id;
    for (const int late : {-1, 1})
    {
        t.now = begin + wait + late;
        for (const auto* it : {"e", "f"})
        {
            t.apply_actions(it, on_tick(t[it], at_ms(t.now)));
        }
        t.deliver_pulls({"a"});
        const auto ticket = t.claim(holder, "k", "y");
        t.deliver_copies();
        const auto expected = late < 0 ? claim_verdict::quarantined : claim_verdict::granted;
        CHECK(expected == t.verdict(ticket));
    }
}

/// Both holders are cut off together with a majority and are replaced. They go on granting as long
/// as they may consider themselves fresh, and one executor uses its grant at the last moment. No
/// former holder can be asked, so the successors have to wait until that key, too, has been kept
/// for its full time.
TEST(takeover, a_quarantine_outlasts_what_silent_holders_may_still_grant)
{
    const claim_settings settings;
    const auto last_fresh = static_cast<int>(settings.stop_bound.count()) - 1;
    const auto last_send = last_fresh + static_cast<int>(settings.permit_ttl.count()) - 1;
    const auto remembered = last_send + static_cast<int>(settings.key_memory.count());
    table_set t;
    t.now = 0;
    const auto roster = roster_of({"a", "b"});
    t.adopt("a", roster);
    t.adopt("b", roster);
    const auto next = next_roster(roster, {"c", "d"});
    t.adopt("c", next);
    t.adopt("d", next);
    t.deliver_pulls({}, {"a", "b"});
    t.now = last_fresh;
    const auto key = key_held_by({"a", "b"}, "a", "b");
    const auto granted = t.claim("a", key, "x");
    t.deliver_copies();
    CHECK(t.verdict(granted) == claim_verdict::granted);
    t.now = remembered - 1;
    for (const auto* it : {"c", "d"})
    {
        t.apply_actions(it, on_tick(t[it], at_ms(t.now)));
    }
    t.deliver_pulls({}, {"a", "b"});
    const auto slot = membership::slot_of_key(key);
    const auto holder = membership::claim_holders(next.members, slot).first->id;
    const auto again = t.claim(holder, key, "y");
    t.deliver_copies();
    CHECK(t.verdict(again) == claim_verdict::quarantined);
}

TEST(takeover, a_leaving_member_waits_until_its_slots_were_pulled)
{
    table_set t;
    auto roster = roster_of({"a", "b", "c"});
    for (const auto* it : {"a", "b", "c"})
    {
        t.adopt(it, roster);
    }
    roster = next_roster(roster, {"b", "c"});
    for (const auto* it : {"a", "b", "c"})
    {
        t.adopt(it, roster);
    }
    CHECK_FALSE(is_handed_over(t["a"]));
    t.deliver_pulls();
    CHECK(is_handed_over(t["a"]));
    LONGS_EQUAL(0, waiting_slot_count(t["b"]));
}
