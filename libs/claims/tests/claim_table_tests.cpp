#include "claims/claim_table.hpp"

#include "fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::claims;
using namespace camphorhitch::claims::testing;
using ports::claim_state;

namespace
{

const std::vector<std::string> abc{"a", "b", "c"};

/// Three members in epoch 1. The first holder of the key is a, the second holder is b.
struct three_members : table_set
{
    model::roster_document roster = roster_of(abc);
    std::string key = key_held_by(abc, "a", "b");

    three_members()
    {
        for (const auto& it : abc)
        {
            adopt(it, roster);
        }
    }

    std::uint64_t claim_and_copy(const std::string& executor)
    {
        const auto ticket = claim("a", key, executor);
        deliver_copies();
        return ticket;
    }

    /// The next roster has the members \p ids, and all of them adopt it.
    void adopt_next(const std::vector<std::string>& ids)
    {
        roster = next_roster(roster, ids);
        for (const auto& it : ids)
        {
            adopt(it, roster);
        }
    }

    std::string first_holder() const
    {
        return membership::claim_holders(roster.members, membership::slot_of_key(key)).first->id;
    }
};

} // namespace

TEST_GROUP(claim_table){};

TEST(claim_table, a_grant_needs_the_second_holder_the_epoch_and_freshness)
{
    struct row
    {
        const char* what;
        bool fresh_at_claim;
        peer_status copy;
        bool accepted;
        bool fresh_at_ack;
        claim_verdict verdict;
    };
    const row rows[] = {
        {"no failure", true, peer_status::ok, true, true, claim_verdict::granted},
        {"not fresh", false, peer_status::ok, true, true, claim_verdict::not_ready},
        {"no longer fresh", true, peer_status::ok, true, false, claim_verdict::not_ready},
        {"second refuses", true, peer_status::ok, false, true, claim_verdict::not_ready},
        {"copy or answer lost",
            true,
            peer_status::unreachable,
            false,
            true,
            claim_verdict::not_ready},
    };
    for (const auto& it : rows)
    {
        three_members t;
        const auto ticket = t.claim("a", t.key, "x", 0, it.fresh_at_claim);
        for (const auto& copy : std::exchange(t.copies, {}))
        {
            CHECK(t.replies.empty());
            t.acknowledge(copy, it.copy, {it.accepted}, it.fresh_at_ack);
        }
        CHECK_TEXT(it.verdict == t.verdict(ticket), it.what);
    }
}

TEST(claim_table, known_keys)
{
    struct row
    {
        const char* what;
        claim_state end; ///< how x's attempt ends; claimed: it is still running
        std::uint64_t body;
        claim_verdict verdict; ///< of y's claim
        claim_state reported;
    };
    const row rows[] = {
        {"running", claim_state::claimed, 0, claim_verdict::known, claim_state::claimed},
        {"answered", claim_state::done, 0, claim_verdict::known, claim_state::done},
        {"sent without an answer",
            claim_state::unknown,
            0,
            claim_verdict::known,
            claim_state::unknown},
        {"released", claim_state::released, 0, claim_verdict::granted, claim_state::claimed},
        {"another body", claim_state::done, 7, claim_verdict::other_body, claim_state::claimed},
        {"another body after a release",
            claim_state::released,
            7,
            claim_verdict::granted,
            claim_state::claimed},
    };
    for (const auto& it : rows)
    {
        three_members t;
        t.by_id["a"].roster.members.push_back(member("x"));
        CHECK(t.verdict(t.claim_and_copy("x")) == claim_verdict::granted);
        if (it.end != claim_state::claimed)
        {
            const auto ticket = t.finish("a", t.key, "x", it.end);
            t.deliver_copies();
            CHECK(t.finishes.at(ticket).accepted);
        }
        const auto ticket = t.claim("a", t.key, "y", it.body);
        t.deliver_copies();
        CHECK_TEXT(it.verdict == t.verdict(ticket), it.what);
        CHECK_TEXT(it.reported == t.replies[ticket].entry.state, it.what);
        const bool replayed = t.replies[ticket].entry.body == "answer of " + t.key;
        CHECK_EQUAL_TEXT(it.reported == claim_state::done, replayed, it.what);
    }
}

/// The copy reaches the second holder and its acknowledgement is lost, or the copy itself is lost.
/// The executor claims again under the same attempt, and another executor claims as well: only the
/// first one is granted.
TEST(claim_table, a_lost_acknowledgement_leaves_the_key_with_its_attempt)
{
    for (const bool copy_arrives : {true, false})
    {
        three_members t;
        t.claim("a", t.key, "x");
        const auto lost = std::exchange(t.copies, {}).at(0);
        if (copy_arrives)
        {
            CHECK(t.deliver(lost).accepted);
        }
        t.acknowledge(lost, peer_status::unreachable, {});
        CHECK(t.verdict(t.claim("a", t.key, "y")) == claim_verdict::known);
        CHECK(t.verdict(t.claim_and_copy("x")) == claim_verdict::granted);
        CHECK(t.verdict(t.claim_and_copy("y")) == claim_verdict::known);
    }
}

TEST(claim_table, a_claim_is_released_only_by_its_own_attempt)
{
    three_members t;
    t.claim_and_copy("x");
    t.finish("a", t.key, "y", claim_state::released);
    t.deliver_copies();
    CHECK(t.verdict(t.claim_and_copy("z")) == claim_verdict::known);
    t.finish("a", t.key, "x", claim_state::released);
    t.deliver_copies();
    CHECK(t.verdict(t.claim_and_copy("z")) == claim_verdict::granted);
}

/// The release overtakes its claim, which arrives late by another connection. A grant of the late
/// claim would give the key to an attempt that has already been closed.
TEST(claim_table, a_claim_that_comes_after_its_release_is_not_granted)
{
    three_members t;
    t.finish("a", t.key, "x", claim_state::released);
    t.deliver_copies();
    const auto late = t.claim_and_copy("x");
    CHECK(t.verdict(late) == claim_verdict::known);
    CHECK(t.replies[late].entry.state == claim_state::released);
    CHECK(t.verdict(t.claim_and_copy("y")) == claim_verdict::granted);
}

/// A first holder was replaced and has not learnt it yet. It has no record of what its successors
/// granted, so it must not state that a key has not run. The second holder, which adopted the newer
/// epoch, prevents this statement.
TEST(claim_table, a_replaced_first_holder_makes_no_statement)
{
    const auto full = [](three_members& t)
    {
        t["a"].settings.keys_per_slot = 0;
        return t.claim("a", t.key, "y");
    };
    const auto other_body = [](three_members& t)
    {
        t.claim_and_copy("x");
        return t.claim("a", t.key, "y", 7);
    };
    const auto grant = [](three_members& t)
    {
        return t.claim("a", t.key, "y");
    };
    struct row
    {
        std::uint64_t (*ask)(three_members&);
        claim_verdict otherwise;
    };
    const row rows[] = {{full, claim_verdict::full},
        {other_body, claim_verdict::other_body},
        {grant, claim_verdict::granted}};
    for (const auto& it : rows)
    {
        for (const bool replaced : {false, true})
        {
            three_members t;
            const auto ticket = it.ask(t);
            if (replaced)
            {
                t.adopt("b", next_roster(t.roster, {"b", "c"}));
            }
            t.deliver_copies();
            const auto expected = replaced ? claim_verdict::not_ready : it.otherwise;
            CHECK(t.verdict(ticket) == expected);
        }
    }
}

/// Copies of one key can arrive in another order than they were sent. If the second holder applied
/// the late copy, it would hand on "released" for a key that runs, and its successor would grant
/// the key again.
TEST(claim_table, copies_out_of_order)
{
    three_members t;
    t.claim_and_copy("x");
    t.finish("a", t.key, "x", claim_state::released);
    const auto late = std::exchange(t.copies, {}).at(0);
    CHECK(t.verdict(t.claim_and_copy("y")) == claim_verdict::granted);
    t.deliver(late);
    t.adopt_next({"b", "c"});
    t.deliver_pulls({"a"});
    const auto ticket = t.claim(t.first_holder(), t.key, "z");
    t.deliver_copies();
    CHECK(t.verdict(ticket) == claim_verdict::known);
}

/// The second holder of both epochs is complete in the newer one. Its acknowledgement of a copy of
/// the older epoch would let the old first holder grant a key beside the new one.
TEST(claim_table, a_copy_of_an_older_epoch_is_refused)
{
    three_members t;
    t.claim("a", t.key, "x");
    const auto late = std::exchange(t.copies, {}).at(0);
    t.adopt("b", next_roster(t.roster, abc));
    CHECK(is_active(t["b"], membership::slot_of_key(t.key)));
    CHECK_FALSE(t.deliver(late).accepted);
}

TEST(claim_table, bounds)
{
    three_members t;
    t["a"].settings.keys_per_slot = 1;
    t["a"].settings.answer_kept_bytes = 4;
    t.claim_and_copy("x");
    t.finish("a", t.key, "x", claim_state::done);
    t.deliver_copies();
    const auto too_large = t.claim_and_copy("y");
    CHECK(t.replies[too_large].entry.state == claim_state::done);
    CHECK_FALSE(t.replies[too_large].entry.answer_kept);

    std::string other;
    for (int n = 0; other.empty(); ++n)
    {
        const auto key = "other" + std::to_string(n);
        other = membership::slot_of_key(key) == membership::slot_of_key(t.key) ? key : "";
    }
    const auto full = t.claim("a", other, "x");
    t.deliver_copies();
    CHECK(t.verdict(full) == claim_verdict::full);
    t.now += 902000;
    const auto room = t.claim("a", other, "x");
    t.deliver_copies();
    CHECK(t.verdict(room) == claim_verdict::granted);
}

TEST(claim_table, a_key_is_remembered_for_its_time_also_when_handed_on)
{
    const auto time = key_lifetime(claim_settings{}).count();
    for (const int late : {-1, 0})
    {
        three_members t;
        t.claim_and_copy("x");
        t.now += 600000;
        t.adopt_next({"b", "c"});
        t.deliver_pulls({"a"});
        t.now += static_cast<int>(time) - 600000 + late;
        const auto ticket = t.claim(t.first_holder(), t.key, "y");
        t.deliver_copies();
        const auto expected = late < 0 ? claim_verdict::known : claim_verdict::granted;
        CHECK(t.verdict(ticket) == expected);
    }
}

TEST(claim_table, a_claim_whose_executor_left_is_unknown_and_can_still_be_answered)
{
    three_members t;
    t.claim_and_copy("c");
    t.adopt_next({"a", "b"});
    t.deliver_pulls();
    const auto holder = t.first_holder();
    const auto reported = t.claim(holder, t.key, "y");
    CHECK(t.replies[reported].entry.state == claim_state::unknown);
    t.finish(holder, t.key, "c", claim_state::done);
    t.deliver_copies();
    CHECK(t.replies[t.claim(holder, t.key, "y")].entry.state == claim_state::done);
}

/// A single member has no second holder: it grants alone while it is fresh. When it crashes, its
/// successor finds no holder and waits for the end of the quarantine.
TEST(claim_table, a_single_member)
{
    table_set t;
    auto roster = roster_of({"a"});
    t.adopt("a", roster);
    CHECK(t.verdict(t.claim("a", "k", "a", 0, false)) == claim_verdict::not_ready);
    CHECK(t.verdict(t.claim("a", "k", "a")) == claim_verdict::granted);
    roster = next_roster(roster, {"d"});
    t.adopt("d", roster);
    t.deliver_pulls({"a"});
    CHECK(t.verdict(t.claim("d", "k", "d")) == claim_verdict::quarantined);
}
