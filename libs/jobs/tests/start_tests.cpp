#include "fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::jobs;
using namespace camphorhitch::jobs_test;
using job_fakes::make_member;
using job_fakes::member;
using job_fakes::write_fault;

TEST_GROUP(starts)
{
    job_fakes::pool_environment w = make_environment(4);
    member m = make_member("quotes", 1, "e1", w.now);

    void submit(const submission& s)
    {
        job_fakes::submit(w, {s});
    }
};

TEST(starts, a_job_runs_and_finishes)
{
    submit(make_submission("j1"));
    pass_time(m, w, tick);
    STRCMP_EQUAL("starting", state_of(w, "j1").c_str());
    CHECK_EQUAL(1, starts_of(w, "j1"));
    pass_time(m, w, core::millis{15000});
    STRCMP_EQUAL("finished", state_of(w, "j1").c_str());
    CHECK_EQUAL(1, starts_of(w, "j1"));
    CHECK_EQUAL(0, count_tasks_on(m.jobs, host_of(w, "j1")));
}

TEST(starts, an_empty_pool_costs_no_write)
{
    pass_time(m, w, core::millis{10000});
    CHECK_EQUAL(0, w.kv.writes);
}

// The store applies the write that records a start, and its answer is lost. A second order after
// another write would be wrong, and so would be no order at all: the member reads the document,
// finds its own record, and orders that task once.
TEST(starts, a_lost_answer_to_the_record_of_a_start_orders_one_task)
{
    const write_fault faults[] = {
        write_fault::lost_answer, write_fault::no_effect, write_fault::late};
    for (const auto fault : faults)
    {
        w = make_environment(4);
        m = make_member("quotes", 1, "e1", w.now);
        submit(make_submission("j1", 2, job_class::normal, false));
        pass_time(m, w, tick); // writes the fencing tokens
        submit(make_submission("j2", 2, job_class::normal, false));
        int left = 1;
        w.kv.next_fault = [&]
        {
            return left-- > 0 ? fault : write_fault::none;
        };
        pass_time(m, w, core::millis{2000});
        CHECK_EQUAL(1, starts_of(w, "j2"));
        pass_time(m, w, core::millis{15000});
        STRCMP_EQUAL("finished", state_of(w, "j2").c_str());
    }
}

// An owner records a start and dies before or after it ordered the task, which can't be told apart.
// The next owner may start an idempotent job again when the lease has certainly expired. A job that
// may run once becomes unknown and is never started again by itself.
TEST(starts, an_owner_dies_between_record_and_order)
{
    struct row
    {
        bool idempotent;
        bool ordered;
        int starts_at_the_end;
        const char* state;
    };
    const row rows[] = {
        {true, false, 1, "finished"},
        {true, true, 1, "finished"}, // its task is found in the worker's report
        {false, false, 0, "unknown"},
        {false, true, 1, "finished"},
    };
    for (const auto& it : rows)
    {
        w = make_environment(4);
        m = make_member("quotes", 1, "e1", w.now);
        submit(make_submission("j1", 2, job_class::normal, it.idempotent));
        w.order_fault = [&](const ports::task_order& order)
        {
            if (it.ordered)
            {
                job_fakes::start(w.platform, order, w.now);
            }
            return ports::platform_status::unknown;
        };
        pass_time(m, w, tick);
        STRCMP_EQUAL("starting", state_of(w, "j1").c_str());

        w.order_fault = nullptr;
        member next = make_member("quotes", 2, "e2", w.now);
        pass_time(next, w, core::millis{60000});
        if (!it.ordered)
        {
            // The former owner may be paused and renew the lease later, so no lease counts as
            // expired.
            STRCMP_EQUAL("starting", state_of(w, "j1").c_str());
        }
        next.jobs.predecessor_stopped_at = w.now;
        pass_time(next, w, core::millis{60000});
        STRCMP_EQUAL(it.state, state_of(w, "j1").c_str());
        CHECK_EQUAL(it.starts_at_the_end, starts_of(w, "j1"));
    }
}

// The platform reports that it certainly did not start the task, so even a job that may run once is
// started again.
TEST(starts, a_refused_start_is_tried_again)
{
    int refusals = 2;
    w.order_fault = [&](const ports::task_order& order)
    {
        return refusals-- > 0 ? ports::platform_status::refused
                              : job_fakes::start(w.platform, order, w.now);
    };
    submit(make_submission("j1", 2, job_class::normal, false));
    pass_time(m, w, core::millis{30000});
    STRCMP_EQUAL("finished", state_of(w, "j1").c_str());
    CHECK_EQUAL(1, starts_of(w, "j1"));
    CHECK_EQUAL(3, job_fakes::stored_job(w, "j1")->attempt);
}

// A former owner was paused and wakes up while the next owner is taking over, and reads every
// document that has no new token yet. It may place through documents that the new owner's token has
// not reached, so the new owner must not place before all documents carry its token: together the
// two would fill a host twice. Once all documents carry the token, every write of the former owner
// ends in a conflict and it orders nothing.
TEST(starts, a_paused_owner_wakes_during_a_take_over)
{
    w = make_environment(1);
    m = make_member("quotes", 1, "e1", w.now);
    CHECK(bucket_of("a") != bucket_of("bb"));
    submit(make_submission("fence", 1));
    pass_time(m, w, core::millis{15000});
    submit(make_submission("a", 6, job_class::normal, false));
    submission urgent = make_submission("bb", 6, job_class::urgent);
    urgent.declared.memory_gb = 30;
    submit(urgent);

    member next = make_member("quotes", 2, "e2", w.now);
    w.kv.refused_bucket = bucket_of("a"); // its token is not stored for a while
    pass_time(next, w, core::millis{500});
    CHECK_EQUAL(1u, w.platform.starts.size());
    w.kv.refused_bucket = -1;
    job_fakes::read_changes_except_newer_owner(m, w);
    job_fakes::step(m, w);
    CHECK_EQUAL(1, starts_of(w, "a"));
    pass_time(next, w, core::millis{2000});
    CHECK_EQUAL(0, starts_of(w, "bb"));

    submit(make_submission("c", 1));
    const std::size_t starts = w.platform.starts.size();
    job_fakes::read_changes_except_newer_owner(m, w);
    job_fakes::step(m, w);
    CHECK_EQUAL(starts, w.platform.starts.size());
    job_fakes::read_changes(m, w);
    CHECK_TRUE(m.jobs.superseded);
    pass_time(next, w, core::millis{30000});
    STRCMP_EQUAL("finished", state_of(w, "a").c_str());
    STRCMP_EQUAL("finished", state_of(w, "c").c_str());
}

// The write that records a start gets no answer, and the document that is read afterwards does not
// contain it; the write takes effect later. Until the document has moved past this write, the
// capacity counts as used. Otherwise an urgent job placed there meanwhile, through another
// document, would share the host with the late job.
TEST(starts, capacity_that_a_late_write_may_use_stays_reserved)
{
    w = make_environment(1);
    m = make_member("quotes", 1, "e1", w.now);
    CHECK(bucket_of("late") != bucket_of("urgent"));
    submit(make_submission("fence", 1));
    pass_time(m, w, core::millis{15000});
    submit(make_submission("late", 6));
    w.kv.next_fault = []
    {
        return write_fault::late;
    };
    job_fakes::read_changes(m, w);
    job_fakes::step(m, w);
    CHECK_EQUAL(1u, w.kv.late.size());
    w.kv.next_fault = nullptr;

    submit(make_submission("urgent", 6, job_class::urgent));
    job_fakes::read_changes(m, w);
    m.must_read[static_cast<std::size_t>(bucket_of("late"))] = true; // its next write is slow
    m.jobs.buckets[static_cast<std::size_t>(bucket_of("late"))].need = write_need::none;
    job_fakes::step(m, w);
    job_fakes::deliver_late_write(w.kv, 0);
    pass_time(m, w, core::millis{500});
    int running = 0;
    for (const auto& it : w.platform.all["w0"].tasks)
    {
        running += it.second.state == ports::task_state::running ? 1 : 0;
    }
    CHECK_EQUAL(1, running);
    pass_time(m, w, core::millis{40000});
    STRCMP_EQUAL("finished", state_of(w, "late").c_str());
    STRCMP_EQUAL("finished", state_of(w, "urgent").c_str());
    CHECK_EQUAL(1, starts_of(w, "late"));
}

// A worker is cut off while it runs two jobs. Their leases expire without a report: the idempotent
// job runs elsewhere, the other one becomes unknown. When the worker is reachable again and has
// finished both, its report decides the unknown job, and the job that may run once has not run
// twice.
TEST(starts, a_worker_is_cut_off_and_comes_back)
{
    submit(make_submission("twice", 2, job_class::normal, true));
    submit(make_submission("once", 2, job_class::normal, false));
    pass_time(m, w, core::millis{3000});
    const std::string host = host_of(w, "once");
    for (auto& it : w.platform.all)
    {
        it.second.reachable = false;
        it.second.paused_until = w.now + core::millis{600000};
    }
    pass_time(m, w, core::millis{30000});
    STRCMP_EQUAL("running", state_of(w, "once").c_str());
    pass_time(m, w, core::millis{60000});
    STRCMP_EQUAL("unknown", state_of(w, "once").c_str());
    for (auto& it : w.platform.all)
    {
        it.second.reachable = true;
    }
    pass_time(m, w, core::millis{60000});
    STRCMP_EQUAL("finished", state_of(w, "once").c_str());
    STRCMP_EQUAL("finished", state_of(w, "twice").c_str());
    CHECK_EQUAL(1, starts_of(w, "once"));
}
