#include "fleet/pool_decider.hpp"
#include "fleet/pool_rules.hpp"
#include "sample.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::fleet;
using model::drain_purpose;
using model::host_state;
using ports::live_state;

namespace
{

constexpr core::mono_time start{core::millis{100000}};

/// The owner of pool a with the inputs of its decisions, which the tests change field by field.
struct owner
{
    model::configuration config = sample::config();
    pool_view own{sample::pool("a", {sample::host("h1"), sample::host("h2", "z2")}), 10};
    std::vector<wave_view> waves;
    std::vector<pool_view> pools;
    std::int64_t as_of = 10;
    ports::live_list live{true, {}};
    std::vector<host_activity> activity;
    core::mono_time now = start;
    pool_timers timers;

    std::vector<pool_action> decide()
    {
        const pool_inputs in{
            own, config, waves, true, {pools, as_of}, live, activity, {}, now, sample::now};
        return decide_pool(in, timers);
    }

    /// Decides, and applies the write as if it had succeeded. \return the actions.
    std::vector<pool_action> decide_and_write()
    {
        auto out = decide();
        for (const auto& it : out)
        {
            if (const auto* write = std::get_if<write_pool>(&it))
            {
                LONGS_EQUAL(own.revision, write->expected);
                own = {write->document, own.revision + 1};
                as_of = own.revision;
            }
        }
        return out;
    }

    void set_activity(const std::string& host, int requests = 0, int jobs = 0, bool certain = true)
    {
        activity = {{host, true, certain, requests, jobs}};
    }

    const model::host_record& h1() const
    {
        return own.document.hosts[0];
    }

    void admit(const std::string& policy, std::vector<std::string> hosts)
    {
        model::wave_document w;
        w.id = "w1";
        w.hosts = hosts;
        w.admitted = std::move(hosts);
        w.policy = policy;
        waves = {{w, 5}};
    }
};

template <class Action>
const Action* find(const std::vector<pool_action>& all)
{
    for (const auto& it : all)
    {
        if (const auto* found = std::get_if<Action>(&it))
        {
            return found;
        }
    }
    return nullptr;
}

} // namespace

TEST_GROUP(pool_decider){};

TEST(pool_decider, a_drain_is_handed_over_only_when_certainly_nothing_is_in_flight)
{
    struct row
    {
        host_activity activity;
        host_state after;
    };
    const row rows[] = {
        {{"h1", true, true, 0, 0}, host_state::rebooting},
        {{"h1", false, true, 0, 0}, host_state::draining},
        {{"h1", true, false, 0, 0}, host_state::draining},
        {{"h1", true, true, 1, 0}, host_state::draining},
        {{"h1", true, true, 0, 1}, host_state::draining},
        {{"h2", true, true, 0, 0}, host_state::draining},
    };
    for (const auto& it : rows)
    {
        owner o;
        o.admit("fastest", {"h1"});
        o.decide_and_write();
        CHECK(o.h1().state == host_state::draining);
        o.activity = {it.activity};
        const auto actions = o.decide_and_write();
        CHECK(o.h1().state == it.after);
        STRCMP_EQUAL("h1", find<stop_host>(actions)->host.c_str());
    }
}

TEST(pool_decider, a_drain_is_not_confirmed_in_the_decision_that_starts_it)
{
    // The dispatcher has stopped the host for an earlier drain that was undone, and nothing is in
    // flight. Then a decision starts the next drain. Permits may still be granted until that drain
    // is written, so the host must not be handed over in the same write.
    owner o;
    o.admit("fastest", {"h1"});
    o.set_activity("h1");
    o.decide_and_write();
    CHECK(o.h1().state == host_state::draining);
}

TEST(pool_decider, a_reboot_is_ordered_after_its_write_and_once_across_a_take_over)
{
    // The owner writes that h1 is handed over, and the answer to the write is lost. Another member
    // takes over, orders the reboot and sees the host come back. Then the first owner resumes and
    // orders the reboot again. It must use the same id, which the platform has carried out already,
    // and must never order a reboot that was not written.
    owner first;
    first.admit("fastest", {"h1"});
    first.decide_and_write();
    first.set_activity("h1");
    const auto handing = first.decide();
    CHECK(find<order_reboot>(handing) == nullptr);
    owner second = first;
    second.timers = {};
    second.own = {find<write_pool>(handing)->document, 12};
    second.as_of = 12;
    const auto orders = second.decide();
    const std::string command = find<order_reboot>(orders)->command;
    first.own = second.own;
    STRCMP_EQUAL(command.c_str(), find<order_reboot>(first.decide())->command.c_str());
    LONGS_EQUAL(1, second.h1().boot_count);

    record_reboot_acknowledged(second.timers, "h1", command, second.now);
    CHECK(find<order_reboot>(second.decide()) == nullptr);
    second.now += core::millis{10000};
    second.live.hosts = {{"h1", live_state::live, 2}};
    second.decide_and_write();
    CHECK(second.h1().state == host_state::serving);
    STRCMP_EQUAL("w1", second.h1().last_wave.c_str());
    CHECK(find<order_reboot>(second.decide()) == nullptr);
}

TEST(pool_decider, an_earlier_crash_is_not_mistaken_for_the_reboot)
{
    // Before its drain, h1 crashed and came back, which the live list shows late: the higher
    // boot_count appears only after the reboot was ordered. If the host served again because of it,
    // the reboot that is still to come would cut off requests.
    struct row
    {
        bool acknowledged;
        int waited_ms;
        host_state after;
    };
    const int lag = static_cast<int>(fleet_settings{}.live_list_lag.count());
    const row rows[] = {{true, lag, host_state::serving},
        {true, lag - 1, host_state::rebooting},
        {false, lag, host_state::rebooting}};
    for (const auto& it : rows)
    {
        owner o;
        o.own.document.hosts[0] =
            sample::host_in(host_state::rebooting, drain_purpose::maintenance);
        o.own.document.hosts[0].command = "reboot/h1/1/1";
        o.decide();
        if (it.acknowledged)
        {
            record_reboot_acknowledged(o.timers, "h1", "reboot/h1/1/1", o.now);
        }
        o.now += core::millis{it.waited_ms};
        o.live.hosts = {{"h1", live_state::live, 2}};
        o.decide_and_write();
        CHECK(o.h1().state == it.after);
    }
}

TEST(pool_decider, a_failure_undoes_drains_that_exceed_the_budget_with_it)
{
    struct row
    {
        host_state h1; ///< state of the planned absence, in zone z1
        int absent;
        host_state after;
    };
    using s = host_state;
    const row rows[] = {{s::draining, 1, s::serving},
        {s::drained, 1, s::serving},
        {s::rebooting, 1, s::rebooting},
        {s::draining, 2, s::draining}};
    for (const auto& it : rows)
    {
        owner o;
        o.config = sample::config(it.absent, 1);
        o.own.document.hosts[0] = sample::host_in(it.h1, drain_purpose::maintenance);
        o.own.document.hosts[0].command = "c1";
        o.live.hosts = {{"h2", live_state::down, 1}};
        // The same decision must not hand a drained host over before it counts the failure.
        o.set_activity("h1", 1);
        o.decide_and_write();
        CHECK(o.own.document.hosts[1].state == host_state::failed);
        CHECK(o.h1().state == it.after);
    }
}

TEST(pool_decider, drains_of_a_wave_that_stopped_are_undone)
{
    struct row
    {
        model::wave_phase phase;
        bool known;
        host_state after;
    };
    using p = model::wave_phase;
    const row rows[] = {{p::growing, true, host_state::draining},
        {p::halted, true, host_state::serving},
        {p::cancelled, true, host_state::serving},
        {p::done, false, host_state::serving}};
    for (const auto& it : rows)
    {
        owner o;
        o.admit("fastest", {"h1"});
        o.decide_and_write();
        o.waves[0].document.phase = it.phase;
        if (!it.known)
        {
            o.waves.clear();
        }
        o.decide_and_write();
        CHECK(o.h1().state == it.after);
    }
}

TEST(pool_decider, a_change_of_policy_strands_no_host)
{
    // The pool holds a buffer host, has a borrowed host and drains a host when its policy changes.
    // The drain must continue, the buffer host must serve, and the borrowed host must return to the
    // pool that lent it.
    owner o;
    o.config = sample::config(2, 1);
    o.config.pools[0].policy = "one_by_one";
    o.config.policies[0].fixed_buffer = 1;
    auto borrowed = sample::host("g1", "z3");
    borrowed.lent_by = "s";
    o.own.document.hosts = {sample::host("h1"), sample::host("h2", "z2"), borrowed};
    o.decide_and_write();
    CHECK(o.own.document.hosts[1].state == host_state::held);
    o.admit("", {"h1"});
    o.decide_and_write();
    CHECK(o.h1().state == host_state::draining);
    CHECK(o.own.document.hosts[1].state == host_state::serving);
    o.config.pools[0].policy = "fastest";
    o.decide_and_write();
    o.now += fleet_settings{}.surplus_host_retention;
    o.decide_and_write();
    CHECK(o.h1().state == host_state::draining);
    CHECK(o.own.document.hosts[1].state == host_state::serving);
    CHECK(o.own.document.hosts[2].purpose == drain_purpose::move);
    STRCMP_EQUAL("s", o.own.document.hosts[2].move_to.c_str());
}

TEST(pool_decider, least_buffer_waits_a_limited_time_for_a_borrowed_host)
{
    owner o;
    o.admit("least_buffer", {"h1"});
    CHECK(o.decide().empty());
    o.now += o.config.policies[1].return_timeout;
    o.decide_and_write();
    CHECK(o.h1().state == host_state::draining);
}

TEST(pool_decider, a_spare_pool_lends_to_the_pool_that_needs_cover)
{
    owner o;
    o.own = {sample::pool("s", {sample::host_in(host_state::held, drain_purpose::none, "s1")}), 10};
    o.pools = {{sample::pool("a", {sample::host("h1")}), 7}, {sample::pool("b", {}), 8}};
    o.admit("least_buffer", {"h1"});
    CHECK(o.decide().size() == 1); // only stop_host, because the work in flight is not known
    o.set_activity("s1");
    o.decide_and_write();
    CHECK(o.own.document.hosts.empty());
    STRCMP_EQUAL("a", o.own.document.released[0].to.c_str());
    STRCMP_EQUAL("s", o.own.document.released[0].host.lent_by.c_str());
    LONGS_EQUAL(2, o.own.document.released[0].host.ownership);
}

TEST(pool_decider, a_forgotten_host_is_removed_when_no_member_can_send_to_it)
{
    // An operator forgets a failed host and adds it to another pool, while the owner of the first
    // pool has read neither the failure nor the command and still sends to the host. If the host
    // were removed at once, two pools would use it at the same time.
    owner o;
    o.own.document.hosts[0] = sample::host_in(host_state::failed);
    const rule_context c{o.config, sample::now};
    apply(o.own.document, forget_request{"h1", "c1", true}, c);
    o.set_activity("h1", 0, 0, false);
    o.decide_and_write();
    LONGS_EQUAL(2, o.own.document.hosts.size());
    o.set_activity("h1");
    o.decide_and_write();
    LONGS_EQUAL(1, o.own.document.hosts.size());
}

TEST(pool_decider, a_slow_drain_is_reported_and_jobs_get_the_remaining_time)
{
    owner o;
    o.admit("fastest", {"h1"});
    o.decide_and_write();
    o.set_activity("h1", 2, 1);
    o.decide();
    o.now += core::millis{119000};
    auto actions = o.decide();
    LONGS_EQUAL(1000, find<move_jobs_off>(actions)->time_left.count());
    CHECK(find<report_slow_drain>(actions) == nullptr);
    o.now += core::millis{1000};
    actions = o.decide();
    STRCMP_CONTAINS("2 requests, 1 jobs", find<report_slow_drain>(actions)->text.c_str());
    CHECK(find<report_slow_drain>(o.decide()) == nullptr);
}

TEST(pool_decider, a_host_that_does_not_come_back_fails_and_returns_when_it_does)
{
    owner o;
    o.own.document.hosts[0] = sample::host_in(host_state::rebooting, drain_purpose::maintenance);
    o.own.document.hosts[0].command = "reboot/h1/1/1";
    o.own.document.hosts[0].wave = "w1";
    o.decide();
    record_reboot_acknowledged(o.timers, "h1", "reboot/h1/1/1", o.now);
    o.now += sample::policy(model::policy_kind::one_by_one).return_timeout;
    o.decide_and_write();
    CHECK(o.h1().state == host_state::failed);
    STRCMP_EQUAL("w1", o.h1().wave.c_str());
    o.live.hosts = {{"h1", live_state::live, 2}};
    o.decide_and_write();
    CHECK(o.h1().state == host_state::serving);
    STRCMP_EQUAL("w1", o.h1().last_wave.c_str());
}
