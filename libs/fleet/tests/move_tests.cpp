// Moves of hosts between two pool documents, interrupted at any step.
#include "fleet/budget.hpp"
#include "fleet/ownership.hpp"
#include "fleet/pool_rules.hpp"
#include "fleet_sim/simulation.hpp"
#include "sample.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::fleet;
using model::host_state;

namespace
{

/// Two pools, two members, and a move of h1 from pool a to pool b that was requested and has not
/// started.
struct move_fixture
{
    fleet_sim::simulation sim;

    move_fixture()
    {
        sim.config = sample::config();
        sim.platform.now_ms = 1'000'000;
        sim.members.resize(2);
        sim.members[0].id = "e1";
        sim.members[1].id = "e2";
        fleet_sim::install_promise_checks(sim);
        sim.writer_config = &sim.config;
        fleet_sim::put_pool(
            sim.kv, sample::pool("a", {sample::host("h1"), sample::host("h2", "z2")}), 0);
        fleet_sim::put_pool(sim.kv, sample::pool("b", {sample::host("h3")}), 0);
        for (const auto* id : {"h1", "h2", "h3"})
        {
            fleet_sim::add_host(sim.platform, id, "z1", "r1");
        }
        fleet_sim::set_roster(sim, {"e1", "e2"});
        refresh_all();
        fleet_sim::request_change(sim, sim.members[0], "a", move_request{"h1", "b", "c1"});
    }

    void refresh_all()
    {
        for (auto& it : sim.members)
        {
            fleet_sim::refresh(sim, it);
        }
    }

    /// Lets the members decide, and carries out actions until one of them changes the store.
    /// \return whether one did.
    bool one_step()
    {
        refresh_all();
        for (auto& it : sim.members)
        {
            it.pending.clear();
            fleet_sim::decide(sim, it);
            while (!it.pending.empty())
            {
                const auto before = sim.kv.revision;
                fleet_sim::execute_pending(sim, it, 1);
                if (sim.kv.revision != before)
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
    // A reader may read the two documents at different moments of a move. Whatever old and new
    // revisions it combines, it must find exactly one owner, and never a pool that had released the
    // host, according to the newer document, before the older one was written.
    move_fixture fixture;
    std::vector<pool_view> views_a{*fleet_sim::find_pool(fixture.sim.kv, "a")};
    std::vector<pool_view> views_b{*fleet_sim::find_pool(fixture.sim.kv, "b")};
    while (fixture.one_step())
    {
        views_a.push_back(*fleet_sim::find_pool(fixture.sim.kv, "a"));
        views_b.push_back(*fleet_sim::find_pool(fixture.sim.kv, "b"));
    }
    CHECK(views_a.size() >= 4); // draining, released, adopted, entry removed
    for (std::size_t i = 0; i < views_a.size(); ++i)
    {
        for (std::size_t j = 0; j < views_b.size(); ++j)
        {
            const auto owner = owner_of("h1", {views_a[i], views_b[j]});
            const bool released = owner_of("h1", {views_a[i]}).pool != "a";
            const bool adopted = model::find_host(views_b[j].document, "h1") != nullptr;
            const bool forgotten = released && owner_of("h1", {views_a[i]}).ownership == 0;
            const char* right = released || adopted ? "b" : "a";
            // Pool a has removed its released entry and the view of b is from before the adoption,
            // so no document names the host.
            STRCMP_EQUAL(forgotten && !adopted ? "" : right, owner.pool.c_str());
        }
    }
}

TEST(moves, a_move_interrupted_after_any_step_is_completed_by_another_member)
{
    // The member that carries out the move dies after each write in turn, and the answer to the
    // write is lost. Another member takes over with nothing but the documents. The host must end up
    // in its new pool, and in no other.
    for (int cut = 0; cut < 6; ++cut)
    {
        move_fixture fixture;
        auto& sim = fixture.sim;
        for (int i = 0; i < cut; ++i)
        {
            fixture.one_step();
        }
        sim.kv.answers_to_lose = 1;
        fixture.one_step();
        sim.members.clear();
        sim.members.resize(1);
        sim.members[0].id = "e3";
        fleet_sim::set_roster(sim, {"e3"});
        for (int i = 0; i < 8; ++i)
        {
            fleet_sim::advance(sim.platform, 1000);
            fleet_sim::run_round(sim, sim.members[0]);
        }
        LONGS_EQUAL(0, sim.violations.size());
        const auto* a = fleet_sim::find_pool(sim.kv, "a");
        const auto* b = fleet_sim::find_pool(sim.kv, "b");
        CHECK(model::find_host(a->document, "h1") == nullptr);
        CHECK(a->document.released.empty());
        CHECK(model::find_host(b->document, "h1")->state == host_state::serving);
        LONGS_EQUAL(2, model::find_host(b->document, "h1")->ownership);
    }
}

TEST(moves, an_old_entry_is_not_adopted_a_second_time)
{
    // Pool b adopted h1, which has moved on to pool c since. A member that was paused decides for b
    // with b's newest document and with a view of a from before a removed its released entry. It
    // must not adopt h1 again.
    const auto config = sample::config();
    model::released_host entry{sample::host("h1"), "b"};
    entry.host.ownership = 2;
    auto b = sample::pool("b", {});
    const auto stale = apply(b, adopt_host{entry, "a", false, false}, {config, sample::now});
    CHECK(!core::is_ok(stale));
    CHECK(b.hosts.empty());
    // The member's view of b may be the outdated one: it still contains the host, which has left b
    // and come back since.
    auto old = sample::pool("b", {sample::host("h1")});
    const auto refused = apply(old, adopt_host{entry, "a", false, true}, {config, sample::now});
    CHECK(core::failure(refused).code == core::error_code::conflict);
    const std::vector<pool_view> documents{{sample::pool("a", {}), 7}};
    CHECK(!is_current({documents, 9}, 10));
    CHECK(is_confirmed_exclusive("h1", "b", 10, {documents, 10}));
    CHECK(!is_confirmed_exclusive("h1", "b", 10, {documents, 9}));
}

TEST(moves, two_operators_and_a_wave_want_the_same_host)
{
    // Each of the three events is applied to the same document, in every order of two. The first
    // one is accepted; the second one gets a conflict that names the first, and the document stays
    // unchanged.
    struct contender
    {
        const char* name;
        pool_event event;
    };
    const contender all[] = {{"command c1", move_request{"h1", "b", "c1"}},
        {"command c2", drain_request{"h1", "c2"}},
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
    // Two operators add h9 to two pools at the same moment, while no other document names it. In
    // whatever order the members read and decide, exactly one pool must have the host at the end,
    // and never both.
    for (unsigned order = 0; order < 64; ++order)
    {
        move_fixture fixture;
        auto& sim = fixture.sim;
        fleet_sim::add_host(sim.platform, "h9", "z1", "r1");
        fleet_sim::request_change(sim, sim.members[0], "a", add_request{sample::host("h9"), "c8"});
        fleet_sim::request_change(sim, sim.members[1], "b", add_request{sample::host("h9"), "c9"});
        for (unsigned i = 0; i < 6; ++i)
        {
            auto& m = sim.members[(order >> i) & 1];
            i % 2 == 0 ? fleet_sim::decide(sim, m) : fleet_sim::refresh(sim, m);
            fleet_sim::execute_pending(sim, m, 1 + (order >> (5 - i)) % 3);
        }
        for (int i = 0; i < 12; ++i)
        {
            fleet_sim::run_round(sim, sim.members[static_cast<std::size_t>(i % 2)]);
        }
        LONGS_EQUAL(0, sim.violations.size());
        CHECK(fleet_sim::find_host(sim.kv, "h9") != nullptr);
        int named = 0;
        for (const auto& it : sim.kv.pools)
        {
            named += model::find_host(it.document, "h9") != nullptr ? 1 : 0;
        }
        LONGS_EQUAL(1, named);
    }
}
