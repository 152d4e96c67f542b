#include "jobs/submit.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::jobs;

namespace
{

model::pool_document two_hosts()
{
    model::pool_document d;
    d.pool = "quotes";
    d.hosts.resize(2);
    d.hosts[0].id = "w1";
    d.hosts[0].processors = 32;
    d.hosts[0].memory_gb = 128;
    d.hosts[1].id = "w2";
    d.hosts[1].processors = 16;
    d.hosts[1].memory_gb = 64;
    d.hosts[1].accelerators = 1;
    return d;
}

const std::vector<model::team_config> teams = {{"lens", 64, 256, 2}, {"small", 2, 8, 0}};

submission valid_submission(const std::string& id)
{
    return {
        id, "lens", "reconcile", job_class::normal, {2, 4, 0}, core::millis{60000}, true, "run"};
}

const core::wall_time now = core::from_unix_ms(1'000'000);

std::string text_of(const submit_outcome& o)
{
    if (const auto* a = std::get_if<accepted>(&o))
    {
        return a->is_repeat ? "repeat" : "accepted";
    }
    if (const auto* n = std::get_if<never_fits>(&o))
    {
        return n->reason;
    }
    if (const auto* f = std::get_if<core::findings>(&o))
    {
        return core::to_text(*f);
    }
    return std::holds_alternative<other_body>(o) ? "other body" : "full";
}

} // namespace

TEST_GROUP(submit)
{
    model::pool_document hosts = two_hosts();
    settings rules;
    job_document d;

    std::string one(const submission& s)
    {
        return text_of(submit(d, {s}, {hosts, teams, rules, now}).front());
    }
};

TEST(submit, outcomes)
{
    struct row
    {
        const char* name;
        void (*alter)(submission&);
        const char* outcome;
    };
    const row rows[] = {
        {"good", [](submission&) {}, "accepted"},
        {"too large",
            [](submission& s) {
                s.declared = {33, 4, 0};
            },
            "needs 33 processors, 4 GB; no host of pool 'quotes' has that; the nearest is w1 with "
            "32 processors, 128 GB, short of 1 processors"},
        {"accelerators beyond any host, within the quota",
            [](submission& s) {
                s.declared = {2, 4, 2};
            },
            "needs 2 processors, 4 GB, 2 accelerators; no host of pool 'quotes' has that; the "
            "nearest is w2 with 16 processors, 64 GB, 1 accelerator, short of 1 accelerator"},
        {"beyond the quota",
            [](submission& s)
            {
                s.team = "small";
                s.declared = {4, 4, 0};
            },
            "needs 4 processors, 4 GB; the quota of team 'small' is 2 processors, 8 GB, short of 2 "
            "processors"},
        {"unknown team",
            [](submission& s) { s.team = "lans"; },
            "team 'lans' has no quota in the configuration (did you mean 'lens'?)"},
        {"two findings",
            [](submission& s)
            {
                s.id = "a/b";
                s.run_time = core::millis{0};
            },
            "submission /id: may hold letters, digits, '.', '_' and '-' only\n"
            "submission /run_time_ms: must be above 0\n"},
    };
    for (const auto& it : rows)
    {
        d = {};
        submission s = valid_submission("j1");
        it.alter(s);
        STRCMP_EQUAL_TEXT(it.outcome, one(s).c_str(), it.name);
        CHECK_EQUAL(std::string{it.outcome} == "accepted" ? 1u : 0u, d.jobs.size());
    }
}

// The caller's answer was lost and it submits again, perhaps long after the job has ended: the
// answer says that this is the same job. The same id with any other value belongs to another job or
// is a mistake, and must not be accepted silently in place of the first.
TEST(submit, a_repeat_is_one_job_and_another_body_is_a_conflict)
{
    const submission first = valid_submission("j1");
    STRCMP_EQUAL("accepted", one(first).c_str());
    STRCMP_EQUAL("repeat", one(first).c_str());
    enter_state(d.jobs[0], job_state::finished, core::to_unix_ms(now), "task_finished", "");
    STRCMP_EQUAL("repeat", one(first).c_str());

    void (*const changes[])(submission&) = {
        [](submission& s) { s.declared.processors = 2.0000001; },
        [](submission& s) { s.idempotent = false; },
        [](submission& s) { s.payload = "other"; },
        [](submission& s) { s.klass = job_class::urgent; },
        [](submission& s) { s.kind = "other"; },
    };
    for (const auto change : changes)
    {
        submission other = first;
        change(other);
        STRCMP_EQUAL("other body", one(other).c_str());
    }
    CHECK_EQUAL(1u, d.jobs.size());
}

TEST(submit, a_full_document_refuses_and_keeps_its_jobs)
{
    rules.max_jobs = 3;
    for (const char* id : {"j1", "j2", "j3"})
    {
        STRCMP_EQUAL("accepted", one(valid_submission(id)).c_str());
    }
    STRCMP_EQUAL("full", one(valid_submission("j4")).c_str());
    STRCMP_EQUAL("repeat", one(valid_submission("j2")).c_str());

    // A terminal job older than the retention is removed; one that may still occupy a host is not.
    const std::int64_t long_ago = core::to_unix_ms(now) - rules.terminal_job_retention.count() - 1;
    enter_state(d.jobs[0], job_state::finished, long_ago, "task_finished", "");
    enter_state(d.jobs[1], job_state::cancelled, long_ago, "cancelled_by_command", "");
    d.jobs[1].host = "w1";
    STRCMP_EQUAL("accepted", one(valid_submission("j4")).c_str());
    STRCMP_EQUAL("full", one(valid_submission("j5")).c_str());
}

TEST(submit, cancel_outcomes)
{
    struct row
    {
        job_state state;
        const char* host;
        cancel_outcome outcome;
        job_state after;
    };
    const row rows[] = {
        {job_state::waiting, "", cancel_outcome::cancelled, job_state::cancelled},
        {job_state::impossible, "", cancel_outcome::cancelled, job_state::cancelled},
        {job_state::set_aside, "w1", cancel_outcome::cancelled, job_state::cancelled},
        {job_state::unknown, "w1", cancel_outcome::cancelled, job_state::cancelled},
        {job_state::starting, "w1", cancel_outcome::stopping, job_state::cancelled},
        {job_state::running, "w1", cancel_outcome::stopping, job_state::cancelled},
        {job_state::checkpointing, "w1", cancel_outcome::stopping, job_state::cancelled},
        {job_state::finished, "w1", cancel_outcome::was_over, job_state::finished},
        {job_state::failed, "w1", cancel_outcome::was_over, job_state::failed},
    };
    for (const auto& it : rows)
    {
        d = {};
        one(valid_submission("j1"));
        d.jobs[0].state = it.state;
        d.jobs[0].host = it.host;
        const auto first = cancel(d, {"j1", "j9"}, "c7", now);
        CHECK(it.outcome == first[0]);
        CHECK(cancel_outcome::not_found == first[1]);
        CHECK(it.after == d.jobs[0].state);
        CHECK(cancel(d, {"j1"}, "c7", now)[0] == it.outcome);
    }
}
