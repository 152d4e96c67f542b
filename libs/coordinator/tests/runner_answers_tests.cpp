#include "fleet_fixture.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(runner_answers)
{
    fleet_fixture w;
};

// Failure: the answer to a start is lost. Until the runner has confirmed a stop and no longer lists
// the run, the task must keep its capacity and must not start on another host.
TEST(runner_answers, an_unanswered_start_is_resolved_by_a_stop)
{
    w.add_host("h1");
    w.add_host("h2");
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_next().starts[0];
    w.answer_start(a, ports::runner_verdict::unknown);
    LONGS_EQUAL(0, w.plan_next().starts.size());
    ports::poll_answer nothing;
    nothing.call = {ports::runner_verdict::done, 1000};
    w.now += 10ms;
    handle_poll_answer(w.f, a.host.id, w.now, nothing, w.now, w.events);
    const auto p = w.plan_next();
    LONGS_EQUAL(0, p.starts.size());
    LONGS_EQUAL(1, p.stops.size());
    w.now += 10ms;
    handle_stop_answer(
        w.f, a.host.id, a.task, a.run, {ports::runner_verdict::done, 1000}, w.now, w.events);
    handle_poll_answer(w.f, a.host.id, w.now - 5ms, nothing, w.now, w.events);
    LONGS_EQUAL(0, w.plan_next().starts.size()); // that poll was sent before the stop was confirmed
    w.now += 10ms;
    handle_poll_answer(w.f, a.host.id, w.now, nothing, w.now, w.events);
    const auto again = w.plan_next().starts;
    LONGS_EQUAL(1, again.size());
    CHECK(again[0].run > a.run);
}

// Guards against an end that is dropped without a line in the log while its run counts as active.
TEST(runner_answers, a_skipped_end_of_an_active_run_is_logged)
{
    w.add_host("h1");
    w.f.hosts["h1"].last_applied_end = 7;
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_next().starts[0];
    w.answer_start(a);
    w.report_end(a, ports::run_end::done, 3);
    const auto skipped = [](const task_event& it)
    {
        return it.event == "end_skipped" && it.reason == "how=done end=3 applied=7";
    };
    LONGS_EQUAL(1, std::count_if(w.events.begin(), w.events.end(), skipped));
}

// Failure: a runner stops answering. Its tasks may start on another host only when the runner's own
// clock, which may be slow, has certainly passed the end of every granted lease.
TEST(runner_answers, an_unresponsive_runner_expires_by_its_own_clock)
{
    w.add_host("h1");
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_next().starts[0];
    auto& h = w.f.hosts["h1"];
    record_lease(h, lease_end_for(w.f, h, w.now));
    w.answer_start(a);
    ports::poll_answer unresponsive;
    unresponsive.call = {ports::runner_verdict::unknown, -1};
    handle_poll_answer(w.f, "h1", w.now, unresponsive, w.now, w.events);
    LONGS_EQUAL(0, lease_end_for(w.f, h, w.now)); // no further lease is granted
    w.now += w.f.settings.runner_lease + 100ms;
    expire_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(1, w.f.jobs.at("a")->live_runs);
    w.now += 300ms + w.f.settings.runner_lease / 40;
    expire_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(0, w.f.jobs.at("a")->live_runs);
}

// Failure: a start without an answer is abandoned when the leases of its runner expire, and the
// runner answers again later. With a new lease it might carry out the order beside the task's next
// run.
TEST(runner_answers, a_runner_with_an_abandoned_start_gets_no_lease_before_it_is_stopped)
{
    w.add_host("h1");
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_next().starts[0];
    auto& h = w.f.hosts["h1"];
    record_lease(h, lease_end_for(w.f, h, w.now));
    w.answer_start(a, ports::runner_verdict::unknown);
    ports::poll_answer unresponsive;
    unresponsive.call = {ports::runner_verdict::unknown, -1};
    handle_poll_answer(w.f, "h1", w.now, unresponsive, w.now, w.events);
    w.now += 2 * w.f.settings.runner_lease;
    expire_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(0, w.f.jobs.at("a")->live_runs);
    LONGS_EQUAL(0, w.plan_next().stops.size()); // the runner is unresponsive
    ports::poll_answer nothing;
    nothing.call = {ports::runner_verdict::done, 6000};
    handle_poll_answer(w.f, "h1", w.now, nothing, w.now, w.events);
    LONGS_EQUAL(0, lease_end_for(w.f, h, w.now));
    const auto p = w.plan_next();
    LONGS_EQUAL(0, p.starts.size());
    LONGS_EQUAL(1, p.stops.size());
    LONGS_EQUAL(a.run, p.stops[0].run);
    handle_stop_answer(
        w.f, "h1", a.task, a.run, {ports::runner_verdict::unknown, -1}, w.now, w.events);
    LONGS_EQUAL(0, w.plan_next().stops.size());
    w.now += w.f.settings.stop_retry_delay;
    LONGS_EQUAL(1, w.plan_next().stops.size());
    handle_stop_answer(w.f, "h1", a.task, a.run, {ports::runner_verdict::done, 1}, w.now, w.events);
    CHECK(lease_end_for(w.f, h, w.now) > 0);
    LONGS_EQUAL(1, w.plan_next().starts.size());
}

// Failure: a runner refuses a start each time. If the task were ordered again at once, it would
// keep the process and the runner busy with nothing else.
TEST(runner_answers, a_refused_start_is_not_ordered_again_at_once)
{
    w.add_host("h1");
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_next().starts[0];
    w.answer_start(a, ports::runner_verdict::malformed);
    LONGS_EQUAL(0, w.f.hosts["h1"].used.cpu);
    LONGS_EQUAL(0, w.plan_next().starts.size());
    w.now += w.f.settings.refused_start_delay;
    const auto again = w.plan_next().starts;
    LONGS_EQUAL(1, again.size());
    CHECK(again[0].run > a.run);
}

// Guards against starting tasks a second time while their cut-off runner still works: an address
// may be reassigned before the leases of the runner that had it have expired.
TEST(runner_answers, another_runner_at_an_address_ends_the_former_one_once_its_leases_expired)
{
    w.add_host("h1");
    w.add_host("h2");
    auto s = make_step(6, 1000);
    s.max_per_host = 3;
    w.accept_job(make_job("a", {s}));
    const auto p = w.plan_next();
    for (const auto& it : p.starts)
    {
        w.answer_start(it);
    }
    ports::poll_answer other;
    other.call = {ports::runner_verdict::other_life, -1};
    record_lease(w.f.hosts["h1"], lease_end_for(w.f, w.f.hosts["h1"], w.now));
    handle_poll_answer(w.f, "h1", w.now, other, w.now, w.events);
    LONGS_EQUAL(0, lease_end_for(w.f, w.f.hosts["h1"], w.now));
    expire_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(6, w.f.jobs.at("a")->live_runs);
    w.now += w.f.settings.runner_lease * 2;
    expire_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(3, w.f.jobs.at("a")->live_runs);
    CHECK_FALSE(w.f.hosts.contains("h1"));
}

// Guards against starting a task on another host when a copy of its start order reaches another
// runner at the address: another copy may have reached the runner that had the address before.
TEST(runner_answers, a_start_that_another_runner_answers_is_not_over)
{
    w.add_host("h1");
    w.add_host("h2");
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_next().starts[0];
    w.answer_start(a, ports::runner_verdict::other_life);
    w.now += 2 * w.f.settings.refused_start_delay;
    LONGS_EQUAL(1, w.f.jobs.at("a")->live_runs);
    LONGS_EQUAL(0, w.plan_next().starts.size());
}

// Guards against ending a runner that answers again because of an earlier answer of another runner
// at its address.
TEST(runner_answers, a_runner_that_answers_again_has_its_address_back)
{
    w.add_host("h1");
    auto& h = w.f.hosts["h1"];
    record_lease(h, lease_end_for(w.f, h, w.now));
    for (const auto it : {ports::runner_verdict::other_life,
             ports::runner_verdict::done,
             ports::runner_verdict::unknown})
    {
        ports::poll_answer p;
        p.call = {it, it == ports::runner_verdict::done ? 1000 : -1};
        handle_poll_answer(w.f, "h1", w.now, p, w.now, w.events);
    }
    w.now += w.f.settings.runner_lease * 2;
    expire_hosts(w.f, w.now, w.events);
    CHECK(w.f.hosts.contains("h1"));
}

// Guards against a lease for a runner on which a start may still begin: neither the start nor its
// stop had an answer when the leases of the runner expired.
TEST(runner_answers, a_start_with_an_unanswered_stop_is_abandoned_too)
{
    w.add_host("h1");
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_next().starts[0];
    auto& h = w.f.hosts["h1"];
    record_lease(h, lease_end_for(w.f, h, w.now));
    w.answer_start(a, ports::runner_verdict::unknown);
    w.now += 10ms;
    ports::poll_answer p;
    p.call = {ports::runner_verdict::done, 1010};
    handle_poll_answer(w.f, "h1", w.now, p, w.now, w.events);
    LONGS_EQUAL(1, w.plan_next().stops.size());
    handle_stop_answer(
        w.f, "h1", a.task, a.run, {ports::runner_verdict::unknown, -1}, w.now, w.events);
    p.call = {ports::runner_verdict::unknown, -1};
    handle_poll_answer(w.f, "h1", w.now, p, w.now, w.events);
    w.now += w.f.settings.runner_lease * 2;
    expire_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(0, w.f.jobs.at("a")->live_runs);
    p.call = {ports::runner_verdict::done, 6000};
    handle_poll_answer(w.f, "h1", w.now, p, w.now, w.events);
    LONGS_EQUAL(0, lease_end_for(w.f, h, w.now));
    LONGS_EQUAL(1, w.plan_next().stops.size());
}

TEST(runner_answers, an_orphaned_run_is_stopped)
{
    w.add_host("h1");
    ports::poll_answer p;
    p.call = {ports::runner_verdict::done, 1000};
    p.running = {{"gone.0.0.0", 3, {}, 10, 0}};
    handle_poll_answer(w.f, "h1", w.now, p, w.now, w.events);
    LONGS_EQUAL(1, w.f.orphaned_runs.size());
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(
        0, w.plan_next().starts.size()); // the capacity that the orphaned run occupies is unknown
}

TEST(runner_answers, a_newer_token_ends_the_term)
{
    w.add_host("h1");
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_next().starts[0];
    CHECK_FALSE(handle_start_answer(
        w.f, "h1", a.task, a.run, {ports::runner_verdict::fenced, 1}, w.now, w.events));
}

// Failure: a runner lists its ends out of order. If only ends above the newest number were applied,
// the other runs would count as missing, and finished tasks would start again.
TEST(runner_answers, ends_are_applied_in_any_order)
{
    w.add_host("h1");
    w.accept_job(make_job("a", {make_step(3, 1000)}));
    const auto p = w.plan_next();
    LONGS_EQUAL(3, p.starts.size());
    for (const auto& it : p.starts)
    {
        w.answer_start(it);
    }
    ports::poll_answer all;
    all.call = {ports::runner_verdict::done, 1000};
    constexpr auto done = ports::run_end::done;
    all.ended = {{3, "a.0.0.2", p.starts[2].run, done, {}},
        {1, "a.0.0.0", p.starts[0].run, done, {}},
        {2, "a.0.0.1", p.starts[1].run, done, {}}};
    w.now += 10ms;
    handle_poll_answer(w.f, "h1", w.now, all, w.now, w.events);
    LONGS_EQUAL(3, w.f.hosts["h1"].last_applied_end);
    CHECK(w.f.jobs.at("a")->state == workflow::job_state::completed);
    LONGS_EQUAL(0, w.plan_next().starts.size());
}

// More ends are pending at the runner than one answer lists. A run in neither list may be one of
// them: it is neither over nor lost until an answer with all ends arrives.
TEST(runner_answers, a_run_is_not_missing_while_ends_are_truncated)
{
    w.add_host("h1");
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_next().starts[0];
    w.answer_start(a);
    ports::poll_answer part;
    part.call = {ports::runner_verdict::done, 1000};
    part.ends_truncated = true;
    w.now += 10ms;
    handle_poll_answer(w.f, "h1", w.now, part, w.now, w.events);
    LONGS_EQUAL(1, w.f.jobs.at("a")->live_runs);
    part.ends_truncated = false;
    handle_poll_answer(w.f, "h1", w.now, part, w.now, w.events);
    LONGS_EQUAL(0, w.f.jobs.at("a")->live_runs);
}

/// A job that a previous coordinator accepted and started, and a runner that may have a run of it.
void add_inherited_job_and_host(fleet_fixture& w, const std::string& host)
{
    w.f.term = 1;
    w.f.term_start_revision = 100;
    inherited_host p;
    p.ref = {host, host + ":1", {}};
    p.pool = "p";
    add_inherited_hosts(w.f, {p}, w.now);
    auto& h = w.f.hosts.at(host);
    h.capacity = {host_cpu, 65536, 0};
    h.listed = true;
    w.accept_job(make_job("a", {make_step(1, 1000)}));
}

/// Lets the host answer a poll that was sent now.
void hear_from(fleet_fixture& w, const std::string& host)
{
    handle_poll_answer(
        w.f, host, w.now, {{ports::runner_verdict::done, 1000}, {}, {}}, w.now, w.events);
}

// Failure: a new coordinator is slow, and the answer to its first poll of a runner is unread until
// the leases of the previous coordinator have expired. If the runner were treated as unresponsive,
// the task would start on another one, and the end in the unread answer would be applied too late.
TEST(runner_answers, an_inherited_runner_does_not_expire_before_it_was_polled)
{
    add_inherited_job_and_host(w, "h1");
    w.now += 10s;
    w.add_host("h2");
    expire_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(0, w.plan_next().starts.size());
    w.f.hosts.at("h1").polled_at = w.now;
    handle_renewal_answer(w.f, "h1", {ports::runner_verdict::not_sent, -1}, w.now, w.events);
    hear_from(w, "h2");
    expire_hosts(w.f, w.now, w.events); // the call was not sent: the fault may be in this process
    LONGS_EQUAL(0, w.plan_next().starts.size());
    handle_renewal_answer(w.f, "h1", {ports::runner_verdict::unknown, -1}, w.now, w.events);
    expire_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(1, w.plan_next().starts.size());
}

// Failure: the link of a new coordinator is full, and no runner's answer arrives. Guards against
// taking all runners for lost, whose answers then arrive with the ends of tasks that run again.
TEST(runner_answers, an_inherited_runner_does_not_expire_while_no_runner_is_heard)
{
    add_inherited_job_and_host(w, "h1");
    w.add_host("h2");
    const auto lose_call = [&]
    {
        auto& h = w.f.hosts.at("h1");
        h.polled_at = w.now;
        w.now += 700ms;
        handle_renewal_answer(w.f, "h1", {ports::runner_verdict::unknown, -1}, w.now, w.events);
        expire_hosts(w.f, w.now, w.events);
    };
    w.now += 10s;
    lose_call();
    lose_call();
    CHECK(w.f.hosts.at("h1").inherited);
    w.now += 20ms;
    hear_from(w, "h2");
    w.now += 20ms;
    lose_call(); // sent after the call that was answered
    CHECK(w.f.hosts.at("h1").inherited);
    w.f.hosts.at("h1").polled_at = w.now;
    hear_from(w, "h2");
    handle_renewal_answer(w.f, "h1", {ports::runner_verdict::unknown, -1}, w.now, w.events);
    expire_hosts(w.f, w.now, w.events);
    CHECK_FALSE(w.f.hosts.at("h1").inherited);
}

// Failure: a runner is lost for good, and those that are left have nothing to report, so that each
// of their polls is open for longer than a call to the lost one. Guards against tasks that wait for
// it for ever.
TEST(runner_answers, an_inherited_runner_expires_beside_runners_whose_answers_take_longer)
{
    add_inherited_job_and_host(w, "h1");
    w.add_host("h2");
    w.now += 10s;
    for (int i = 0; i < 2; ++i)
    {
        const auto lost_sent_at = w.now;
        const auto other_sent_at = w.now + 100ms;
        w.now += 700ms;
        handle_poll_answer(w.f,
            "h1",
            lost_sent_at,
            {{ports::runner_verdict::unknown, -1}, {}, {}},
            w.now,
            w.events);
        expire_hosts(w.f, w.now, w.events);
        CHECK_EQUAL(i == 0, w.f.hosts.at("h1").inherited);
        w.now += 110ms;
        handle_poll_answer(w.f,
            "h2",
            other_sent_at,
            {{ports::runner_verdict::done, 1000 + i}, {}, {}},
            w.now,
            w.events);
        w.now += 40ms;
        expire_hosts(w.f, w.now, w.events);
        CHECK_FALSE(w.f.hosts.at("h1").inherited);
    }
}

// Failure: the leases of a runner expire without an answer, and it answers before its task is
// started again. The task had finished in time. Its end must count, since this coordinator has
// ordered no run of the task; starting it would run it twice.
TEST(runner_answers, a_late_end_counts_while_no_newer_run_was_ordered)
{
    add_inherited_job_and_host(w, "h1");
    w.now += 10s;
    w.f.hosts.at("h1").polled_at = w.now;
    handle_renewal_answer(w.f, "h1", {ports::runner_verdict::unknown, -1}, w.now, w.events);
    w.add_host("h3");
    hear_from(w, "h3");
    w.f.hosts.erase("h3");
    expire_hosts(w.f, w.now, w.events);
    CHECK_FALSE(w.f.hosts.at("h1").inherited);
    ports::poll_answer late;
    late.call = {ports::runner_verdict::done, 1000};
    late.ended = {{1, "a.0.0.0", 2, ports::run_end::done, {}}};
    handle_poll_answer(w.f, "h1", w.now, late, w.now, w.events);
    w.add_host("h2");
    LONGS_EQUAL(0, w.plan_next().starts.size());
    CHECK(w.f.jobs.at("a")->state == workflow::job_state::completed);
}
