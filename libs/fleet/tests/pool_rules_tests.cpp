#include "core/invariant.hpp"
#include "fleet/budget.hpp"
#include "fleet/pool_rules.hpp"
#include "sample.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::fleet;
using model::drain_purpose;
using model::host_state;

namespace
{

const char* outcome(const core::result<effect>& r)
{
    if (core::is_ok(r))
    {
        return core::value(r).changed ? "changed" : "unchanged";
    }
    switch (core::failure(r).code)
    {
    case core::error_code::conflict:
        return "conflict";
    case core::error_code::invalid:
        return "invalid";
    case core::error_code::not_found:
        return "not_found";
    case core::error_code::unavailable:
        return "unavailable";
    case core::error_code::unknown_effect:
        break;
    }
    return "?";
}

} // namespace

TEST_GROUP(pool_rules){};

TEST(pool_rules, one_event_on_one_host)
{
    struct row
    {
        host_state before;
        drain_purpose purpose;
        pool_event event;
        const char* outcome;
        host_state after;
    };
    const auto none = drain_purpose::none;
    const auto maintenance = drain_purpose::maintenance;
    const auto move = drain_purpose::move;
    const auto leaving = drain_purpose::leaving;
    using s = host_state;
    const row rows[] = {
        {s::serving, none, drain_request{"h1", "c1"}, "changed", s::draining},
        {s::held, none, drain_request{"h1", "c1"}, "changed", s::draining},
        {s::draining, move, drain_request{"h1", "c1"}, "conflict", s::draining},
        {s::failed, none, drain_request{"h1", "c1"}, "conflict", s::failed},
        {s::serving, none, drain_request{"h9", "c1"}, "not_found", s::serving},
        {s::serving, none, leave_request{"h1", "c1"}, "changed", s::draining},
        {s::rebooting, maintenance, leave_request{"h1", "c1"}, "conflict", s::rebooting},
        {s::serving, none, add_request{sample::host("h1"), "c1"}, "unchanged", s::serving},
        {s::serving, none, move_request{"h1", "b", "c1"}, "changed", s::draining},
        {s::serving, none, move_request{"h1", "nowhere", "c1"}, "not_found", s::serving},
        {s::serving, none, move_request{"h1", "a", "c1"}, "unchanged", s::serving},
        {s::rebooting, maintenance, move_request{"h1", "b", "c1"}, "conflict", s::rebooting},
        {s::draining, move, undo_request{"h1", "c1"}, "changed", s::serving},
        {s::drained, maintenance, undo_request{"h1", "c1"}, "changed", s::serving},
        {s::rebooting, maintenance, undo_request{"h1", "c1"}, "conflict", s::rebooting},
        {s::draining, leaving, undo_request{"h1", "c1"}, "conflict", s::draining},
        {s::serving, none, host_down{"h1", 5}, "changed", s::failed},
        {s::serving, none, host_down{"h1", 4}, "unchanged", s::serving},
        {s::rebooting, maintenance, host_down{"h1", 5}, "unchanged", s::rebooting},
        {s::failed, none, host_live{"h1", 6, false}, "changed", s::serving},
        {s::failed, none, host_live{"h1", 5, false}, "changed", s::serving},
        {s::failed, none, host_live{"h1", 4, false}, "unchanged", s::failed},
        {s::rebooting, maintenance, host_live{"h1", 6, true}, "changed", s::serving},
        {s::rebooting, maintenance, host_live{"h1", 5, true}, "unchanged", s::rebooting},
        {s::rebooting, maintenance, host_live{"h1", 6, false}, "unchanged", s::rebooting},
        {s::failed, maintenance, host_live{"h1", 5, true}, "unchanged", s::failed},
        {s::serving, none, host_leaving{"h1", 5}, "changed", s::draining},
        {s::drained, maintenance, host_leaving{"h1", 5}, "changed", s::drained},
        {s::draining, leaving, host_live{"h1", 5, false}, "changed", s::serving},
        {s::serving, none, start_drain{"h1", "w1", ""}, "changed", s::draining},
        {s::draining, move, start_drain{"h1", "w1", ""}, "conflict", s::draining},
        {s::draining, maintenance, confirm_drained{"h1"}, "changed", s::drained},
        {s::serving, none, confirm_drained{"h1"}, "unchanged", s::serving},
        {s::drained, maintenance, hand_over{"h1"}, "changed", s::rebooting},
        {s::draining, maintenance, hand_over{"h1"}, "conflict", s::draining},
        {s::drained, move, hand_over{"h1"}, "conflict", s::drained},
        {s::rebooting, maintenance, return_timeout{"h1", "old"}, "unchanged", s::rebooting},
        {s::rebooting, maintenance, return_timeout{"h1", ""}, "changed", s::failed},
        {s::drained, move, release_host{"h1", false}, "unavailable", s::drained},
        {s::draining, move, release_host{"h1", true}, "conflict", s::draining},
        {s::serving, none, forget_request{"h1", "c1", true}, "conflict", s::serving},
        {s::failed, none, forget_request{"h1", "c1", false}, "unavailable", s::failed},
        {s::failed, none, forget_request{"h1", "c1", true}, "changed", s::failed},
        {s::failed, leaving, host_live{"h1", 6, true}, "unchanged", s::failed},
        {s::failed, leaving, undo_request{"h1", "c1"}, "changed", s::failed},
        {s::failed, leaving, remove_failed_host{"h1", false}, "unavailable", s::failed},
        {s::failed, none, remove_failed_host{"h1", true}, "conflict", s::failed},
        {s::serving, none, hold_host{"h1", ""}, "changed", s::held},
        {s::draining, move, hold_host{"h1", ""}, "unchanged", s::draining},
        {s::held, none, unhold_host{"h1", ""}, "changed", s::serving},
        {s::serving, none, lend_host{"h1", "b", "", true}, "conflict", s::serving},
        {s::serving, none, reassign_borrowed_host{"h1", "b", ""}, "conflict", s::serving},
    };
    const auto config = sample::config();
    for (const auto& it : rows)
    {
        auto d = sample::pool("a", {sample::host_in(it.before, it.purpose)});
        d.hosts[0].boot_count = 5;
        const std::string place = "row " + std::to_string(&it - rows);
        const auto out = apply(d, it.event, {config, sample::now});
        STRCMP_EQUAL_TEXT(it.outcome, outcome(out), place.c_str());
        CHECK_TEXT(d.hosts[0].state == it.after, place.c_str());
        const bool changed = std::string{it.outcome} == "changed";
        CHECK_TEXT(!changed || !d.hosts[0].why.rule.empty(), place.c_str());
    }
}

TEST(pool_rules, budgets_of_pool_and_zone_count_planned_and_unplanned_alike)
{
    struct row
    {
        host_state h2;        ///< zone z1
        host_state h3;        ///< zone z2
        bool borrowed_serves; ///< in zone z2
        int absent;
        int per_zone;
        const char* drain_h1; ///< zone z1
    };
    using s = host_state;
    const row rows[] = {
        {s::serving, s::serving, false, 1, 1, "changed"},
        {s::serving, s::serving, false, 0, 1, "invalid"},
        {s::serving, s::serving, false, 1, 0, "invalid"},
        {s::failed, s::serving, false, 2, 1, "conflict"},
        {s::draining, s::serving, false, 2, 1, "conflict"},
        {s::rebooting, s::serving, false, 2, 2, "changed"},
        {s::serving, s::failed, false, 1, 1, "conflict"},
        {s::serving, s::failed, false, 2, 1, "changed"},
        {s::serving, s::held, false, 1, 1, "changed"},
        {s::serving, s::failed, true, 1, 1, "changed"},
        {s::failed, s::serving, true, 2, 1, "conflict"},
    };
    for (const auto& it : rows)
    {
        auto d = sample::pool("a",
            {sample::host("h1"),
                sample::host_in(it.h2, drain_purpose::none, "h2", "z1"),
                sample::host_in(it.h3, drain_purpose::none, "h3", "z2")});
        if (it.borrowed_serves)
        {
            d.hosts.push_back(sample::host("g1", "z2"));
            d.hosts.back().lent_by = "s";
        }
        const auto config = sample::config(it.absent, it.per_zone);
        const std::string place = "row " + std::to_string(&it - rows);
        const auto out = apply(d, drain_request{"h1", "c1"}, {config, sample::now});
        STRCMP_EQUAL_TEXT(it.drain_h1, outcome(out), place.c_str());
    }
}

TEST(pool_rules, a_command_has_its_effect_once)
{
    // The answer to an operator's command is lost and the command is repeated after another
    // operator has undone the drain. The repeat must not drain the host a second time.
    const auto config = sample::config();
    auto d = sample::pool("a", {sample::host("h1"), sample::host("h2", "z2")});
    const rule_context c{config, sample::now};
    STRCMP_EQUAL("changed", outcome(apply(d, drain_request{"h1", "c1"}, c)));
    STRCMP_EQUAL("unchanged", outcome(apply(d, drain_request{"h1", "c1"}, c)));
    STRCMP_EQUAL("changed", outcome(apply(d, undo_request{"h1", "c2"}, c)));
    STRCMP_EQUAL("unchanged", outcome(apply(d, drain_request{"h1", "c1"}, c)));
    CHECK(d.hosts[0].state == host_state::serving);
    for (std::size_t i = 0; i < 2 * max_recorded_commands; ++i)
    {
        const auto id = std::to_string(i);
        apply(d, drain_request{"h1", "d" + id}, c);
        apply(d, undo_request{"h1", "u" + id}, c);
    }
    LONGS_EQUAL(max_recorded_commands, d.commands.size());
}

TEST(pool_rules, a_host_that_operators_drain_to_leave_is_not_put_back_by_the_live_list)
{
    const auto config = sample::config();
    auto d = sample::pool("a", {sample::host("h1"), sample::host("h2", "z2")});
    const rule_context c{config, sample::now};
    apply(d, leave_request{"h1", "c1"}, c);
    STRCMP_EQUAL("unchanged", outcome(apply(d, host_live{"h1", 1, false}, c)));
    STRCMP_EQUAL("changed", outcome(apply(d, undo_request{"h1", "c2"}, c)));
    apply(d, leave_request{"h1", "c3"}, c);
    apply(d, confirm_drained{"h1"}, c);
    STRCMP_EQUAL("changed", outcome(apply(d, forget_request{"h1", "c4", true}, c)));
    LONGS_EQUAL(1, d.hosts.size());
}

TEST(pool_rules, a_refusal_names_the_blocking_hosts_and_plans)
{
    const auto config = sample::config();
    auto d = sample::pool("a", {sample::host("h1"), sample::host("h2", "z2")});
    const rule_context c{config, sample::now};
    apply(d, start_drain{"h2", "w7", "test"}, c);
    const auto out = apply(d, drain_request{"h1", "c1"}, c);
    STRCMP_CONTAINS("h2 (draining for maintenance, zone z2)", core::failure(out).message.c_str());
    const auto busy = apply(d, move_request{"h2", "b", "c2"}, c);
    STRCMP_CONTAINS("wave w7", core::failure(busy).message.c_str());
}

TEST(pool_rules, maintenance_is_recorded_only_for_the_wave_whose_reboot_was_seen)
{
    struct row
    {
        bool reboots;
        const char* maintained;
    };
    const row rows[] = {{true, "w1"}, {false, ""}};
    const auto config = sample::config();
    const rule_context c{config, sample::now};
    for (const auto& it : rows)
    {
        auto d = sample::pool("a", {sample::host("h1")});
        apply(d, start_drain{"h1", "w1", "test"}, c);
        apply(d, confirm_drained{"h1"}, c);
        if (it.reboots)
        {
            apply(d, hand_over{"h1"}, c);
        }
        apply(d, host_down{"h1", 1}, c);
        apply(d, host_live{"h1", 2, true}, c);
        CHECK(d.hosts[0].state == host_state::serving);
        STRCMP_EQUAL(it.maintained, d.hosts[0].last_wave.c_str());
        STRCMP_EQUAL("", d.hosts[0].wave.c_str());
    }
}

TEST(pool_rules, violated_invariants_are_reported)
{
    std::vector<std::string> seen;
    auto before =
        core::set_invariant_handler([&](const std::string& text) { seen.push_back(text); });
    const auto config = sample::config();
    auto d = sample::pool("a", {sample::host("h1"), sample::host("h1"), sample::host("h2", "z2")});
    apply(d, hold_host{"h2", "test"}, {config, sample::now});
    auto both = sample::pool("a", {sample::host("h1"), sample::host("h2", "z2")});
    both.released.push_back({sample::host("h1"), "b"});
    apply(both, hold_host{"h2", "test"}, {config, sample::now});
    auto misled = sample::pool("a", {sample::host("h1")});
    apply(misled, adopt_host{{sample::host("h9"), "b"}, "c", false, true}, {config, sample::now});
    core::set_invariant_handler(before);
    LONGS_EQUAL(3, seen.size());
    STRCMP_EQUAL("a host stands once in a pool document: a", seen[0].c_str());
    STRCMP_EQUAL("a released host belongs to its new pool: a", seen[1].c_str());
    STRCMP_EQUAL("a pool adopts what was released to it: h9", seen[2].c_str());
}
