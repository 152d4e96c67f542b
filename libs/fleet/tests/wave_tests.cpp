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

/// One wave over pools a and b of four hosts each, in two zones, and a spare pool of one host.
struct wave_fixture
{
    model::configuration config = sample::config(2, 1);
    std::vector<pool_view> pools;
    wave_view own;
    std::vector<wave_view> waves;

    explicit wave_fixture(std::string policy)
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

    /// Decides, and applies the write as if it had succeeded. \return the newly admitted hosts.
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

    /// Marks all admitted hosts as maintained, except that the hosts in \p failing fail.
    void complete_maintenance(const std::vector<std::string>& failing = {})
    {
        for (const auto& id : own.document.admitted)
        {
            auto& h = host(id);
            const bool fails = std::find(failing.begin(), failing.end(), id) != failing.end();
            const bool through = h.last_wave == "w1" || h.state == host_state::failed;
            if (!through || fails)
            {
                h.state = fails ? host_state::failed : host_state::serving;
                h.wave = fails ? "w1" : "";
                h.last_wave = fails ? h.last_wave : "w1";
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
    // Spare hosts come first, because they are empty. The budget is two hosts per pool and one host
    // per zone of a pool.
    const row rows[] = {
        {"one_by_one", {"s0", "a0", "a1", "b0", "b1", "a2", "a3", "b2", "b3"}},
        {"least_buffer", {"s0", "a0", "a1", "a2", "a3", "b0", "b1", "b2", "b3"}},
        {"fastest", {"s0", "a0 a2 b0 b2", "a1 a3 b1 b3"}},
    };
    for (const auto& it : rows)
    {
        wave_fixture fixture(it.policy);
        for (const auto& batch : it.batches)
        {
            STRCMP_EQUAL(batch.c_str(), fixture.decide().c_str());
            STRCMP_EQUAL("", fixture.decide().c_str());
            fixture.complete_maintenance();
        }
        fixture.decide();
        CHECK(fixture.own.document.phase == wave_phase::done);
        STRCMP_EQUAL("9 maintained, 0 failed, 0 gone", fixture.own.document.why.weighed.c_str());
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
    wave_fixture fixture("fastest");
    fixture.decide();
    fixture.complete_maintenance({"s0"});
    STRCMP_EQUAL("", fixture.decide().c_str());
    CHECK(fixture.own.document.phase == wave_phase::halted);
    STRCMP_EQUAL("not back: s0", fixture.own.document.why.weighed.c_str());
    STRCMP_EQUAL("", fixture.decide().c_str());
    fixture.host("s0").state = host_state::held;
    fixture.host("s0").last_wave = "w1";
    fixture.host("s0").wave.clear();
    STRCMP_EQUAL("a0 a2 b0 b2", fixture.decide().c_str());
    CHECK(fixture.own.document.phase == wave_phase::growing);
}

TEST(waves, correlated_failures_halt_until_operators_resume_over_them)
{
    // The wave installs something that breaks hosts: two hosts of a batch don't come back, and
    // other hosts fail after they came back. Operators resume the wave over the first two failures;
    // later failures count again.
    wave_fixture fixture("fastest");
    fixture.decide();
    fixture.complete_maintenance();
    fixture.decide();
    fixture.complete_maintenance({"a0", "b0"});
    STRCMP_EQUAL("", fixture.decide().c_str());
    CHECK(fixture.own.document.phase == wave_phase::halted);
    const auto out = resume_wave(fixture.own.document, "c2", fixture.pools, sample::now);
    fixture.own.document = core::value(out).next;
    LONGS_EQUAL(2, fixture.own.document.failures_excused);
    CHECK(
        !core::value(resume_wave(fixture.own.document, "c2", fixture.pools, sample::now)).changed);
    // The two failures use up the budgets of their zones; the wave continues in the other zones.
    STRCMP_EQUAL("a3 b3", fixture.decide().c_str());
    fixture.host("a2").state = host_state::failed;
    fixture.host("b2").state = host_state::failed;
    fixture.decide();
    CHECK(fixture.own.document.phase == wave_phase::halted);
    STRCMP_EQUAL("hosts_not_back", fixture.own.document.why.rule.c_str());
    fixture.host("a2").state = host_state::serving;
    fixture.host("a0").state = host_state::serving;
    fixture.decide();
    CHECK(fixture.own.document.phase == wave_phase::growing);
    LONGS_EQUAL(2, fixture.own.document.failures_excused);
}

TEST(waves, an_admitted_host_without_headroom_is_withdrawn_and_does_not_block_others)
{
    wave_fixture fixture("one_by_one");
    fixture.decide();
    fixture.complete_maintenance();
    STRCMP_EQUAL("a0", fixture.decide().c_str());
    // Before pool a starts the drain, another host of the same zone fails.
    fixture.host("a1").state = host_state::failed;
    STRCMP_EQUAL("b0", fixture.decide().c_str());
    LONGS_EQUAL(2, fixture.own.document.admitted.size());
}

TEST(waves, a_wave_without_headroom_halts_and_continues_when_there_is_some)
{
    wave_fixture fixture("fastest");
    fixture.decide();
    fixture.complete_maintenance();
    for (const auto* id : {"a0", "a2", "b0", "b2"})
    {
        fixture.host(id).state = host_state::failed;
    }
    STRCMP_EQUAL("", fixture.decide().c_str());
    CHECK(fixture.own.document.phase == wave_phase::halted);
    STRCMP_EQUAL("budget_blocked", fixture.own.document.why.rule.c_str());
    STRCMP_CONTAINS("a0 (failed, zone z1)", fixture.own.document.why.weighed.c_str());
    fixture.host("a0").state = host_state::serving;
    STRCMP_EQUAL("a0", fixture.decide().c_str());
    CHECK(fixture.own.document.phase == wave_phase::growing);
}

TEST(waves, a_wave_records_which_hosts_it_waits_for)
{
    wave_fixture fixture("fastest");
    fixture.decide();
    for (auto& view : fixture.pools)
    {
        for (auto& it : view.document.hosts)
        {
            it.last_wave = it.id == "a0" ? "" : "w1";
        }
    }
    fixture.host("a0").lent_by = "s";
    fixture.decide();
    STRCMP_EQUAL("waits_for_others", fixture.own.document.why.rule.c_str());
    STRCMP_CONTAINS("a0", fixture.own.document.why.weighed.c_str());
    const auto revision = fixture.own.revision;
    fixture.decide();
    LONGS_EQUAL(revision, fixture.own.revision);
    fixture.host("a0").lent_by.clear();
    STRCMP_EQUAL("a0", fixture.decide().c_str());
}

TEST(waves, hosts_that_are_gone_or_stay_failed_do_not_delay_the_end)
{
    wave_fixture fixture("fastest");
    fixture.config.pools[0].budget = {2, 2};
    fixture.pools[1].document.hosts.clear();
    fixture.host("a3").state = host_state::failed;
    for (int i = 0; i < 9 && fixture.own.document.phase != wave_phase::done; ++i)
    {
        fixture.decide();
        fixture.complete_maintenance();
    }
    STRCMP_EQUAL("4 maintained, 1 failed, 4 gone", fixture.own.document.why.weighed.c_str());
    LONGS_EQUAL(4, summarize(fixture.own.document, fixture.pools).done);
}

TEST(waves, impossible_waves_are_refused_with_every_reason)
{
    struct row
    {
        int absent;
        int per_zone;
        bool failed; ///< a0 and a2, one in each zone
        wave_start_request request;
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
        wave_fixture fixture("fastest");
        for (auto& pool : fixture.config.pools)
        {
            pool.budget = {it.absent, it.per_zone};
        }
        for (const auto* id : {"a0", "a2"})
        {
            fixture.host(id).state = it.failed ? host_state::failed : host_state::serving;
        }
        const bool overlaps = std::string{it.reason}.find("wave w1") == 0;
        const auto waves =
            overlaps ? std::vector<wave_view>{fixture.own} : std::vector<wave_view>{};
        const auto out = start_wave(it.request, fixture.config, fixture.pools, waves, sample::now);
        STRCMP_CONTAINS(it.reason, core::failure(out).message.c_str());
    }
}

TEST(waves, commands_take_effect_once_and_conflicts_are_refused)
{
    wave_fixture fixture("fastest");
    const auto again = start_wave(
        {"w1", {}, "fastest", "c1"}, fixture.config, fixture.pools, {fixture.own}, sample::now);
    CHECK(!core::value(again).changed);
    const auto not_halted = resume_wave(fixture.own.document, "c5", fixture.pools, sample::now);
    STRCMP_CONTAINS("canary, not halted", core::failure(not_halted).message.c_str());
    const auto cancelled = core::value(cancel_wave(fixture.own.document, "c6", sample::now)).next;
    CHECK(cancelled.phase == wave_phase::cancelled);
    CHECK(!core::value(cancel_wave(cancelled, "c6", sample::now)).changed);
    fixture.own.document = cancelled;
    STRCMP_EQUAL("", fixture.decide().c_str());
}

TEST(waves, only_the_first_of_two_waves_takes_a_host)
{
    // Two operators start overlapping waves at the same moment, neither of which was visible to the
    // other command. If each wave maintained the host again after the other, neither would ever
    // end.
    wave_fixture fixture("fastest");
    auto second = fixture.own;
    second.document.id = "w0";
    second.document.started_ms += 1;
    const std::vector<wave_view> both{second, fixture.own};
    const auto h = fixture.host("a0");
    STRCMP_EQUAL("w1", active_wave_for(h, both)->id.c_str());
    auto maintained = h;
    maintained.last_wave = "w1";
    CHECK(active_wave_for(maintained, both) == nullptr);
    const wave_inputs in{second, fixture.config, fixture.pools, true, both, sample::now};
    const auto out = decide_wave(in);
    CHECK(out->document.admitted.empty());
    STRCMP_EQUAL("waits_for_others", out->document.why.rule.c_str());
    second = {out->document, out->expected + 1};
    CHECK(!decide_wave(in));
}

TEST(waves, upcoming_hosts_are_those_not_maintained_yet)
{
    wave_fixture fixture("fastest");
    fixture.decide();
    fixture.complete_maintenance();
    const auto left = hosts_awaiting_maintenance(fixture.pools, {fixture.own});
    LONGS_EQUAL(8, left.size());
    CHECK(std::find(left.begin(), left.end(), "s0") == left.end());
}
