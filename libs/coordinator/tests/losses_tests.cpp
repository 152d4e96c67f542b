#include "coordinator/explain.hpp"
#include "coordinator/waves.hpp"
#include "world.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;
using workflow::job_state;

namespace
{

/// A fleet whose store takes each write at once, unless told otherwise.
struct losing_world : world
{
    bool stores = true;
    int lives = 0;

    void store_all()
    {
        for (auto& [id, j] : f.jobs)
        {
            j->losses_stored = stores ? j->losses_noted : j->losses_stored;
        }
    }

    /// \return the starts of the next plans: a trial is entered by one and ordered by the next.
    std::vector<start_action> starts()
    {
        auto out = next().starts;
        store_all();
        auto more = next().starts;
        out.insert(out.end(), more.begin(), more.end());
        store_all();
        return out;
    }

    /// The host's life ends, and another host takes its place.
    void lose_host(const std::string& id, life_proof proof = life_proof::other_life)
    {
        const auto rack = f.hosts.at(id).rack;
        end_host(f, id, proof, now, events);
        add_host("next" + std::to_string(++lives), rack);
        store_all();
    }

    /// The host is silent until all its leases have ended.
    void lapse_host(const std::string& id)
    {
        auto& h = f.hosts.at(id);
        h.machine = "of-" + id;
        h.reachable = false;
        h.lease_until_ms = h.clock_ms;
        now += 3s;
        lapse_hosts(f, now, events);
        wait(0ms);
        store_all();
    }

    void answers(const std::string& id)
    {
        ports::poll_answer p;
        p.call = {ports::runner_verdict::done, 100000};
        poll_answered(f, id, now, p, now, events);
    }

    /// The list of machines shows the next life of the host's machine.
    void list_next_life(const std::string& id)
    {
        machine_table list;
        list.known = true;
        now += 10ms;
        list.read_at = now;
        list.machines["of-" + id] = {"of-" + id, "p", "z", "another", ports::machine_state::up};
        match_machines(f, list, {}, now, events);
        store_all();
    }

    /// Starts the one task that waits, and loses its host as often as it starts, at most \p most
    /// times. \return how often it started.
    int crash_all(int most)
    {
        int n = 0;
        while (n < most)
        {
            const auto all = starts();
            if (all.empty())
            {
                break;
            }
            for (const auto& it : all)
            {
                started(it);
            }
            ++n;
            lose_host(all[0].host.id);
        }
        return n;
    }

    /// Starts what waits and loses all hosts with runs, so many times.
    void lose_all(int times)
    {
        for (int i = 0; i < times; ++i)
        {
            for (const auto& it : starts())
            {
                started(it);
            }
            std::vector<std::string> used;
            for (const auto& [id, h] : f.hosts)
            {
                if (!h.runs.empty())
                {
                    used.push_back(id);
                }
            }
            for (const auto& id : used)
            {
                lose_host(id);
            }
        }
    }

    /// Time passes, and all hosts answer.
    void wait(core::millis time)
    {
        now += time;
        for (auto& [id, h] : f.hosts)
        {
            h.last_answer = h.reachable ? now : h.last_answer;
        }
    }

    job_state state(const std::string& id) const
    {
        return f.jobs.at(id)->state;
    }

    int losses(const std::string& id) const
    {
        return f.jobs.at(id)->losses;
    }

    int said(const std::string& what) const
    {
        int n = 0;
        for (const auto& it : events)
        {
            n += it.what == what ? 1 : 0;
        }
        return n;
    }
};

} // namespace

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
    filling.fills = true;
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
    w.f.hosts.at(closed.host.id).use = host_use::closed_for_maintenance;
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
        CHECK(each.f.doubts.empty());
    }
}

// A start without an answer may never have reached the runner that ended.
TEST(losses, an_unconfirmed_start_is_never_certain)
{
    w.add(make_job("a", {make_step(1, 1000)}));
    int n = 0;
    for (int i = 0; i < 20; ++i)
    {
        const auto all = w.starts();
        if (!all.empty())
        {
            ++n;
            w.lose_host(all[0].host.id);
        }
        w.wait(w.f.settings.doubt_wait);
    }
    LONGS_EQUAL(5, n);
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
    w.wait(w.f.settings.doubt_wait);
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

// A suspect is tried where nothing else runs, and nothing joins it there.
TEST(losses, a_suspect_runs_alone)
{
    w.add(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(2, w.crash_all(2));
    w.add(make_job("b", {make_step(12, 1000)}));
    std::string host;
    for (const auto& it : w.starts())
    {
        host = it.task.job == "a" ? it.host.id : host;
    }
    CHECK(!host.empty());
    w.add(make_job("c", {make_step(30, 1000)}));
    w.starts();
    LONGS_EQUAL(1, w.f.hosts.at(host).runs.size());
}

// Many suspects at a time would take the whole pool down.
TEST(losses, few_suspects_are_tried_at_a_time)
{
    struct row
    {
        int busy; ///< of 24 hosts
        std::size_t trials;
    };
    for (const auto& it : {row{0, 12}, row{14, 5}, row{22, 2}})
    {
        losing_world each;
        for (int i = 0; i < 24; ++i)
        {
            each.add_host("h" + std::to_string(i));
        }
        each.add(make_job("a", {make_step(24, host_cpu)}));
        each.lose_all(2);
        LONGS_EQUAL(48, each.losses("a"));
        int busy = 0;
        for (auto& [id, h] : each.f.hosts)
        {
            h.strays = busy++ < it.busy ? 1 : 0; // they take no task, and hold something
        }
        LONGS_EQUAL(it.trials, each.starts().size());
        LONGS_EQUAL(0, each.starts().size());
    }
}

// Tasks that last may leave no host of the pool empty: a suspect may not wait for one for ever.
TEST(losses, a_suspect_that_finds_no_empty_host_is_tried_beside_others)
{
    losing_world each;
    each.add_host("h1");
    each.add_host("h2");
    each.add(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(2, each.crash_all(2));
    auto s = make_step(2, 1000);
    s.most_per_host = 1;
    s.long_running = true;
    each.f.jobs.at("a")->tasks[0].not_before = each.now + 1ms; // the other job comes first
    each.add(make_job("b", {s}));
    LONGS_EQUAL(2, each.starts().size());
    each.now += 1ms;
    LONGS_EQUAL(0, each.starts().size());
    each.now += each.f.settings.trial_patience;
    LONGS_EQUAL(1, each.starts().size());
}

// A rack's power fails twice: the jobs of those who lost their hosts may not be failed for it.
TEST(losses, innocents_are_not_given_up)
{
    w.add(make_job("a", {make_step(8, 1000)}));
    w.lose_all(2);
    LONGS_EQUAL(16, w.losses("a"));
    std::map<std::string, std::int64_t> ends; // by host
    for (int left = 8; left > 0;)
    {
        const auto all = w.starts();
        CHECK(!all.empty());
        for (const auto& it : all)
        {
            w.started(it);
            w.ended(it, ports::run_end::done, ++ends[it.host.id]);
        }
        left -= static_cast<int>(all.size());
    }
    CHECK(w.state("a") == job_state::completed);
}

// A suspect that works would hold a host for itself as long as it lasts.
TEST(losses, a_run_that_has_worked_long_clears_its_task)
{
    auto s = make_step(1, 1000);
    s.long_running = true;
    w.add(make_job("a", {s}));
    LONGS_EQUAL(2, w.crash_all(2));
    const auto a = w.starts().at(0);
    w.started(a);
    LONGS_EQUAL(1, w.f.hosts.at(a.host.id).trials);
    w.now += w.f.settings.trial_time;
    ports::poll_answer p;
    p.call = {ports::runner_verdict::done, 1000};
    p.running = {{"a.0.0.0", a.run, {}, 100, 0}};
    poll_answered(w.f, a.host.id, w.now, p, w.now, w.events);
    LONGS_EQUAL(0, w.losses("a"));
    LONGS_EQUAL(0, w.f.hosts.at(a.host.id).trials);
}

// An owner dies with a trial under way: its successor reads of it before it starts the task.
TEST(losses, a_successor_counts_the_trial_that_it_never_saw)
{
    w.add(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(2, w.crash_all(2));
    const auto a = w.starts().at(0);
    const auto stored = progress_of(*w.f.jobs.at("a"));
    losing_world next;
    next.f.term = 1;
    for (int i = 0; i < 6; ++i)
    {
        next.add_host("n" + std::to_string(i));
    }
    add_job(next.f, make_job("a", {make_step(1, 1000)}), 1, stored, 2);
    LONGS_EQUAL(3, next.losses("a"));
    int n = 0;
    for (int i = 0; i < 4; ++i)
    {
        n += next.crash_all(9);
        next.wait(next.f.settings.doubt_wait);
    }
    LONGS_EQUAL(1, n);
    CHECK(a.run > 0);
    CHECK(next.state("a") == job_state::failed);
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
        each.f.term_began = 5;
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
// loss.
TEST(losses, a_successor_adopts_the_trial)
{
    w.add(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(2, w.crash_all(2));
    const auto a = w.starts().at(0);
    const auto stored = progress_of(*w.f.jobs.at("a"));
    losing_world next;
    next.f.term = 1;
    next.add_host(a.host.id);
    add_job(next.f, make_job("a", {make_step(1, 1000)}), 1, stored, 2);
    ports::poll_answer p;
    p.call = {ports::runner_verdict::done, 1000};
    p.running = {{"a.0.0.0", a.run, {}, 100, 0}};
    poll_answered(next.f, a.host.id, next.now, p, next.now, next.events);
    next.ended(a, ports::run_end::done, 1);
    LONGS_EQUAL(2, next.losses("a"));
    CHECK(next.state("a") == job_state::completed);
}
