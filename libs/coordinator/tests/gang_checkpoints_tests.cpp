#include "host_loss_fixture.hpp"
#include "workflow/records.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;
using ports::run_end;

namespace
{

/// A job "a" whose only step is a gang of three members on different hosts.
struct gang_fixture : host_loss_fixture
{
    workflow::job job;

    gang_fixture()
    {
        auto s = make_step(3, 1000);
        s.gang = true;
        s.checkpoints = true;
        s.max_per_host = 1;
        job = make_job("a", {s});
        for (int i = 0; i < 4; ++i)
        {
            add_host("h" + std::to_string(i));
        }
    }

    /// Takes the job over with what is stored of its tasks.
    void inherit_job(const std::string& tasks)
    {
        f.term = 1;
        f.term_start_revision = 100;
        const auto text = R"({"state":"running","done":"000","tasks":{)" + tasks + "}}";
        const auto read = workflow::read_progress(job, text);
        CHECK_TEXT(core::is_ok(read), text.c_str());
        add_job(f, job, 1, core::value(read), 1);
    }

    ports::poll_answer make_answer()
    {
        advance_time(10ms);
        ports::poll_answer out;
        out.call = {ports::runner_verdict::done, clock_ms()};
        return out;
    }

    /// Applies a poll answer of the host that lists the run of one member as active.
    void report_running(
        const std::string& host, int member, std::int64_t run, const std::string& checkpoint)
    {
        auto p = make_answer();
        p.running = {{"a.0.0." + std::to_string(member), run, checkpoint, 10, 0}};
        handle_poll_answer(f, host, now, p, now, events);
    }

    /// Applies a poll answer of the host that lists the end of one member's run.
    void report_ended(
        const std::string& host, int member, std::int64_t run, const std::string& checkpoint)
    {
        auto p = make_answer();
        const auto number = f.hosts.at(host).last_applied_end + 1;
        p.ended = {
            {number, "a.0.0." + std::to_string(member), run, run_end::member_ended, checkpoint}};
        handle_poll_answer(f, host, now, p, now, events);
    }

    /// Checks that the whole gang starts next, with this checkpoint.
    void check_resumes_from(const std::string& checkpoint, const char* name)
    {
        const auto starts = plan_starts();
        LONGS_EQUAL_TEXT(3, starts.size(), name);
        for (const auto& it : starts)
        {
            STRCMP_EQUAL_TEXT(checkpoint.c_str(), it.checkpoint.c_str(), name);
        }
    }
};

} // namespace

TEST_GROUP(gang_checkpoints){};

// Guards against members that resume from different checkpoints after one of their runners crashed.
TEST(gang_checkpoints, all_members_resume_from_one_after_a_crash)
{
    struct row
    {
        const char* name;
        int crashed;         ///< member whose runner crashes
        const char* polled;  ///< checkpoint in the last polls before the crash
        const char* at_end;  ///< checkpoint in the ends of the other members
        const char* resumes; ///< checkpoint of the next run
    };
    const row rows[] = {
        {"the first member", 0, "c1", "c2", "c2"},
        {"the last member", 2, "c1", "c2", "c2"},
        {"no checkpoint before the ends", 1, "", "c1", "c1"},
        {"no checkpoint in the ends", 1, "c1", "", "c1"},
        {"no checkpoint", 1, "", "", ""},
    };
    for (const auto& it : rows)
    {
        gang_fixture w;
        w.accept_job(w.job);
        const auto starts = w.plan_starts();
        LONGS_EQUAL_TEXT(3, starts.size(), it.name);
        for (const auto& a : starts)
        {
            w.answer_start(a);
            w.report_running(a.host.id, a.task.index, a.run, it.polled);
        }
        for (const auto& a : starts)
        {
            if (a.task.index != it.crashed)
            {
                w.report_ended(a.host.id, a.task.index, a.run, it.at_end);
            }
        }
        w.lose_host(starts[static_cast<std::size_t>(it.crashed)].host.id);
        w.check_resumes_from(it.resumes, it.name);
    }
}

// Guards against members that resume from different checkpoints because the store has several.
TEST(gang_checkpoints, all_members_resume_from_one_after_a_takeover)
{
    struct row
    {
        const char* name;
        const char* stored;
        const char* resumes;
    };
    const row rows[] = {
        {"of the later run",
            R"("0":{"checkpoint":"c1","checkpoint_run":7},)"
            R"("1":{"checkpoint":"c1","checkpoint_run":7},)"
            R"("2":{"checkpoint":"c2","checkpoint_run":8})",
            "c2"},
        {"of most members, without run numbers",
            R"("0":{"checkpoint":"c1"},"1":{"checkpoint":"c2"},"2":{"checkpoint":"c2"})",
            "c2"},
        {"of one member", R"("1":{"checkpoint":"c1"})", "c1"},
    };
    for (const auto& it : rows)
    {
        gang_fixture w;
        w.inherit_job(it.stored);
        w.check_resumes_from(it.resumes, it.name);
    }
}

// Guards against a late report of an earlier run that replaces the checkpoint of a later one.
TEST(gang_checkpoints, a_report_of_an_earlier_run_replaces_none)
{
    struct row
    {
        const char* name;
        std::int64_t run;
        bool ended;
        const char* resumes;
    };
    const row rows[] = {
        {"an earlier run has ended", 6, true, "c5"},
        {"an earlier run is listed", 6, false, "c5"},
        {"the same run has ended", 7, true, "c6"},
        {"the same run is listed", 7, false, "c6"},
        {"a later run is listed", 8, false, "c6"},
    };
    for (const auto& it : rows)
    {
        gang_fixture w;
        w.inherit_job(R"("0":{"checkpoint":"c5","checkpoint_run":7},)"
                      R"("1":{"checkpoint":"c5","checkpoint_run":7},)"
                      R"("2":{"checkpoint":"c5","checkpoint_run":7})");
        w.f.hosts.at("h1").inherited = true;
        if (it.ended)
        {
            w.report_ended("h1", 1, it.run, "c6");
        }
        else
        {
            w.report_running("h1", 1, it.run, "c6");
            w.advance_time(10ms);
            w.answer_poll("h1"); // the run is over
        }
        w.check_resumes_from(it.resumes, it.name);
    }
}

// Guards against a write of the job's progress for each checkpoint that a member reports.
TEST(gang_checkpoints, a_report_alone_is_not_stored)
{
    gang_fixture w;
    w.accept_job(w.job);
    for (const auto& a : w.plan_starts())
    {
        w.answer_start(a);
        w.report_running(a.host.id, a.task.index, a.run, "c1");
    }
    LONGS_EQUAL(0, w.f.dirty_jobs.size());
    for (const auto& it : progress_of(*w.f.jobs.at("a")).tasks)
    {
        STRCMP_EQUAL("c1", it.checkpoint.c_str());
    }
}
