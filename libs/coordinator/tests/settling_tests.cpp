#include "world.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(settling)
{
    world w;
};

// A start gets no answer. Until the runner has confirmed a stop and no longer lists the run, the
// task keeps its room and starts nowhere else.
TEST(settling, an_unanswered_start_is_settled_by_a_stop)
{
    w.add_host("h1");
    w.add_host("h2");
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.next().starts[0];
    w.started(a, ports::runner_verdict::unknown);
    LONGS_EQUAL(0, w.next().starts.size());
    ports::poll_answer nothing;
    nothing.call = {ports::runner_verdict::done, 1000};
    w.now += 10ms;
    poll_answered(w.f, a.host.id, w.now, nothing, w.now, w.events);
    const auto p = w.next();
    LONGS_EQUAL(0, p.starts.size());
    LONGS_EQUAL(1, p.stops.size());
    w.now += 10ms;
    stop_answered(
        w.f, a.host.id, a.task, a.run, {ports::runner_verdict::done, 1000}, w.now, w.events);
    poll_answered(w.f, a.host.id, w.now - 5ms, nothing, w.now, w.events);
    LONGS_EQUAL(0, w.next().starts.size()); // that look began before the stop was confirmed
    w.now += 10ms;
    poll_answered(w.f, a.host.id, w.now, nothing, w.now, w.events);
    const auto again = w.next().starts;
    LONGS_EQUAL(1, again.size());
    CHECK(again[0].run > a.run);
}

// A runner goes silent. Its tasks may start elsewhere only when its own clock, which may be slow,
// has certainly passed every lease that was granted.
TEST(settling, a_silent_runner_lapses_by_its_own_clock)
{
    w.add_host("h1");
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.next().starts[0];
    auto& h = w.f.hosts["h1"];
    note_lease(h, lease_end_for(w.f, h, w.now));
    w.started(a);
    ports::poll_answer silent;
    silent.call = {ports::runner_verdict::unknown, -1};
    poll_answered(w.f, "h1", w.now, silent, w.now, w.events);
    LONGS_EQUAL(0, lease_end_for(w.f, h, w.now)); // nothing more is granted
    w.now += w.f.settings.runner_lease + 100ms;
    lapse_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(1, w.f.jobs.at("a")->live_runs);
    w.now += 300ms + w.f.settings.runner_lease / 40;
    lapse_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(0, w.f.jobs.at("a")->live_runs);
}

// A start without an answer is given up with its runner's leases. Its runner is back: with a lease
// it might carry the order out, beside the task's next run.
TEST(settling, a_runner_with_a_given_up_start_gets_no_lease_before_it_is_stopped)
{
    w.add_host("h1");
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.next().starts[0];
    auto& h = w.f.hosts["h1"];
    note_lease(h, lease_end_for(w.f, h, w.now));
    w.started(a, ports::runner_verdict::unknown);
    ports::poll_answer silent;
    silent.call = {ports::runner_verdict::unknown, -1};
    poll_answered(w.f, "h1", w.now, silent, w.now, w.events);
    w.now += 2 * w.f.settings.runner_lease;
    lapse_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(0, w.f.jobs.at("a")->live_runs);
    LONGS_EQUAL(0, w.next().stops.size()); // nobody hears it
    ports::poll_answer nothing;
    nothing.call = {ports::runner_verdict::done, 6000};
    poll_answered(w.f, "h1", w.now, nothing, w.now, w.events);
    LONGS_EQUAL(0, lease_end_for(w.f, h, w.now));
    const auto p = w.next();
    LONGS_EQUAL(0, p.starts.size());
    LONGS_EQUAL(1, p.stops.size());
    LONGS_EQUAL(a.run, p.stops[0].run);
    stop_answered(w.f, "h1", a.task, a.run, {ports::runner_verdict::unknown, -1}, w.now, w.events);
    LONGS_EQUAL(0, w.next().stops.size());
    w.now += w.f.settings.stop_retry_delay;
    LONGS_EQUAL(1, w.next().stops.size());
    stop_answered(w.f, "h1", a.task, a.run, {ports::runner_verdict::done, 1}, w.now, w.events);
    CHECK(lease_end_for(w.f, h, w.now) > 0);
    LONGS_EQUAL(1, w.next().starts.size());
}

// A runner refuses a start each time. Ordered again at once, the task would keep the process and
// the runner busy with nothing else.
TEST(settling, a_refused_start_is_not_ordered_again_at_once)
{
    w.add_host("h1");
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.next().starts[0];
    w.started(a, ports::runner_verdict::malformed);
    LONGS_EQUAL(0, w.f.hosts["h1"].used.cpu);
    LONGS_EQUAL(0, w.next().starts.size());
    w.now += w.f.settings.refused_start_delay;
    const auto again = w.next().starts;
    LONGS_EQUAL(1, again.size());
    CHECK(again[0].run > a.run);
}

// Guards against starting tasks a second time while their runner, cut off, still works: an address
// may be handed on before the leases of the runner that had it have ended.
TEST(settling, another_life_at_an_address_ends_the_runner_there_once_its_leases_have)
{
    w.add_host("h1");
    w.add_host("h2");
    auto s = make_step(6, 1000);
    s.max_per_host = 3;
    w.add(make_job("a", {s}));
    const auto p = w.next();
    for (const auto& it : p.starts)
    {
        w.started(it);
    }
    ports::poll_answer other;
    other.call = {ports::runner_verdict::other_life, -1};
    note_lease(w.f.hosts["h1"], lease_end_for(w.f, w.f.hosts["h1"], w.now));
    poll_answered(w.f, "h1", w.now, other, w.now, w.events);
    LONGS_EQUAL(0, lease_end_for(w.f, w.f.hosts["h1"], w.now));
    lapse_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(6, w.f.jobs.at("a")->live_runs);
    w.now += w.f.settings.runner_lease * 2;
    lapse_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(3, w.f.jobs.at("a")->live_runs);
    CHECK_FALSE(w.f.hosts.contains("h1"));
}

// Guards against starting a task elsewhere when a copy of its start meets another runner at the
// address: another copy may have reached the one that had it.
TEST(settling, a_start_that_another_life_answers_is_not_over)
{
    w.add_host("h1");
    w.add_host("h2");
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.next().starts[0];
    w.started(a, ports::runner_verdict::other_life);
    w.now += 2 * w.f.settings.refused_start_delay;
    LONGS_EQUAL(1, w.f.jobs.at("a")->live_runs);
    LONGS_EQUAL(0, w.next().starts.size());
}

// Guards against ending a runner that answers again for what another one at its address said
// before.
TEST(settling, a_runner_that_answers_again_has_its_address_back)
{
    w.add_host("h1");
    auto& h = w.f.hosts["h1"];
    note_lease(h, lease_end_for(w.f, h, w.now));
    for (const auto it : {ports::runner_verdict::other_life,
             ports::runner_verdict::done,
             ports::runner_verdict::unknown})
    {
        ports::poll_answer p;
        p.call = {it, it == ports::runner_verdict::done ? 1000 : -1};
        poll_answered(w.f, "h1", w.now, p, w.now, w.events);
    }
    w.now += w.f.settings.runner_lease * 2;
    lapse_hosts(w.f, w.now, w.events);
    CHECK(w.f.hosts.contains("h1"));
}

// Guards against a lease for a runner on which a start that was being stopped may still begin: the
// stop had no answer either when the runner's leases ended.
TEST(settling, a_start_with_an_unanswered_stop_is_given_up_as_one_without)
{
    w.add_host("h1");
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.next().starts[0];
    auto& h = w.f.hosts["h1"];
    note_lease(h, lease_end_for(w.f, h, w.now));
    w.started(a, ports::runner_verdict::unknown);
    w.now += 10ms;
    ports::poll_answer p;
    p.call = {ports::runner_verdict::done, 1010};
    poll_answered(w.f, "h1", w.now, p, w.now, w.events);
    LONGS_EQUAL(1, w.next().stops.size());
    stop_answered(w.f, "h1", a.task, a.run, {ports::runner_verdict::unknown, -1}, w.now, w.events);
    p.call = {ports::runner_verdict::unknown, -1};
    poll_answered(w.f, "h1", w.now, p, w.now, w.events);
    w.now += w.f.settings.runner_lease * 2;
    lapse_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(0, w.f.jobs.at("a")->live_runs);
    p.call = {ports::runner_verdict::done, 6000};
    poll_answered(w.f, "h1", w.now, p, w.now, w.events);
    LONGS_EQUAL(0, lease_end_for(w.f, h, w.now));
    LONGS_EQUAL(1, w.next().stops.size());
}

TEST(settling, a_run_that_nobody_knows_is_stopped)
{
    w.add_host("h1");
    ports::poll_answer p;
    p.call = {ports::runner_verdict::done, 1000};
    p.running = {{"gone.0.0.0", 3, {}, 10, 0}};
    poll_answered(w.f, "h1", w.now, p, w.now, w.events);
    LONGS_EQUAL(1, w.f.orphaned_runs.size());
    w.add(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(0, w.next().starts.size()); // its room is not known
}

TEST(settling, a_newer_token_ends_the_ownership)
{
    w.add_host("h1");
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.next().starts[0];
    CHECK_FALSE(start_answered(
        w.f, "h1", a.task, a.run, {ports::runner_verdict::fenced, 1}, w.now, w.events));
}

// A runner lists its ends in another order than they came. Were only those above the newest one
// taken in, the others' runs would count as missing, and tasks that are done would start again.
TEST(settling, ends_are_taken_in_whatever_their_order)
{
    w.add_host("h1");
    w.add(make_job("a", {make_step(3, 1000)}));
    const auto p = w.next();
    LONGS_EQUAL(3, p.starts.size());
    for (const auto& it : p.starts)
    {
        w.started(it);
    }
    ports::poll_answer all;
    all.call = {ports::runner_verdict::done, 1000};
    constexpr auto done = ports::run_end::done;
    all.ended = {{3, "a.0.0.2", p.starts[2].run, done, {}},
        {1, "a.0.0.0", p.starts[0].run, done, {}},
        {2, "a.0.0.1", p.starts[1].run, done, {}}};
    w.now += 10ms;
    poll_answered(w.f, "h1", w.now, all, w.now, w.events);
    LONGS_EQUAL(3, w.f.hosts["h1"].last_applied_end);
    CHECK(w.f.jobs.at("a")->state == workflow::job_state::completed);
    LONGS_EQUAL(0, w.next().starts.size());
}

// More ends wait at the runner than an answer lists. A run in neither list may be one of them: it
// is neither over nor lost until an answer that leaves nothing out.
TEST(settling, a_run_is_not_missing_while_ends_are_left_out)
{
    w.add_host("h1");
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.next().starts[0];
    w.started(a);
    ports::poll_answer part;
    part.call = {ports::runner_verdict::done, 1000};
    part.ends_truncated = true;
    w.now += 10ms;
    poll_answered(w.f, "h1", w.now, part, w.now, w.events);
    LONGS_EQUAL(1, w.f.jobs.at("a")->live_runs);
    part.ends_truncated = false;
    poll_answered(w.f, "h1", w.now, part, w.now, w.events);
    LONGS_EQUAL(0, w.f.jobs.at("a")->live_runs);
}

/// A job that a former owner took in and began, and a runner that may hold its task.
void inherit(world& w, const std::string& host)
{
    w.f.term = 1;
    w.f.term_start_revision = 100;
    inherited_host p;
    p.ref = {host, host + ":1", {}};
    p.pool = "p";
    add_prior_hosts(w.f, {p}, w.now);
    auto& h = w.f.hosts.at(host);
    h.capacity = {host_cpu, 65536, 0};
    h.listed = true;
    w.add(make_job("a", {make_step(1, 1000)}));
}

// A new owner is slow: its first poll of a runner is answered, and the answer lies unread until the
// former owner's leases have ended. Were the runner taken for silent, the task would start on
// another one, and the end that the answer tells of would come too late.
TEST(settling, a_former_owners_runner_does_not_lapse_before_it_was_asked)
{
    inherit(w, "h1");
    w.now += 10s;
    w.add_host("h2");
    lapse_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(0, w.next().starts.size());
    contact_answered(w.f, "h1", {ports::runner_verdict::not_sent, -1}, w.now, w.events);
    lapse_hosts(w.f, w.now, w.events); // the call did not leave: the fault may be on this side
    LONGS_EQUAL(0, w.next().starts.size());
    contact_answered(w.f, "h1", {ports::runner_verdict::unknown, -1}, w.now, w.events);
    lapse_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(1, w.next().starts.size());
}

// A runner's leases have ended unheard, and the task waits. Before it is started anew the runner
// answers after all: the task had ended done in time. That end counts, as this owner has ordered
// no run of the task; starting it would run it twice.
TEST(settling, an_end_heard_late_counts_while_no_newer_run_was_ordered)
{
    inherit(w, "h1");
    w.now += 10s;
    contact_answered(w.f, "h1", {ports::runner_verdict::unknown, -1}, w.now, w.events);
    lapse_hosts(w.f, w.now, w.events);
    CHECK_FALSE(w.f.hosts.at("h1").inherited);
    ports::poll_answer late;
    late.call = {ports::runner_verdict::done, 1000};
    late.ended = {{1, "a.0.0.0", 2, ports::run_end::done, {}}};
    poll_answered(w.f, "h1", w.now, late, w.now, w.events);
    w.add_host("h2");
    LONGS_EQUAL(0, w.next().starts.size());
    CHECK(w.f.jobs.at("a")->state == workflow::job_state::completed);
}
