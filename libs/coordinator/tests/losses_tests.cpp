#include "coordinator/explain.hpp"
#include "losing_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;
using workflow::job_state;

TEST_GROUP(losses)
{
    losing_world w;

    void setup() override
    {
        for (int i = 0; i < 6; ++i)
        {
            w.add_host("h" + std::to_string(i));
        }
    }
};

// Whatever the task's kind is, its crashes are counted and its job is given up.
TEST(losses, a_task_that_crashes_its_hosts_is_given_up)
{
    auto plain = make_step(1, 1000);
    auto lasting = plain;
    lasting.long_running = true;
    auto filling = lasting;
    filling.best_effort = true;
    auto gang = make_step(2, 1000);
    gang.gang = true;
    for (const auto& it : {plain, lasting, filling, gang})
    {
        losing_world each;
        for (int i = 0; i < 6; ++i)
        {
            each.add_host("h" + std::to_string(i));
        }
        each.add(make_job("a", {it}));
        LONGS_EQUAL(3, each.crash_all(9));
        CHECK(each.state("a") == job_state::failed);
        LONGS_EQUAL(1, each.said("job_failed"));
    }
}

// Each occurrence of a scheduled job has tasks of its own: crashes of one say nothing of the next.
TEST(losses, occurrences_are_counted_apart)
{
    auto j = make_job("a", {make_step(1, 1000)});
    j.timing = {3, wall - 5000, 1000};
    w.add(j);
    w.lose_all(2);
    CHECK(w.state("a") != job_state::failed);
    LONGS_EQUAL(6, w.losses("a"));
}

// Hosts that are moved, maintained, drained or emptied crash under nobody.
TEST(losses, planned_ends_count_nothing)
{
    w.add(make_job("a", {make_step(1, 1000)}));
    for (const auto proof : {life_proof::moved, life_proof::no_life})
    {
        const auto a = w.starts().at(0);
        w.started(a);
        w.lose_host(a.host.id, proof);
    }
    const auto drained = w.starts().at(0);
    w.started(drained);
    w.f.hosts.at(drained.host.id).draining = true;
    w.lose_host(drained.host.id);
    const auto closed = w.starts().at(0);
    w.started(closed);
    w.f.hosts.at(closed.host.id).availability = host_availability::closed_for_maintenance;
    w.lose_host(closed.host.id);
    LONGS_EQUAL(0, w.losses("a"));
    LONGS_EQUAL(1, w.starts().size());
}

// A runner that is cut off and answers again has crashed under nobody.
TEST(losses, silence_that_heals_is_withdrawn)
{
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.starts().at(0);
    w.started(a);
    w.lapse_host(a.host.id);
    LONGS_EQUAL(1, w.losses("a"));
    w.answers(a.host.id);
    LONGS_EQUAL(0, w.losses("a"));
    LONGS_EQUAL(1, w.said("loss_withdrawn"));
}

// The next life of a silent runner's machine shows up after the runner was given up, and forgotten.
TEST(losses, silence_becomes_certain_by_the_next_life)
{
    for (const bool forgotten : {false, true})
    {
        losing_world each;
        each.add_host("h1");
        each.add(make_job("a", {make_step(1, 1000)}));
        const auto a = each.starts().at(0);
        each.started(a);
        each.f.hosts.at("h1").listed = !forgotten;
        each.lapse_host("h1");
        LONGS_EQUAL(forgotten ? 0 : 1, each.f.hosts.size());
        const auto& lost = each.f.jobs.at("a")->tasks[0].progress.lost_runs;
        CHECK_FALSE(lost.at(0).certain);
        each.list_next_life("h1");
        CHECK(lost.at(0).certain);
        CHECK(each.f.uncertain_losses.empty());
    }
}

// Guards against a crash that isn't counted, since the silent host was chosen for a move before its
// leases had ended.
TEST(losses, a_host_that_is_closed_after_its_last_answer_counts)
{
    for (const bool closed_before : {true, false})
    {
        losing_world each;
        each.add_host("h1");
        each.add(make_job("a", {make_step(1, 1000)}));
        const auto a = each.starts().at(0);
        each.started(a);
        auto& h = each.f.hosts.at("h1");
        h.availability = host_availability::closed_for_move;
        h.closed_at = h.last_answer_at + (closed_before ? -1ms : 1ms);
        each.lapse_host("h1");
        LONGS_EQUAL(closed_before ? 0 : 1, each.losses("a"));
    }
}

// Guards against a crash that stays uncertain for ever, since the host was lost before any list of
// machines had named its own: a list that names it late still tells whose life it was.
TEST(losses, a_host_that_was_lost_before_it_was_listed_is_known_by_a_later_list)
{
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.starts().at(0);
    w.started(a);
    w.f.hosts.at(a.host.id).listed = false; // it is forgotten
    w.lapse_host(a.host.id);
    w.f.uncertain_losses.at(a.host.id).machine.clear();
    machine_table list;
    list.known = true;
    list.machines["m"] = {"m", "p", "z", a.host.id, ports::machine_state::up};
    list.read_at = w.now;
    match_machines(w.f, list, {}, w.now, w.events);
    list.machines["m"].runner = "another";
    list.read_at = w.now + 10ms;
    match_machines(w.f, list, {}, w.now, w.events);
    CHECK(w.f.jobs.at("a")->tasks[0].progress.lost_runs.at(0).certain);
}

// A start without an answer may never have reached the runner that ended. Guards against giving its
// job up, against starts without end, and against a task that is held back for ever.
TEST(losses, an_unconfirmed_start_is_never_certain)
{
    w.add(make_job("a", {make_step(1, 1000)}));
    std::vector<core::mono_time> started;
    const auto end = w.now + 120s;
    while (w.now < end)
    {
        const auto all = w.starts();
        if (!all.empty())
        {
            started.push_back(w.now);
            w.lose_host(all[0].host.id);
        }
        w.wait(1s);
    }
    CHECK(started.size() > 5);
    for (std::size_t i = 5; i < started.size(); ++i)
    {
        CHECK(started[i] - started[i - 1] >= w.f.settings.last_resort_wait);
    }
    CHECK(w.state("a") != job_state::failed);
}

// Three lost runs, none of them certain: the next start waits for certainty, not for ever.
TEST(losses, a_doubt_holds_the_next_start_back)
{
    w.add(make_job("a", {make_step(1, 1000)}));
    for (int i = 0; i < 3; ++i)
    {
        const auto a = w.starts().at(0);
        w.started(a);
        w.lapse_host(a.host.id);
    }
    LONGS_EQUAL(0, w.starts().size());
    LONGS_EQUAL(1, w.said("start_withheld"));
    const auto lines = explain_job(w.f, "a", w.now, wall);
    CHECK(lines.at(0).find("held back") != std::string::npos);
    w.wait(w.f.settings.uncertain_loss_wait);
    LONGS_EQUAL(1, w.starts().size());
}

// The store is away: a successor of an owner that starts the task now would not know of the loss.
TEST(losses, no_start_before_the_loss_is_stored)
{
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.starts().at(0);
    w.started(a);
    w.stores = false;
    w.lose_host(a.host.id);
    w.add(make_job("b", {make_step(1, 1000)}));
    const auto other = w.starts();
    LONGS_EQUAL(1, other.size());
    STRCMP_EQUAL("b", other[0].task.job.c_str());
    w.stores = true;
    w.store_all();
    LONGS_EQUAL(1, w.starts().size());
}

// An owner dies with a crash that it hasn't stored: its successor finds the host gone.
TEST(losses, a_crash_that_nobody_stored_counts_with_the_next)
{
    for (const bool gone : {false, true})
    {
        losing_world each;
        for (int i = 0; i < 6; ++i)
        {
            each.add_host("h" + std::to_string(i));
        }
        each.f.term = 1;
        each.f.term_start_revision = 5;
        each.add(make_job("a", {make_step(1, 1000)}));
        if (gone)
        {
            add_prior_hosts(each.f, {{{"p1", "p1:1", {}}, "m1", "p", 2500ms}}, each.now);
            end_host(each.f, "p1", life_proof::other_life, each.now, each.events);
        }
        LONGS_EQUAL(1, each.crash_all(1));
        LONGS_EQUAL(gone ? 2 : 1, each.losses("a"));
        LONGS_EQUAL(gone ? 1 : 2, each.crash_all(9)); // until its job is given up
        CHECK(each.state("a") == job_state::failed);
    }
}

// An owner dies with a trial under way that still works: it is the trial that was entered, and no
