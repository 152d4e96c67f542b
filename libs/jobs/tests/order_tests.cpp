#include "fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::jobs;
using namespace camphorhitch::jobs_test;
using job_fakes::make_member;
using job_fakes::member;

TEST_GROUP(order)
{
    job_fakes::pool_environment w = make_environment(4);
    member m = make_member("quotes", 1, "e1", w.now);

    void submit(const submission& s)
    {
        job_fakes::submit(w, {s});
    }

    void fill(job_class klass, bool idempotent)
    {
        for (std::size_t i = 0; i < w.hosts.hosts.size(); ++i)
        {
            submission s = make_submission("fill" + std::to_string(i), 8, klass, idempotent);
            s.run_time = core::millis{600000};
            submit(s);
        }
        pass_time(m, w, core::millis{4000});
    }

    core::millis time_to_start(const std::string& id, core::millis limit)
    {
        const core::mono_time from = w.now;
        while (starts_of(w, id) == 0 && w.now - from < limit)
        {
            pass_time(m, w, core::millis{10}, core::millis{10});
        }
        return std::chrono::duration_cast<core::millis>(w.now - from);
    }
};

// All hosts are full of long jobs when an urgent job is submitted. If only processors are short, it
// starts as soon as a long job is throttled; if memory is short, as soon as one is checkpointed and
// stopped. A worker that never writes its checkpoint does not delay it. A job that may run once
// only is never stopped, but may be throttled.
TEST(order, urgent_jobs_start_within_a_second_on_a_full_pool)
{
    struct row
    {
        const char* name;
        bool idempotent;
        double memory_gb;
        core::millis checkpoint_time;
        bool starts;
        bool first_is_throttled;
    };
    const row rows[] = {
        {"processors", true, 1, core::millis{300}, true, true},
        {"processors, run once", false, 1, core::millis{300}, true, true},
        {"memory", true, 20, core::millis{300}, true, false},
        {"memory, no checkpoint", true, 20, core::millis{100000}, true, false},
        {"memory, run once", false, 20, core::millis{300}, false, false},
    };
    for (const auto& it : rows)
    {
        w = make_environment(2);
        m = make_member("quotes", 1, "e1", w.now);
        w.platform.behaviour = [&](const ports::task_order& order)
        {
            return job_fakes::real_task{
                {order.processors, order.memory_gb, 0}, order.run_time, it.checkpoint_time, false};
        };
        fill(job_class::long_running, it.idempotent);
        submission s = make_submission("urgent", 4, job_class::urgent);
        s.declared.memory_gb = it.memory_gb;
        submit(s);
        const core::millis waited = time_to_start("urgent", core::millis{2000});
        CHECK_EQUAL_TEXT(it.starts ? 1 : 0, starts_of(w, "urgent"), it.name);
        CHECK_TEXT(!it.starts || waited <= core::millis{1000}, it.name);
        int throttled = 0;
        for (const char* id : {"fill0", "fill1"})
        {
            throttled += job_fakes::stored_job(w, id)->throttled ? 1 : 0;
            CHECK_EQUAL_TEXT(1, starts_of(w, id), it.name);
        }
        CHECK_EQUAL_TEXT(it.first_is_throttled ? 1 : 0, throttled, it.name);

        pass_time(m, w, core::millis{40000});
        for (const char* id : {"fill0", "fill1"})
        {
            CHECK_FALSE_TEXT(job_fakes::stored_job(w, id)->throttled, it.name);
            STRCMP_EQUAL_TEXT("running", state_of(w, id).c_str(), it.name);
        }
    }
}

// The command to throttle a task is lost on its way to the worker. Until the worker has throttled
// the task, the capacity that the urgent job needs is not free, whatever the record states.
TEST(order, capacity_counts_only_after_the_worker_has_throttled)
{
    w = make_environment(1);
    m = make_member("quotes", 1, "e1", w.now);
    fill(job_class::long_running, true);
    w.command_lost = [](const command_tasks& it)
    {
        return it.what == ports::task_action::throttle;
    };
    submission s = make_submission("urgent", 4, job_class::urgent);
    s.declared.memory_gb = 1;
    submit(s);
    pass_time(m, w, core::millis{1000});
    CHECK_TRUE(job_fakes::stored_job(w, "fill0")->throttled);
    CHECK_EQUAL(0, starts_of(w, "urgent"));
    w.command_lost = nullptr;
    pass_time(m, w, core::millis{2000});
    CHECK_EQUAL(1, starts_of(w, "urgent"));
}

// Small jobs are submitted all the time and always fit. A job that needs a whole host would wait
// for ever if every host were filled again as soon as a little capacity is free.
TEST(order, a_large_job_is_not_overtaken_for_ever)
{
    int n = 0;
    const auto submit_more = [&]
    {
        for (int i = 0; i < 4; ++i)
        {
            n += 1;
            submit(make_submission("small" + std::to_string(n), 2 + 0.1 * (n % 7)));
        }
    };
    submit_more();
    pass_time(m, w, core::millis{2000});
    submit(make_submission("large", 8));
    core::millis waited{0};
    while (starts_of(w, "large") == 0 && waited < core::millis{120000})
    {
        submit_more();
        pass_time(m, w, core::millis{1000});
        waited += core::millis{1000};
    }
    CHECK(waited < core::millis{60000});
}

TEST(order, quotas_hold_and_are_reused)
{
    w.teams[0].processors = 4;
    for (const char* id : {"j1", "j2", "j3"})
    {
        submit(make_submission(id, 2));
    }
    pass_time(m, w, core::millis{1000});
    CHECK_EQUAL(2u, w.platform.starts.size());
    std::string waits;
    for (const auto& b : m.jobs.buckets)
    {
        for (const auto& j : b.document.jobs)
        {
            waits += j.state == job_state::waiting
                         ? std::string{core::name_of(wait_reason_names, j.waits_for)}
                         : "";
        }
    }
    STRCMP_EQUAL("quota", waits.c_str());
    pass_time(m, w, core::millis{25000});
    CHECK_EQUAL(3u, w.platform.starts.size());
}

// Two pools share a team's quota. One pool returns the part that it does not need. While that write
// is in flight, the pool must not start a job on this part, because the other pool may have been
// granted it.
TEST(order, nothing_starts_on_quota_that_is_being_returned)
{
    w.teams[0].processors = 12;
    submit(make_submission("j1", 4));
    submit(make_submission("j2", 4));
    pass_time(m, w, core::millis{3000});
    quota_document& d = w.quotas["lens"];
    quota_request other{"lens", "other", {1, "x"}, {}, {12, 12, 0}};
    const resources quota{12, 4000, 10};
    w.quota_requests_unanswered = true; // stored, but the answer is lost
    pass_time(m, w, core::millis{20000});
    adjust_grant(d, other, quota);
    const double left = find_grant(d, other)->processors;
    CHECK(left > 4);
    submit(make_submission("j3", 8));
    pass_time(m, w, core::millis{3000});
    CHECK_EQUAL(0, starts_of(w, "j3"));
    w.quota_requests_unanswered = false;
    adjust_grant(d, {"lens", "other", {1, "x"}, {}, {}}, quota);
    pass_time(m, w, core::millis{10000});
    CHECK_EQUAL(1, starts_of(w, "j3"));
}

TEST(order, accelerators_are_left_to_jobs_that_need_them)
{
    w.hosts.hosts[0].accelerators = 2;
    submission s = make_submission("needs", 2);
    s.declared.accelerators = 2;
    for (int i = 0; i < 6; ++i)
    {
        submit(make_submission("plain" + std::to_string(i), 4));
    }
    pass_time(m, w, core::millis{500});
    submit(s);
    pass_time(m, w, core::millis{500});
    STRCMP_EQUAL("w0", host_of(w, "needs").c_str());
    for (const auto& it : w.platform.starts)
    {
        CHECK(it.job == "needs" || it.host != "w0");
    }
    // With the accelerators in use, the rest of the host need not be saved for other jobs.
    submit(make_submission("plain6", 4));
    pass_time(m, w, core::millis{500});
    STRCMP_EQUAL("w0", host_of(w, "plain6").c_str());
}

TEST(order, jobs_of_a_kind_spread_over_zones)
{
    for (int i = 0; i < 4; ++i)
    {
        submit(make_submission("j" + std::to_string(i), 2));
    }
    pass_time(m, w, core::millis{500});
    int in_first_zone = 0;
    for (const auto& it : w.platform.starts)
    {
        in_first_zone += it.host == "w0" || it.host == "w2" ? 1 : 0;
    }
    CHECK_EQUAL(2, in_first_zone);
}

// Hosts are added and removed. A job that no host can hold becomes impossible, with the nearest
// host in its record, and waits again when a suitable host is added.
TEST(order, impossible_jobs_are_reported_and_become_possible_again)
{
    w.hosts.hosts[3].processors = 16;
    submit(make_submission("large", 16));
    w.hosts.hosts[3].processors = 8;
    pass_time(m, w, core::millis{500});
    STRCMP_EQUAL("impossible", state_of(w, "large").c_str());
    STRCMP_CONTAINS(
        "short of 8 processors", job_fakes::stored_job(w, "large")->decision.weighed.c_str());
    w.hosts.hosts[3].processors = 16;
    pass_time(m, w, core::millis{500});
    STRCMP_EQUAL("starting", state_of(w, "large").c_str());
}

// A burst of cancellations of running and waiting jobs costs one write for each document in all,
// and one stop command for each host, not for each job.
TEST(order, a_burst_of_cancellations_costs_few_writes)
{
    std::vector<std::string> ids;
    std::vector<submission> all;
    for (int i = 0; i < 500; ++i)
    {
        ids.push_back("j" + std::to_string(i));
        all.push_back(make_submission(ids.back(), 1));
        all.back().run_time = core::millis{600000};
    }
    job_fakes::submit(w, all);
    pass_time(m, w, core::millis{5000});
    CHECK_EQUAL(32u, w.platform.starts.size());
    int stops = 0;
    w.on_action = [&](const action& a)
    {
        const auto* it = std::get_if<command_tasks>(&a);
        stops += it != nullptr && it->what == ports::task_action::stop ? 1 : 0;
    };
    const auto before = w.kv.writes;
    job_fakes::cancel(w, ids);
    CHECK_EQUAL(buckets_per_pool, w.kv.writes - before);
    pass_time(m, w, tick);
    CHECK_EQUAL(4, stops);
    for (const auto& host : w.platform.all)
    {
        for (const auto& it : host.second.tasks)
        {
            CHECK(it.second.state == ports::task_state::stopped);
        }
    }
    pass_time(m, w, core::millis{2000});
    submit(make_submission("next", 8));
    pass_time(m, w, core::millis{500});
    STRCMP_EQUAL("starting", state_of(w, "next").c_str());
}
