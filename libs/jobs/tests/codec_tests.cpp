#include "fixture.hpp"
#include "jobs/codec.hpp"

#include <rapidcheck.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::jobs;

namespace
{

int any_count(int max)
{
    return *rc::gen::inRange(0, max + 1);
}

double any_real()
{
    return any_count(1 << 30) / 7.0;
}

std::string any_text(int max)
{
    std::string text;
    for (int i = any_count(max); i > 0; --i)
    {
        text += static_cast<char>(any_count(126));
    }
    return text;
}

resources any_amounts()
{
    return {any_real(), any_real(), any_count(100)};
}

template <class E, std::size_t N>
E any_of(const core::name_table<E, N>& table)
{
    return table[static_cast<std::size_t>(any_count(N - 1))].value;
}

core::millis any_millis()
{
    return core::millis{*rc::gen::inRange<std::int64_t>(0, 1LL << 45)};
}

job any_job(int number)
{
    job j;
    j.id = "job-" + std::to_string(number);
    j.team = "lens";
    j.kind = any_text(20);
    j.klass = any_of(job_class_names);
    j.declared = any_amounts();
    j.run_time = any_millis();
    j.idempotent = any_count(1) == 1;
    j.payload = any_text(200);
    j.body_hash = *rc::gen::arbitrary<std::uint64_t>();
    j.submitted_ms = any_millis().count();
    j.state = any_of(job_state_names);
    j.state_since_ms = any_millis().count();
    j.attempt = any_count(1000);
    j.host = any_text(30);
    j.recorded_by = any_text(30);
    j.reserved = any_amounts();
    j.expected_run_time = any_millis();
    j.lease_ttl = any_millis();
    j.throttled = any_count(1) == 1;
    j.releasing = any_of(release_reason_names);
    j.checkpoint = any_text(60);
    j.preemptions = any_count(100);
    j.moves = any_count(100);
    j.moved_by_wave = any_text(20);
    for (int i = any_count(3); i > 0; --i)
    {
        j.failures.push_back({"w" + std::to_string(i), any_count(9)});
    }
    j.peak_use = any_amounts();
    j.measured_run_time = any_millis();
    j.decision = {"rule", any_text(100), any_millis().count()};
    return j;
}

} // namespace

TEST_GROUP(codec){};

TEST(codec, documents_return_unchanged_and_fit_their_bound)
{
    CHECK(rc::check("documents of jobs",
        []
        {
            job_document d;
            d.pool = "quotes";
            d.bucket = any_count(buckets_per_pool - 1);
            d.token = {*rc::gen::arbitrary<std::uint64_t>(), "e1/2"};
            for (int i = any_count(5); i > 0; --i)
            {
                d.jobs.push_back(any_job(i));
            }
            const std::string text = encode(d);
            RC_ASSERT(text.size() <= max_encoded_size(d));
            const auto read = decode_jobs(text, "d");
            if (const auto* wrong = std::get_if<core::findings>(&read))
            {
                RC_FAIL(core::to_text(*wrong));
            }
            RC_ASSERT(encode(std::get<job_document>(read)) == text);
        }));
}

// An accepted job must fit its document at every later stage, too. Otherwise the owner's write
// would be refused for its size, and with it the changes of all other jobs of the document.
TEST(codec, an_accepted_job_never_outgrows_its_document)
{
    job_fakes::pool_environment w = jobs_test::make_environment(8);
    w.rules.max_document_bytes = 20000;
    std::vector<submission> all;
    for (int i = 0; i < 1000; ++i)
    {
        all.push_back(jobs_test::make_submission("job-number-" + std::to_string(i), 2));
        all.back().payload.assign(static_cast<std::size_t>(i % 200), '"');
    }
    const auto outcomes = job_fakes::submit(w, all);
    const auto taken = std::count_if(outcomes.begin(),
        outcomes.end(),
        [](const auto& it) { return std::holds_alternative<accepted>(*it); });
    CHECK(taken > 100 && taken < 1000);
    job_fakes::member m = job_fakes::make_member("quotes", 1, "entry-host-1/incarnation/1", w.now);
    for (int i = 0; i < 60; ++i)
    {
        jobs_test::pass_time(m, w, core::millis{2000});
        for (const auto& it : w.kv.entries)
        {
            CHECK(encode(it.document).size() <= w.rules.max_document_bytes);
        }
    }
}

TEST(codec, submissions_are_read_strictly)
{
    struct row
    {
        const char* text;
        const char* outcome;
    };
    const row rows[] = {
        {R"({"jobs": [{"id": "j1", "team": "lens", "class": "quick", "declared": {"processors": 1,
            "memory_gb": 2}, "run_time_ms": 1000}]})",
            ""},
        {R"({"jobs": [{"id": "j1", "team": "lens", "class": "quik", "declared": {"processors": 1,
            "memory": 2}, "run_time_ms": 1000}]})",
            "'quik' is none of: urgent, quick, normal, long_running (did you mean 'quick'?)"},
        {R"({"jobs": [{"id": "j1", "team": "lens", "class": "quick", "declared": {"processors": 1,
            "memory": 2}, "run_time_ms": 1000}]})",
            "/jobs/0/declared/memory"},
    };
    for (const auto& it : rows)
    {
        const auto read = decode_submissions(it.text, "s");
        const auto* wrong = std::get_if<core::findings>(&read);
        CHECK_EQUAL(std::string{it.outcome}.empty(), wrong == nullptr);
        if (wrong != nullptr)
        {
            STRCMP_CONTAINS(it.outcome, core::to_text(*wrong).c_str());
        }
    }
}
