#include "fleet/policies.hpp"
#include "fleet/wave_decider.hpp"
#include "fleet/wave_rules.hpp"
#include "sample.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::fleet;
using model::host_state;
using model::wave_phase;

namespace
{

/// One wave over pools a and b of four hosts each, in two zones, and two spare hosts.
struct wave_scene
{
    model::configuration config = sample::config(2, 1);
    std::vector<pool_view> pools;
    wave_view own;
    std::vector<wave_view> waves;

    explicit wave_scene(std::string policy)
    {
        for (const auto* name : {"a", "b"})
        {
            model::pool_document d{name, {}, {}, {}};
            for (int i = 0; i < 4; ++i)
            {
                d.hosts.push_back(sample::host(name + std::to_string(i), i < 2 ? "z1" : "z2"));
            }
            pools.push_back({d, 3});
        }
        model::pool_document spare{"s", {sample::host("s0")}, {}, {}};
        spare.hosts[0].state = host_state::held;
        pools.push_back({spare, 3});
        const auto out =
            start_wave({"w1", {}, std::move(policy), "c1"}, config, pools, {}, sample::now);
        own = {core::value(out).next, 4};
    }

    model::host_record& host(const std::string& id)
    {
        for (auto& it : pools)
        {
            if (auto* h = model::find_host(it.document, id))
            {
                return *h;
            }
        }
        FAIL(id.c_str());
        return pools[0].document.hosts[0];
    }

    /// Decides and takes the write as written. \return the hosts admitted by it.
    std::string decide()
    {
        const auto before = own.document.admitted;
        waves = {own};
        const auto out = decide_wave({own, config, pools, true, waves, sample::now});
        if (!out)
        {
            return "";
        }
        own = {out->document, own.revision + 1};
        std::string text;
        for (const auto& it : own.document.admitted)
        {
            const bool fresh = std::find(before.begin(), before.end(), it) == before.end();
            text += fresh ? (text.empty() ? "" : " ") + it : "";
        }
        return text;
    }

    /// All admitted hosts come back maintained, but \p failing ones fail.
    void finish_turns(const std::vector<std::string>& failing = {})
    {
        for (const auto& id : own.document.admitted)
        {
            auto& h = host(id);
            const bool fails = std::find(failing.begin(), failing.end(), id) != failing.end();
            const bool through = h.maintained == "w1" || h.state == host_state::failed;
            if (!through || fails)
            {
                h.state = fails ? host_state::failed : host_state::serving;
                h.wave = fails ? "w1" : "";
                h.maintained = fails ? h.maintained : "w1";
            }
        }
    }
};

} // namespace

TEST_GROUP(waves){};

TEST(waves, each_policy_admits_in_its_own_order)
{
    struct row
    {
        const char* policy;
        std::vector<std::string> batches;
    };
    // Spare hosts come first: they are empty. The budget is two a pool, one a zone of it.
    const row rows[] = {
        {"one_by_one", {"s0", "a0", "a1", "b0", "b1", "a2", "a3", "b2", "b3"}},
        {"least_buffer", {"s0", "a0", "a1", "a2", "a3", "b0", "b1", "b2", "b3"}},
        {"fastest", {"s0", "a0 a2 b0 b2", "a1 a3 b1 b3"}},
    };
    for (const auto& it : rows)
    {
        wave_scene scene(it.policy);
        for (const auto& batch : it.batches)
        {
            STRCMP_EQUAL(batch.c_str(), scene.decide().c_str());
            STRCMP_EQUAL("", scene.decide().c_str());
            scene.finish_turns();
        }
        scene.decide();
        CHECK(scene.own.document.phase == wave_phase::done);
        STRCMP_EQUAL("9 maintained, 0 failed, 0 gone", scene.own.document.why.weighed.c_str());
    }
}

TEST(waves, batches_grow_from_the_canary)
{
    struct row
    {
        int canary;
        double growth;
        int largest;
        int done;
        int batch;
    };
    const row rows[] = {{1, 2.0, 0, 0, 1},
        {1, 2.0, 0, 1, 2},
        {1, 2.0, 0, 2, 2},
        {1, 2.0, 0, 3, 4},
        {1, 2.0, 3, 7, 3},
        {2, 1.0, 0, 9, 2},
        {3, 1.5, 0, 3, 5},
        {1, 1e9, 0, 1, 100000}};
    for (const auto& it : rows)
    {
        auto p = sample::policy(model::policy_kind::least_buffer);
        p.canary = it.canary;
        p.growth = it.growth;
        p.largest_batch = it.largest;
        LONGS_EQUAL(it.batch, batch_after(p, it.done));
    }
}

TEST(waves, a_canary_that_does_not_come_back_halts_and_its_return_resumes)
{
    wave_scene scene("fastest");
    scene.decide();
    scene.finish_turns({"s0"});
    STRCMP_EQUAL("", scene.decide().c_str());
    CHECK(scene.own.document.phase == wave_phase::halted);
    STRCMP_EQUAL("not back: s0", scene.own.document.why.weighed.c_str());
    STRCMP_EQUAL("", scene.decide().c_str());
    scene.host("s0").state = host_state::held;
    scene.host("s0").maintained = "w1";
    scene.host("s0").wave.clear();
    STRCMP_EQUAL("a0 a2 b0 b2", scene.decide().c_str());
    CHECK(scene.own.document.phase == wave_phase::growing);
}

TEST(waves, correlated_failures_halt_until_operators_resume_over_them)
{
    // What the wave installs breaks hosts: two of a batch don't come back, a third dies after it
    // had. Operators resume over the first two; the third one counts anew.
    wave_scene scene("fastest");
    scene.decide();
    scene.finish_turns();
    scene.decide();
    scene.finish_turns({"a0", "b0"});
    STRCMP_EQUAL("", scene.decide().c_str());
    CHECK(scene.own.document.phase == wave_phase::halted);
    const auto out = resume_wave(scene.own.document, "c2", scene.pools, sample::now);
    scene.own.document = core::value(out).next;
    LONGS_EQUAL(2, scene.own.document.failures_excused);
    CHECK(!core::value(resume_wave(scene.own.document, "c2", scene.pools, sample::now)).changed);
    // The zones of the two are used up by them; the other zones go on.
    STRCMP_EQUAL("a3 b3", scene.decide().c_str());
    scene.host("a2").state = host_state::failed;
    scene.host("b2").state = host_state::failed;
    scene.decide();
    CHECK(scene.own.document.phase == wave_phase::halted);
    STRCMP_EQUAL("hosts_not_back", scene.own.document.why.rule.c_str());
    scene.host("a2").state = host_state::serving;
    scene.host("a0").state = host_state::serving;
    scene.decide();
    CHECK(scene.own.document.phase == wave_phase::growing);
    LONGS_EQUAL(2, scene.own.document.failures_excused);
}

TEST(waves, what_waits_without_room_is_withdrawn_and_does_not_hold_up_the_rest)
{
    wave_scene scene("one_by_one");
    scene.decide();
    scene.finish_turns();
    STRCMP_EQUAL("a0", scene.decide().c_str());
    // Before pool a starts the drain, a host of the same zone fails by itself.
    scene.host("a1").state = host_state::failed;
    STRCMP_EQUAL("b0", scene.decide().c_str());
    LONGS_EQUAL(2, scene.own.document.admitted.size());
}

TEST(waves, a_wave_without_room_says_so_and_goes_on_when_there_is_some)
{
    wave_scene scene("fastest");
    scene.decide();
    scene.finish_turns();
    for (const auto* id : {"a0", "a2", "b0", "b2"})
    {
        scene.host(id).state = host_state::failed;
    }
    STRCMP_EQUAL("", scene.decide().c_str());
    CHECK(scene.own.document.phase == wave_phase::halted);
    STRCMP_EQUAL("budget_blocked", scene.own.document.why.rule.c_str());
    STRCMP_CONTAINS("a0 (failed, zone z1)", scene.own.document.why.weighed.c_str());
    scene.host("a0").state = host_state::serving;
    STRCMP_EQUAL("a0", scene.decide().c_str());
    CHECK(scene.own.document.phase == wave_phase::growing);
}

TEST(waves, a_wave_says_which_hosts_it_waits_for)
{
    wave_scene scene("fastest");
    scene.decide();
    for (auto& view : scene.pools)
    {
        for (auto& it : view.document.hosts)
        {
            it.maintained = it.id == "a0" ? "" : "w1";
        }
    }
    scene.host("a0").lent_by = "s";
    scene.decide();
    STRCMP_EQUAL("waits_for_others", scene.own.document.why.rule.c_str());
    STRCMP_CONTAINS("a0", scene.own.document.why.weighed.c_str());
    const auto revision = scene.own.revision;
    scene.decide();
    LONGS_EQUAL(revision, scene.own.revision);
    scene.host("a0").lent_by.clear();
    STRCMP_EQUAL("a0", scene.decide().c_str());
}

TEST(waves, hosts_that_are_gone_or_stay_failed_do_not_hold_the_end_up)
{
    wave_scene scene("fastest");
    scene.config.pools[0].budget = {2, 2};
    scene.pools[1].document.hosts.clear();
    scene.host("a3").state = host_state::failed;
    for (int i = 0; i < 9 && scene.own.document.phase != wave_phase::done; ++i)
    {
        scene.decide();
        scene.finish_turns();
    }
    STRCMP_EQUAL("4 maintained, 1 failed, 4 gone", scene.own.document.why.weighed.c_str());
    LONGS_EQUAL(4, summarize(scene.own.document, scene.pools).done);
}

TEST(waves, impossible_waves_are_refused_with_every_reason)
{
    struct row
    {
        int absent;
        int per_zone;
        bool failed; ///< a0 and a2, one in each zone
        wave_wish wish;
        const char* reason;
    };
    const row rows[] = {
        {0, 1, false, {"w2", {}, "", "c"}, "the budget of pool a never allows an absence"},
        {1, 0, false, {"w2", {}, "", "c"}, "the budget of pool b never allows an absence"},
        {2, 1, true, {"w2", {{"a"}, {}, {}, {}}, "", "c"}, "no room in zone z1 until failed hosts"},
        {2, 1, false, {"w2", {{"c"}, {}, {}, {}}, "", "c"}, "no host is selected"},
        {2, 1, false, {"w2", {{}, {}, {}, {"a0", "x"}}, "", "c"}, "host x is in no pool"},
        {2, 1, false, {"w2", {}, "quickest", "c"}, "policy quickest is not configured"},
        {2, 1, false, {"w2", {{}, {"z1"}, {}, {}}, "", "c"}, "wave w1 has not ended"},
        {2, 1, false, {"w1", {}, "", "c"}, "wave w1 exists already"},
    };
    for (const auto& it : rows)
    {
        wave_scene scene("fastest");
        for (auto& pool : scene.config.pools)
        {
            pool.budget = {it.absent, it.per_zone};
        }
        for (const auto* id : {"a0", "a2"})
        {
            scene.host(id).state = it.failed ? host_state::failed : host_state::serving;
        }
        const bool overlaps = std::string{it.reason}.find("wave w1") == 0;
        const auto waves = overlaps ? std::vector<wave_view>{scene.own} : std::vector<wave_view>{};
        const auto out = start_wave(it.wish, scene.config, scene.pools, waves, sample::now);
        STRCMP_CONTAINS(it.reason, core::failure(out).message.c_str());
    }
}

TEST(waves, commands_have_their_effect_once_and_conflicts_are_told)
{
    wave_scene scene("fastest");
    const auto again = start_wave(
        {"w1", {}, "fastest", "c1"}, scene.config, scene.pools, {scene.own}, sample::now);
    CHECK(!core::value(again).changed);
    const auto not_halted = resume_wave(scene.own.document, "c5", scene.pools, sample::now);
    STRCMP_CONTAINS("canary, not halted", core::failure(not_halted).message.c_str());
    const auto cancelled = core::value(cancel_wave(scene.own.document, "c6", sample::now)).next;
    CHECK(cancelled.phase == wave_phase::cancelled);
    CHECK(!core::value(cancel_wave(cancelled, "c6", sample::now)).changed);
    scene.own.document = cancelled;
    STRCMP_EQUAL("", scene.decide().c_str());
}

TEST(waves, only_the_first_of_two_waves_takes_a_host)
{
    // Two operators start overlapping waves at the same moment, neither seeing the other. Were each
    // to maintain the host again after the other, it would never end.
    wave_scene scene("fastest");
    auto second = scene.own;
    second.document.id = "w0";
    second.document.started_ms += 1;
    const std::vector<wave_view> both{second, scene.own};
    const auto h = scene.host("a0");
    STRCMP_EQUAL("w1", working_wave(h, both)->id.c_str());
    auto maintained = h;
    maintained.maintained = "w1";
    CHECK(working_wave(maintained, both) == nullptr);
    const wave_inputs in{second, scene.config, scene.pools, true, both, sample::now};
    const auto out = decide_wave(in);
    CHECK(out->document.admitted.empty());
    STRCMP_EQUAL("waits_for_others", out->document.why.rule.c_str());
    second = {out->document, out->expected + 1};
    CHECK(!decide_wave(in));
}

TEST(waves, upcoming_hosts_are_those_not_maintained_yet)
{
    wave_scene scene("fastest");
    scene.decide();
    scene.finish_turns();
    const auto left = upcoming_hosts(scene.pools, {scene.own});
    LONGS_EQUAL(8, left.size());
    CHECK(std::find(left.begin(), left.end(), "s0") == left.end());
}
