#include "coordinator/intake.hpp"
#include "coordinator/placement.hpp"
#include "demand_record.hpp"
#include "host_reader.hpp"
#include "hosted/config_follower.hpp"
#include "hosted_fakes/cluster.hpp"
#include "hosted_fakes/mutations.hpp"
#include "pending_record.hpp"
#include "workflow/checks.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

TEST_GROUP(broken_records)
{
    cluster c;

    void begin(int hosts)
    {
        for (int i = 0; i < hosts; ++i)
        {
            c.hosts.add("p");
        }
        c.add_node();
        CHECK(c.has_leader());
        c.time.run_for(1s);
    }

    std::string entry_key(const std::string& machine) const
    {
        return "runner/" + c.hosts.machines.at(machine).runner;
    }

    /// \return the number of log lines of all nodes that contain both texts.
    std::ptrdiff_t lines_with(const std::string& a, const std::string& b) const
    {
        std::ptrdiff_t n = 0;
        for (const auto& node : c.nodes)
        {
            n += std::count_if(node.log.lines.begin(),
                node.log.lines.end(),
                [&](const auto& it)
                { return it.find(a) != std::string::npos && it.find(b) != std::string::npos; });
        }
        return n;
    }

    void check_all_done(const std::string& job)
    {
        CHECK_TEXT(c.ends(job, job_state::completed, 20s), job.c_str());
        STRCMP_EQUAL("", c.breaches().c_str());
    }
};

// Another writer leaves damaged entries among the runners, sorted before and after the valid ones.
// Jobs run on the valid runners, and each damaged entry is logged once, although the list is read
// many times meanwhile.
TEST(broken_records, damaged_runner_entries_leave_the_others_in_use)
{
    int n = 0;
    for (const auto* const it : {"", "\xff\xfe", "{}", "p 10.0.0.1:80 weary", "p 10.0.0.1:80"})
    {
        c.store.put("runner/a" + std::to_string(++n), it);
        c.store.put("runner/z" + std::to_string(n), it);
    }
    c.store.put("runner/", "p 10.0.0.1:80 weary");
    begin(2);
    c.put_job(c.make_job("a", 4, 2));
    check_all_done("a");
    c.time.run_for(5s);
    LONGS_EQUAL(2 * n + 1, lines_with("runner_entry_damaged", ""));
    LONGS_EQUAL(1, lines_with("runner_entry_damaged", "key=runner/ "));
    c.store.put("runner/", "p 10.0.0.1:80");
    c.time.run_for(5s);
    LONGS_EQUAL(2, lines_with("runner_entry_damaged", "key=runner/ "));
}

// The entry of a busy runner becomes unreadable. Its task is not started elsewhere, because the
// runner continues it under its lease; new work goes to the other runner.
TEST(broken_records, a_known_runner_with_a_damaged_entry_keeps_its_runs)
{
    c.hosts.behaviour.run_time = 8s;
    begin(2);
    c.put_job(c.make_job_on_each("a", 2));
    c.time.run_for(500ms);
    LONGS_EQUAL(2, c.hosts.starts);
    c.store.put(entry_key("m1"), "\xff");
    c.time.run_for(1s);
    c.put_job(c.make_job("b", 4));
    c.time.run_for(1s);
    LONGS_EQUAL(1, c.hosts.machines.at("m1").runs.size());
    LONGS_EQUAL(5, c.hosts.machines.at("m2").runs.size());
    check_all_done("a");
    LONGS_EQUAL(6, c.hosts.starts);
    check_all_done("b");
}

// The entry of a busy runner contains the address of another runner. The runner at that address
// answers that the busy runner is not there. If the coordinator accepted this as evidence of the
// busy runner's end, the task would run a second time beside the first.
TEST(broken_records, another_address_in_a_known_runners_entry_proves_nothing)
{
    c.hosts.behaviour.run_time = 4s;
    begin(2);
    c.put_job(c.make_job_on_each("a", 2));
    c.time.run_for(500ms);
    c.store.put(entry_key("m1"), "p " + c.hosts.machines.at("m2").address + " ready");
    check_all_done("a");
    LONGS_EQUAL(2, c.hosts.starts);
    LONGS_EQUAL(1, lines_with("host_entry_odd", c.hosts.machines.at("m1").runner));
}

// Guards against starting a busy runner's tasks elsewhere: another writer left an entry with the
// address of that runner under an id of its own.
TEST(broken_records, an_entry_with_a_known_runners_address_proves_nothing)
{
    c.hosts.behaviour.run_time = 4s;
    begin(2);
    c.put_job(c.make_job_on_each("a", 2));
    c.time.run_for(500ms);
    c.store.put("runner/odd", "p " + c.hosts.machines.at("m1").address + " ready");
    c.time.run_for(1s);
    c.put_job(c.make_job_on_each("b", 2));
    check_all_done("a");
    check_all_done("b");
    LONGS_EQUAL(4, c.hosts.starts);
}

// An entry names a pool that is in no configuration. No call goes to its address.
TEST(broken_records, a_runner_of_an_unknown_pool_is_not_used)
{
    c.hosts.add("x");
    auto& n = c.add_node();
    n.driver->set_pools({{"p", false}});
    CHECK(c.has_leader());
    c.time.run_for(2s);
    const auto& odd = c.hosts.machines.at("m1").runner;
    LONGS_EQUAL(0, lines_with("host_added", odd));
    LONGS_EQUAL(1, lines_with("runner_entry_damaged", odd));
    n.driver->set_pools({{"p", false}, {"x", false}});
    c.time.run_for(1s);
    LONGS_EQUAL(1, lines_with("host_added", odd));
}

// Job records that cannot be read, or that refer to steps that do not exist, are stored among valid
// ones. The valid jobs run. Each damaged record is logged once per term, even if the store's change
// log is truncated and all records are read again.
TEST(broken_records, damaged_jobs_leave_the_others_running)
{
    auto waits = c.make_job("w", 1);
    waits.steps[0].depends_on = {7};
    auto wide = c.make_job("v", 1);
    wide.steps[0].tasks = std::numeric_limits<int>::max();
    c.store.put("job/0", "");
    c.store.put("job/1", "\xff\xfe");
    c.store.put("job/2", workflow::write_job(c.make_job("a", 3)));
    c.store.put("job/", "{}");
    c.store.put("job//cancel", "1");
    c.store.put("job/w", workflow::write_job(waits));
    c.store.put("job/v", workflow::write_job(wide));
    begin(2);
    c.put_job(c.make_job("a", 2, 2));
    check_all_done("a");
    c.nodes.front().process.store_cut = true;
    c.store.compact();
    c.time.run_for(600ms);
    c.nodes.front().process.store_cut = false;
    CHECK(c.has_leader(10s));
    c.put_job(c.make_job("b", 2));
    check_all_done("b");
    for (const auto* const key : {"job/0", "job/1", "job/2", "job/", "job/w", "job/v"})
    {
        const auto terms = lines_with("jobs_read", "");
        const auto damage_lines = lines_with("record_damaged", std::string{"key="} + key + " ");
        CHECK_TEXT(damage_lines >= 1 && damage_lines <= terms, key);
    }
}

// The progress of an open job cannot be read at a takeover. It is not known which of its tasks are
// done, so none is started again; other jobs continue.
TEST(broken_records, a_job_with_damaged_progress_does_not_run_its_tasks_again)
{
    const char* const texts[] = {"",
        "{",
        R"({"state":"resting","done":"00"})",
        R"({"state":"running"})",
        R"({"state":"running","done":"1"})",
        R"({"state":"running","done":"1x"})",
        R"({"state":"running","done":"10","tasks":{"0":{"failed_runs":[1e300]}}})",
        R"({"state":"running","done":"10","ended_unix_ms":-1})"};
    int n = 0;
    for (const auto* const it : texts)
    {
        const auto id = "a" + std::to_string(++n);
        c.put_job(c.make_job(id, 2));
        c.store.put(hosted::state_key(id), it);
    }
    begin(2);
    c.put_job(c.make_job("b", 2));
    check_all_done("b");
    c.time.run_for(3s);
    LONGS_EQUAL(2, c.hosts.starts);
}

// Guards against running a job's tasks again that had ended: the store truncates its change log, so
// all jobs are read once more, without their states.
TEST(broken_records, a_job_with_damaged_progress_stays_left_out_when_jobs_are_read_again)
{
    c.put_job(c.make_job("a", 2));
    c.store.put(hosted::state_key("a"), "{");
    begin(2);
    c.time.run_for(1s);
    c.store.compact();
    c.put_job(c.make_job("b", 2));
    check_all_done("b");
    c.time.run_for(3s);
    LONGS_EQUAL(2, c.hosts.starts);
}

// The term number becomes unreadable. If it restarted from zero, the next coordinator's runs would
// have lower numbers than those that the runners have seen, and would be refused for good.
TEST(broken_records, a_damaged_term_number_does_not_restart_from_zero)
{
    begin(2);
    std::int64_t before = 0;
    for (const auto* const it : {"0", "", "x", "-5", "99999999999999999999", "7777777"})
    {
        c.store.put(hosted::leader_term_key, it);
        c.time.run_for(100ms);
        c.leader()->process.dead = true;
        c.add_node();
        CHECK_TEXT(c.has_leader(), it);
        const auto term = std::stoll(c.store.find(hosted::leader_term_key)->value);
        CHECK_TEXT(term > before, it);
        before = term;
    }
    c.put_job(c.make_job("a", 2));
    check_all_done("a");
}

// Guards against run numbers that can't be read, after a damaged term number became a store
// revision.
TEST(broken_records, a_damaged_term_number_leaves_run_numbers_readable)
{
    c.settings.rules.runs_per_term = std::int64_t{1} << 50;
    begin(2);
    c.store.put(hosted::leader_term_key, "x");
    c.time.run_for(100ms);
    c.leader()->process.dead = true;
    c.add_node();
    CHECK(c.has_leader());
    const auto term = std::stoll(c.store.find(hosted::leader_term_key)->value);
    CHECK(term > coordinator::max_term(c.settings.rules));
    c.put_job(c.make_job("a", 1));
    CHECK(c.time.run_until([this] { return c.running() == 1; }, 5s));
    for (const auto& [name, h] : c.hosts.machines)
    {
        CHECK(h.runs.empty() || h.runs.begin()->second.number <= workflow::max_run_number);
    }
}

TEST(broken_records, numbers_out_of_range_are_damage)
{
    for (const auto* const it : {R"({"i":["a:1","m","p",18446744073709551615]})",
             R"({"i":["a:1","m","p",9007199254740992]})",
             R"({"i":["a:1","m","p",1.5]})"})
    {
        CHECK_TEXT(!hosted::read_runners(it).has_value(), it);
    }
    for (const auto* const it : {R"({"through":7,"waiting":{"q":18446744073709551615}})",
             R"({"through":7,"waiting":{"q":2147483648}})",
             R"({"through":7,"waiting":{"q":-3}})",
             R"({"through":7,"waiting":{"q":1.5}})",
             R"({"through":7,"waiting":{"q":null}})",
             R"({"through":7,"waiting":[]})",
             R"({"through":7})",
             R"({"through":0,"waiting":{}})",
             R"({"through":-1,"waiting":{}})",
             R"({"through":9223372036854775808,"waiting":{}})",
             R"({"waiting":{"q":3}})",
             R"({"q":3})"})
    {
        CHECK_TEXT(!core::is_ok(hosted::read_pending(it)), it);
    }
    for (const auto* const it : {R"({"at_unix_ms":1e300,"pools":{},"busy":[],"times":{}})",
             R"({"at_unix_ms":1,"pools":{},"busy":[["p",-9223372036854775808]],"times":{}})",
             R"({"at_unix_ms":1,"pools":{},"busy":[],"times":{"i":[1e300,1]}})",
             R"({"at_unix_ms":1,"pools":{},"busy":[],"times":{"i":[-1,1]}})"})
    {
        coordinator::demand d;
        coordinator::run_time_estimates l;
        LONGS_EQUAL_TEXT(0, hosted::read_demand(it, 20, d, l, core::mono_time{2s}, 5), it);
    }
}

// Reads randomly mutated texts of the system's own records. The results stay within their bounds,
// no reader throws, and a job that was read can be added to a fleet.
TEST(broken_records, readers_withstand_mutated_texts)
{
    auto j = c.make_job("a", 3, 2);
    j.timing = {2, 1700000000000, 500};
    workflow::job_progress p;
    p.state = job_state::running;
    p.tasks.resize(12);
    p.tasks[3].done = true;
    p.tasks[4].checkpoint = "0b";
    p.tasks[4].failed_runs = {1, 2};
    coordinator::demand d;
    coordinator::run_time_estimates l;
    coordinator::record_arrival(d, "p", 10, core::mono_time{1s});
    coordinator::record_run_time(l, "i", 700ms);
    const auto job = workflow::write_job(j);
    const auto progress = workflow::write_progress(j, p);
    const auto runners = hosted::write_runners(
        {{"i-1", {"10.0.0.1:1", "m1", "p", {}}}, {"i-2", {"10.0.0.2:1", "", "p", 1700ms}}});
    const auto demand = hosted::write_demand(d, l, 17, core::mono_time{2s}, 1700000000000);
    const auto pending = hosted::write_pending({12, {{"q", 3}}});
    mutator m{7};
    for (int i = 0; i < 20000; ++i)
    {
        const auto read = workflow::read_job(m.mutate(job));
        if (core::is_ok(read))
        {
            coordinator::fleet f;
            CHECK(workflow::check_job(core::value(read)).empty());
            coordinator::add_job(f, core::value(read), 1, {}, 0);
            coordinator::task_events out;
            coordinator::make_plan(f, core::mono_time{1s}, 1700000000000, true, out);
        }
        const auto got = workflow::read_progress(j, m.mutate(progress));
        CHECK(!core::is_ok(got) || core::value(got).tasks.size() == 12);
        if (const auto all = hosted::read_runners(m.mutate(runners)))
        {
            for (const auto& [id, it] : *all)
            {
                CHECK(!it.remaining_lease ||
                      (*it.remaining_lease >= 0ms && *it.remaining_lease <= 24h));
            }
        }
        coordinator::demand e;
        coordinator::run_time_estimates k;
        const auto through_revision =
            hosted::read_demand(m.mutate(demand), 20, e, k, core::mono_time{2s}, 1700000001000);
        CHECK(through_revision >= 0 && through_revision <= 20);
        for (const auto& [image, it] : k.images)
        {
            CHECK(it.mean_ms >= 0 && it.samples >= 0);
        }
        const auto counts = hosted::read_pending(m.mutate(pending));
        if (core::is_ok(counts))
        {
            CHECK(core::value(counts).through_revision > 0);
            for (const auto& [queue, n] : core::value(counts).waiting)
            {
                CHECK(n >= 0);
            }
        }
    }
}
