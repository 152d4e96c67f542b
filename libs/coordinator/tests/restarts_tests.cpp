#include "coordinator/fencing_tokens.hpp"
#include "coordinator/rebalance.hpp"
#include "fleet_fixture.hpp"
#include "restarts.hpp"
#include "workflow/records.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

namespace
{

constexpr std::int64_t first_start = 1'700'000'000'000;
constexpr std::int64_t second_start = first_start + 60'000;
const std::string before = "h1/1700000000000";
const std::string after = "h1/1700000060000";

ports::poll_answer answer_of_next()
{
    ports::poll_answer out;
    out.call = {ports::runner_verdict::done, 50, second_start};
    return out;
}

} // namespace

TEST_GROUP(restarts)
{
    fleet_fixture w;
    ports::revision last_revision = 100;

    void poll(const std::string& host, const ports::poll_answer& answer)
    {
        w.now += 10ms;
        handle_poll_answer(w.f, host, w.now, answer, w.now, w.events);
    }

    void list(const std::string& id)
    {
        host_listing it;
        it.ref = {id, "10.0.0.1:80", {}};
        it.pool = "p";
        it.capacity = {host_cpu, 65536, 0};
        apply_host_list(w.f, {it}, w.now, w.events);
    }

    /// Polls the host with a token above those of all calls to its earlier incarnation.
    void settle(const std::string& host)
    {
        record_own_write(w.f, ++last_revision);
        raise_fencing_token(w.f, w.f.hosts.at(host));
        poll(host, answer_of_next());
    }

    std::string only_host() const
    {
        return w.f.hosts.size() == 1 ? w.f.hosts.begin()->first : "not one host";
    }
};

// Guards against judging the next incarnation by the ends, the clock or the leases of the one
// before.
TEST(restarts, the_next_incarnation_starts_with_nothing)
{
    w.add_host(before);
    auto& h = w.f.hosts.at(before);
    h.last_applied_end = 57;
    h.last_stored_end = 57;
    record_lease(h, 100000);
    poll(before, answer_of_next());
    STRCMP_EQUAL(after.c_str(), only_host().c_str());
    const auto& next = w.f.hosts.at(after);
    LONGS_EQUAL(0, next.last_applied_end);
    LONGS_EQUAL(0, next.last_stored_end);
    LONGS_EQUAL(50, next.clock_ms);
    LONGS_EQUAL(50 + w.f.settings.max_runner_lease.count(), next.lease_until_ms);
}

// Guards against a wait for a lease that no runner has: the record of an earlier version may hold
// the difference of two incarnations' clocks.
TEST(restarts, a_recorded_lease_lasts_no_longer_than_a_lease_can)
{
    add_inherited_hosts(w.f, {{{"h1", "h1:1", {}}, {}, "p", 60s}}, w.now);
    const auto& h = w.f.hosts.at("h1");
    CHECK(h.inherited_leases_end_at - w.now <= w.f.settings.max_runner_lease + 500ms);
    CHECK(h.inherited_leases_end_at - w.now >= w.f.settings.max_runner_lease);
}

// Guards against a second run of a task whose order reached the next incarnation, and against a
// task that stays with an incarnation that has ended.
TEST(restarts, a_run_ends_or_passes_on_as_its_order_proves)
{
    struct row
    {
        const char* text;
        ports::runner_answer answer; ///< to the start; not_sent: none yet
        bool passes_on;
        bool listed = false; ///< by a poll of the old incarnation, after the answer
    };
    const row rows[] = {
        {"answered and listed", {ports::runner_verdict::done, 1000}, false, true},
        {"answered and not listed", {ports::runner_verdict::done, 1000}, true},
        {"answered with a higher clock", {ports::runner_verdict::done, 9'000'000}, true},
        {"answered by the next one", {ports::runner_verdict::done, 2000, second_start}, true},
        {"unanswered", {ports::runner_verdict::unknown, -1}, true},
        {"answered by another runner", {ports::runner_verdict::other_life, -1}, true},
    };
    for (const auto& it : rows)
    {
        fleet_fixture fresh;
        fresh.add_host(before);
        fresh.accept_job(make_job("a", {make_step(1, 1000)}));
        const auto a = fresh.plan_next().starts.at(0);
        handle_start_answer(fresh.f, before, a.task, a.run, it.answer, fresh.now, fresh.events);
        if (it.listed)
        {
            ports::poll_answer listing;
            listing.call = {ports::runner_verdict::done, fresh.clock_ms(), first_start};
            listing.running.push_back({workflow::write_task_name(a.task), a.run, {}, 0, 0});
            handle_poll_answer(fresh.f, before, fresh.now, listing, fresh.now, fresh.events);
        }
        fresh.now += 10ms;
        handle_poll_answer(fresh.f, before, fresh.now, answer_of_next(), fresh.now, fresh.events);
        CHECK_EQUAL_TEXT(it.passes_on ? 1U : 0U, fresh.f.hosts.at(after).runs.size(), it.text);
        CHECK_EQUAL_TEXT(it.passes_on ? 1U : 0U, fresh.f.jobs.at("a")->live_runs, it.text);
        LONGS_EQUAL_TEXT(it.passes_on ? 1000 : 0, fresh.f.hosts.at(after).used.cpu, it.text);
    }
}

// Guards against a second start while the next incarnation may still carry the first one out: it
// has to confirm a stop first.
TEST(restarts, a_run_that_passed_on_is_stopped_before_its_task_starts_again)
{
    w.add_host(before);
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_next().starts.at(0);
    w.answer_start(a, ports::runner_verdict::unknown);
    poll(before, answer_of_next());
    poll(after, answer_of_next());
    const auto p = w.plan_next();
    LONGS_EQUAL(0, p.starts.size());
    CHECK_EQUAL(1U, p.stops.size());
    STRCMP_EQUAL(after.c_str(), p.stops[0].host.id.c_str());
    handle_stop_answer(
        w.f, after, a.task, a.run, {ports::runner_verdict::done, 60}, w.now, w.events);
    poll(after, answer_of_next());
    LONGS_EQUAL(0, w.f.jobs.at("a")->live_runs);
}

// Guards against losing a run that the next incarnation executes.
TEST(restarts, a_run_that_the_next_incarnation_lists_goes_on)
{
    w.add_host(before);
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_next().starts.at(0);
    w.answer_start(a, ports::runner_verdict::unknown);
    auto answer = answer_of_next();
    answer.running.push_back({workflow::write_task_name(a.task), a.run, {}, 0, 0});
    poll(before, answer);
    CHECK(w.f.jobs.at("a")->tasks[0].runs.at(0).phase == run_phase::running);
    answer.running.clear();
    answer.ended.push_back({1, workflow::write_task_name(a.task), a.run, ports::run_end::done, {}});
    poll(after, answer);
    CHECK(w.f.jobs.at("a")->state == workflow::job_state::completed);
}

// Guards against list entries that are older than an answer of the runner, that state no start
// time, or that describe the same incarnation: none of them ends the known one.
TEST(restarts, only_a_later_entry_replaces_an_incarnation)
{
    struct row
    {
        const char* known;
        const char* listed;
        const char* present;
    };
    const row rows[] = {
        {"h1/5", "h1/5", "h1/5"},
        {"h1/5", "h1/4", "h1/5"},
        {"h1/5", "h1/6", "h1/6"},
        {"h1/5", "h1", "h1/5"},
        {"h1", "h1", "h1"},
        {"h1", "h1/6", "h1/6"},
    };
    for (const auto& it : rows)
    {
        fleet_fixture fresh;
        fresh.add_host(it.known);
        host_listing entry;
        entry.ref = {it.listed, std::string{it.known} + ":1", {}};
        entry.pool = "p";
        apply_host_list(fresh.f, {entry}, fresh.now, fresh.events);
        CHECK_EQUAL_TEXT(1U, fresh.f.hosts.size(), it.listed);
        STRCMP_EQUAL_TEXT(it.present, fresh.f.hosts.begin()->first.c_str(), it.listed);
    }
}

// Guards against counting a start by a previous coordinator with each runner that is lost after a
// restart: innocent tasks would start in isolation, and in the first term their progress could not
// be read any more.
TEST(restarts, the_loss_of_the_next_incarnation_is_none_of_a_previous_coordinator)
{
    w.add_host(before);
    list(after);
    w.f.hosts.at(after).contact_score = min_contact_score;
    w.now += 2 * w.f.settings.max_runner_lease;
    expire_hosts(w.f, w.now, w.events);
    CHECK_FALSE(w.f.hosts.at(after).inherited);
    CHECK(w.f.pools_with_lost_hosts.empty());
}

// Guards against a machine that stays in its move for ever: its runner has kept its id, and the
// list of machines knows no other name.
TEST(restarts, a_move_completes_when_the_runner_keeps_its_id)
{
    rebalancer r;
    r.moves["m1"] = {"q", before, true, w.now};
    machine_table list;
    list.known = true;
    list.requested_at = w.now + 1s;
    list.machines["m1"] = {"m1", "p", "z", "h1", ports::machine_state::up};
    remove_completed_moves(r, list, {});
    LONGS_EQUAL(1, r.moves.size()); // still in its former pool
    list.machines["m1"].pool = "q";
    remove_completed_moves(r, list, {});
    LONGS_EQUAL(0, r.moves.size());
}

// Guards against ending runs that may be active: without a start time before, the incarnation may
// be the same.
TEST(restarts, a_start_time_that_becomes_known_ends_no_run)
{
    w.add_host("h1");
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_next().starts.at(0);
    w.answer_start(a);
    auto answer = answer_of_next();
    answer.call.clock_ms = 2000;
    answer.running.push_back({workflow::write_task_name(a.task), a.run, {}, 0, 0});
    poll("h1", answer);
    STRCMP_EQUAL(after.c_str(), only_host().c_str());
    LONGS_EQUAL(1, w.f.jobs.at("a")->live_runs);
    CHECK(w.f.jobs.at("a")->tasks[0].runs.at(0).phase == run_phase::running);
}

// Guards against a start that begins on the next incarnation after its task was started elsewhere:
// the start was abandoned when the old incarnation's leases had expired.
TEST(restarts, an_abandoned_start_is_stopped_at_the_next_incarnation)
{
    w.add_host(before);
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_next().starts.at(0);
    w.answer_start(a, ports::runner_verdict::unknown);
    w.f.hosts.at(before).reachable = false;
    w.f.hosts.at(before).listed = false;
    w.now += 3s;
    expire_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(0, w.f.hosts.size());
    list(after);
    w.f.hosts.at(after).recorded = true;
    poll(after, answer_of_next());
    settle(after);
    const auto p = w.plan_next();
    LONGS_EQUAL(0, p.starts.size());
    CHECK_EQUAL(1U, p.stops.size());
    LONGS_EQUAL(a.run, p.stops[0].run);
    LONGS_EQUAL(0, lease_end_for(w.f, w.f.hosts.at(after), w.now));
    handle_stop_answer(
        w.f, after, a.task, a.run, {ports::runner_verdict::done, 60}, w.now, w.events);
    auto& j = *w.f.jobs.at("a");
    j.losses_stored = j.losses_recorded;
    LONGS_EQUAL(1, w.plan_next().starts.size());
}

// Guards against a run under a lease of unknown length: until the next incarnation has answered a
// call with a higher token, it may carry out calls that were meant for the one before.
TEST(restarts, the_next_incarnation_takes_tasks_once_it_refuses_earlier_calls)
{
    w.add_host(before);
    list(after);
    w.f.hosts.at(after).recorded = true;
    poll(after, answer_of_next());
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(0, w.plan_next().starts.size());
    settle(after);
    const auto until = w.f.hosts.at(after).lease_until_ms;
    LONGS_EQUAL(50 + w.f.settings.max_runner_lease.count(), until);
    LONGS_EQUAL(1, w.plan_next().starts.size());
    auto later = answer_of_next();
    later.call.clock_ms += 10;
    poll(after, later);
    LONGS_EQUAL(until, w.f.hosts.at(after).lease_until_ms);
}

// Guards against a successor that forgets the longest lease of a restarted runner at its first
// answer, and starts the runner's tasks elsewhere once that is cut off again.
TEST(restarts, a_successor_waits_for_the_longest_lease_after_an_answer_too)
{
    for (const core::millis remaining : {max_lease_time(w.f), core::millis{9000}})
    {
        for (const bool renewal : {false, true})
        {
            fleet_fixture fresh;
            add_inherited_hosts(
                fresh.f, {{{after, "10.0.0.1:80", {}}, {}, "p", remaining}}, fresh.now);
            const auto answer = answer_of_next();
            if (renewal)
            {
                handle_renewal_answer(fresh.f, after, answer.call, fresh.now, fresh.events);
            }
            else
            {
                handle_poll_answer(fresh.f, after, fresh.now, answer, fresh.now, fresh.events);
            }
            auto& h = fresh.f.hosts.at(after);
            h.inherited = false;
            h.reachable = false;
            CHECK_FALSE(leases_expired(fresh.f, h, fresh.now + fresh.f.settings.max_runner_lease));
            CHECK(leases_expired(fresh.f, h, fresh.now + 11s));
        }
    }
}

// Guards against a second start while the first send of an order, whose repeat was answered, may
// begin on the next incarnation.
TEST(restarts, a_listed_run_passes_on_while_a_send_of_its_start_is_unanswered)
{
    w.add_host(before);
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_next().starts.at(0);
    const ports::runner_answer done{ports::runner_verdict::done, w.clock_ms()};
    handle_start_answer(w.f, before, a.task, a.run, done, w.now, w.events, false);
    ports::poll_answer listing;
    listing.call = {ports::runner_verdict::done, w.clock_ms(), first_start};
    listing.running.push_back({workflow::write_task_name(a.task), a.run, {}, 0, 0});
    poll(before, listing);
    poll(before, answer_of_next());
    LONGS_EQUAL(1, w.f.hosts.at(after).runs.size());
    LONGS_EQUAL(1, w.f.jobs.at("a")->live_runs);
}

// Guards against handing leadership over because a runner refuses a call that was sent before the
// token of its calls was raised.
TEST(restarts, only_a_refusal_of_the_newest_token_shows_another_coordinator)
{
    using ports::runner_verdict;
    w.add_host(before);
    list(after);
    settle(after);
    const auto token = fencing_token_for(w.f, after);
    LONGS_EQUAL(last_revision, token);
    struct row
    {
        std::int64_t token;
        runner_verdict answered;
        runner_verdict counts_as;
    };
    const row rows[] = {
        {token - 1, runner_verdict::fenced, runner_verdict::unhealthy},
        {token, runner_verdict::fenced, runner_verdict::fenced},
        {token - 1, runner_verdict::done, runner_verdict::done},
    };
    for (const auto& it : rows)
    {
        for (const auto& host : {before, after})
        {
            CHECK(without_own_refusal(w.f, host, it.token, {it.answered, -1}).verdict ==
                  it.counts_as);
        }
    }
}

// Guards against a runner that gets no tasks after a take-over: the record named both its
// incarnations, and the answer to a poll of the earlier one resets the later one.
TEST(restarts, an_earlier_incarnation_in_the_record_does_not_reset_the_later_one)
{
    const std::vector<inherited_host> rows{
        {{before, "10.0.0.1:80", {}}, {}, "p", {}}, {{after, "10.0.0.1:80", {}}, {}, "p", {}}};
    add_inherited_hosts(w.f, rows, w.now);
    list(after);
    poll(after, answer_of_next());
    poll(before, answer_of_next());
    STRCMP_EQUAL(after.c_str(), only_host().c_str());
    const auto& h = w.f.hosts.at(after);
    STRCMP_EQUAL("p", h.pool.c_str());
    CHECK(h.listed);
    CHECK_FALSE(h.inherited);
}
