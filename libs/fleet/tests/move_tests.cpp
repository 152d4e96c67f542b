// Moves of hosts between two documents, cut off at any step.
#include "fleet/budget.hpp"
#include "fleet/ownership.hpp"
#include "fleet/pool_rules.hpp"
#include "fleet_sim/world.hpp"
#include "sample.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::fleet;
using model::host_state;

namespace
{

/// Two pools, two members, and a move of h1 from a to b that was wished and not begun.
struct move_scene
{
    fleet_sim::world w;

    move_scene()
    {
        w.config = sample::config();
        w.platform.now_ms = 1'000'000;
        w.members.resize(2);
        w.members[0].id = "e1";
        w.members[1].id = "e2";
        fleet_sim::watch_promises(w);
        w.writer_config = &w.config;
        fleet_sim::put_pool(
            w.kv, sample::pool("a", {sample::host("h1"), sample::host("h2", "z2")}), 0);
        fleet_sim::put_pool(w.kv, sample::pool("b", {sample::host("h3")}), 0);
        for (const auto* id : {"h1", "h2", "h3"})
        {
            fleet_sim::add_host(w.platform, id, "z1", "r1");
        }
        fleet_sim::set_roster(w, {"e1", "e2"});
        refresh_all();
        fleet_sim::wish(w, w.members[0], "a", wish_move{"h1", "b", "c1"});
    }

    void refresh_all()
    {
        for (auto& it : w.members)
        {
            fleet_sim::refresh(w, it);
        }
    }

    /// Lets each member decide, and carries out one step of one of them.
    bool one_step()
    {
        refresh_all();
        for (auto& it : w.members)
        {
            it.pending.clear();
            fleet_sim::decide(w, it);
            while (!it.pending.empty())
            {
                const auto before = w.kv.revision;
                fleet_sim::perform(w, it, 1);
                if (w.kv.revision != before)
                {
                    return true;
                }
            }
        }
        return false;
    }
};

} // namespace

TEST_GROUP(moves){};

TEST(moves, the_owner_is_the_same_for_readers_of_old_and_new_documents)
{
    // A reader gets the two documents at different moments of a move. Whatever old and new
    // revisions it combines, it sees one owner, and never one that had given the host away in the
    // newer of the two before the older was written.
    move_scene scene;
    std::vector<pool_view> olds_a{*fleet_sim::find_pool(scene.w.kv, "a")};
    std::vector<pool_view> olds_b{*fleet_sim::find_pool(scene.w.kv, "b")};
    while (scene.one_step())
    {
        olds_a.push_back(*fleet_sim::find_pool(scene.w.kv, "a"));
        olds_b.push_back(*fleet_sim::find_pool(scene.w.kv, "b"));
    }
    CHECK(olds_a.size() >= 4); // draining, released, adopted, forgotten
    for (std::size_t i = 0; i < olds_a.size(); ++i)
    {
        for (std::size_t j = 0; j < olds_b.size(); ++j)
        {
            const auto owner = owner_of("h1", {olds_a[i], olds_b[j]});
            const bool released = owner_of("h1", {olds_a[i]}).pool != "a";
            const bool adopted = model::find_host(olds_b[j].document, "h1") != nullptr;
            const bool forgotten = released && owner_of("h1", {olds_a[i]}).ownership == 0;
            const char* right = released || adopted ? "b" : "a";
            // a has forgotten and b's view is from before it adopted: told from no document alone.
            STRCMP_EQUAL(forgotten && !adopted ? "" : right, owner.pool.c_str());
        }
    }
}

TEST(moves, cut_off_after_any_step_goes_on_under_new_deciders)
{
    // The member that carries the move dies after each write in turn, its answer lost; another one
    // takes over with nothing but the documents. The host ends in its new pool, once.
    for (int cut = 0; cut < 6; ++cut)
    {
        move_scene scene;
        auto& w = scene.w;
        for (int i = 0; i < cut; ++i)
        {
            scene.one_step();
        }
        w.kv.answers_to_lose = 1;
        scene.one_step();
        w.members.clear();
        w.members.resize(1);
        w.members[0].id = "e3";
        fleet_sim::set_roster(w, {"e3"});
        for (int i = 0; i < 8; ++i)
        {
            fleet_sim::advance(w.platform, 1000);
            fleet_sim::run_round(w, w.members[0]);
        }
        LONGS_EQUAL(0, w.violations.size());
        const auto* a = fleet_sim::find_pool(w.kv, "a");
        const auto* b = fleet_sim::find_pool(w.kv, "b");
        CHECK(model::find_host(a->document, "h1") == nullptr);
        CHECK(a->document.released.empty());
        CHECK(model::find_host(b->document, "h1")->state == host_state::serving);
        LONGS_EQUAL(2, model::find_host(b->document, "h1")->ownership);
    }
}

TEST(moves, an_old_entry_is_not_adopted_a_second_time)
{
    // b adopted h1, and it has moved on to c since. A decider of b wakes up with a view of a from
    // before a forgot its entry, and with b's newest document: it must not take h1 in again.
    const auto config = sample::config();
    model::released_host entry{sample::host("h1"), "b"};
    entry.host.ownership = 2;
    auto b = sample::pool("b", {});
    const auto stale = apply(b, adopt_host{entry, "a", false, false}, {config, sample::now});
    CHECK(!core::is_ok(stale));
    CHECK(b.hosts.empty());
    // Its own document may be the old one: it still has the host that has since come back.
    auto old = sample::pool("b", {sample::host("h1")});
    const auto refused = apply(old, adopt_host{entry, "a", false, true}, {config, sample::now});
    CHECK(core::failure(refused).code == core::error_code::conflict);
    const std::vector<pool_view> documents{{sample::pool("a", {}), 7}};
    CHECK(!is_current({documents, 9}, 10));
    CHECK(is_settled("h1", "b", 10, {documents, 10}));
    CHECK(!is_settled("h1", "b", 10, {documents, 9}));
}

TEST(moves, two_operators_and_a_wave_want_the_same_host)
{
    // Each of the three writes from the same revision, in every order. One wins; the others get a
    // conflict that names the winner, and the host is on one way only.
    struct contender
    {
        const char* name;
        pool_event event;
    };
    const contender all[] = {{"command c1", wish_move{"h1", "b", "c1"}},
        {"command c2", wish_drain{"h1", "c2"}},
        {"wave w1", start_drain{"h1", "w1", "test"}}};
    const auto config = sample::config();
    for (const auto& first : all)
    {
        for (const auto& second : all)
        {
            auto d = sample::pool("a", {sample::host("h1")});
            const rule_context c{config, sample::now};
            CHECK(core::is_ok(apply(d, first.event, c)));
            const auto before = d;
            const auto out = apply(d, second.event, c);
            CHECK(d == before);
            if (&first != &second)
            {
                STRCMP_CONTAINS(first.name, core::failure(out).message.c_str());
            }
        }
    }
}

TEST(moves, a_host_added_to_two_pools_at_once_ends_in_one)
{
    // Two operators add h9 to two pools at the same moment, each seeing no other document that
    // names it. In whatever order the deciders run and read, exactly one pool has it at the end,
    // and never both.
    for (unsigned order = 0; order < 64; ++order)
    {
        move_scene scene;
        auto& w = scene.w;
        fleet_sim::add_host(w.platform, "h9", "z1", "r1");
        fleet_sim::wish(w, w.members[0], "a", wish_add{sample::host("h9"), "c8"});
        fleet_sim::wish(w, w.members[1], "b", wish_add{sample::host("h9"), "c9"});
        for (unsigned i = 0; i < 6; ++i)
        {
            auto& m = w.members[(order >> i) & 1];
            i % 2 == 0 ? fleet_sim::decide(w, m) : fleet_sim::refresh(w, m);
            fleet_sim::perform(w, m, 1 + (order >> (5 - i)) % 3);
        }
        for (int i = 0; i < 12; ++i)
        {
            fleet_sim::run_round(w, w.members[static_cast<std::size_t>(i % 2)]);
        }
        LONGS_EQUAL(0, w.violations.size());
        CHECK(fleet_sim::find_host(w.kv, "h9") != nullptr);
        int named = 0;
        for (const auto& it : w.kv.pools)
        {
            named += model::find_host(it.document, "h9") != nullptr ? 1 : 0;
        }
        LONGS_EQUAL(1, named);
    }
}
