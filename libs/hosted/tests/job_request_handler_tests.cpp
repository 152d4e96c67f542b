#include "log_lines.hpp"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using hosted::cancel_outcome;
using hosted::submit_outcome;
using workflow::job_state;

TEST_GROUP(job_request_handler)
{
    cluster c;
    node* n = &c.add_node();
    std::optional<submit_outcome> submitted;
    std::optional<cancel_outcome> cancelled;
    std::optional<hosted::state_answer> state;
    std::optional<hosted::pending_answer> counted;

    /// \return the time until the answer in milliseconds.
    std::int64_t submit(const std::string& id, core::millis max_wait = 2500ms)
    {
        submitted.reset();
        const auto started_ms = c.time.passed_ms();
        n->desk->submit(c.make_job(id, 1),
            c.time.now() + max_wait,
            [this](submit_outcome it) { submitted = it; });
        c.time.run_until([this] { return submitted.has_value(); }, 20s);
        CHECK(submitted.has_value());
        return c.time.passed_ms() - started_ms;
    }

    void cancel(const std::string& id)
    {
        cancelled.reset();
        n->desk->cancel(
            {id, {}}, c.time.now() + 2500ms, [this](cancel_outcome it) { cancelled = it; });
        c.time.run_until([this] { return cancelled.has_value(); }, 20s);
    }

    void query_job_state(const std::string& id)
    {
        state.reset();
        n->desk->query_state(
            {id, {}}, c.time.now() + 2500ms, [this](hosted::state_answer it) { state = it; });
        c.time.run_until([this] { return state.has_value(); }, 20s);
    }

    void count()
    {
        counted.reset();
        n->desk->count_pending(
            "q", c.time.now() + 1s, [this](hosted::pending_answer it) { counted = it; });
        c.time.run_until([this] { return counted.has_value(); }, 5s);
    }

    /// Queries the count. \return the log line of the answer.
    std::string query_count_line()
    {
        count();
        return lines_of(*n, "pending_told").back();
    }

    bool is_stored(const std::string& id) const
    {
        return c.store.find(hosted::job_key(id)) != nullptr;
    }
};

TEST(job_request_handler, a_job_is_accepted_once_it_is_stored)
{
    submit("a");
    CHECK(*submitted == submit_outcome::accepted);
    CHECK(is_stored("a"));
    const auto first = c.store.find(hosted::job_key("a"))->modified;
    submit("a");
    CHECK(*submitted == submit_outcome::accepted);
    LONGS_EQUAL(first, c.store.find(hosted::job_key("a"))->modified);
}

// The store stores the job and its answer is lost. The caller must not be told that the job was
// refused: the repeated write finds the stored job, and the caller is told so.
TEST(job_request_handler, a_write_is_repeated_after_a_lost_answer)
{
    c.store.answers_to_lose = 1;
    submit("a");
    CHECK(*submitted == submit_outcome::accepted);
    CHECK(is_stored("a"));
}

// The store refuses writes immediately. The caller is refused well before its deadline.
TEST(job_request_handler, a_definite_refusal_is_reported_at_once)
{
    c.store.busy = true;
    const auto duration_ms = submit("a");
    CHECK(*submitted == submit_outcome::not_accepted);
    CHECK(duration_ms < 400);
    c.store.busy = false;
    c.time.run_for(10s);
    CHECK_FALSE(is_stored("a"));
}

// A write gets no answer, and the store refuses the repeated write. The first write may still take
// effect seconds later, so the caller must not be told that the job was refused: the job would run
// all the same.
TEST(job_request_handler, a_write_that_may_take_effect_later_is_not_refused)
{
    c.store.writes_to_delay = 1;
    c.time.after(500ms, [this] { c.store.busy = true; });
    submit("a");
    CHECK(*submitted == submit_outcome::unknown);
    c.store.busy = false;
    c.time.run_for(5s);
    CHECK(is_stored("a"));
}

// The store does not answer for longer than the caller waits. The answer is sent before the
// caller's deadline.
TEST(job_request_handler, an_unresponsive_store_gives_unknown_before_the_deadline)
{
    c.store.down = true;
    const auto duration_ms = submit("a");
    CHECK(*submitted == submit_outcome::unknown);
    CHECK(duration_ms <= 2500);
}

TEST(job_request_handler, states_come_from_what_is_stored)
{
    query_job_state("a");
    CHECK(state->known && !state->exists);
    c.put_job(c.make_job("a", 1));
    query_job_state("a");
    CHECK(state->exists && state->state == job_state::queued);
    c.store.put(hosted::state_key("a"), R"({"state":"completed"})");
    query_job_state("a");
    CHECK(state->state == job_state::completed);
    c.store.down = true;
    query_job_state("a");
    CHECK_FALSE(state->known);
}

// A caller queries the state while its job ends. The progress is not stored at the first read, and
// at the second read the job record has been removed in the write of its final state. The caller
// must not be told that the job does not exist.
TEST(job_request_handler, a_job_that_ends_between_two_reads_is_found)
{
    c.put_job(c.make_job("a", 1));
    const auto range = n->ctx.store.range;
    auto ctx = n->ctx;
    ctx.store.range = [this, range](const std::string& prefix, const std::string& after, auto done)
    {
        c.store.put(hosted::state_key("a"), R"({"state":"completed"})");
        c.store.remove(hosted::job_key("a"));
        range(prefix, after, done);
    };
    n->desk = std::make_unique<hosted::job_request_handler>(ctx, hosted::job_request_settings{});
    query_job_state("a");
    CHECK(state->known && state->exists);
    CHECK(state->state == job_state::completed);
}

TEST(job_request_handler, a_cancel_is_confirmed_once_it_is_stored)
{
    cancel("a");
    CHECK(*cancelled == cancel_outcome::no_such_job);
    c.put_job(c.make_job("a", 1));
    c.store.answers_to_lose = 1;
    cancel("a");
    CHECK(*cancelled == cancel_outcome::cancelled);
    CHECK(c.store.find(hosted::cancel_key("a")) != nullptr);
    query_job_state("a");
    CHECK(state->state == job_state::cancelled);
    c.store.busy = true;
    cancel("a");
    CHECK(*cancelled == cancel_outcome::not_cancelled);
}

// Whether a job was stored before or after a cancel found none can only be told by the revisions in
// the log lines, and which attempt stored it by the number of attempts.
TEST(job_request_handler, the_log_lines_tell_which_write_took_effect_and_what_was_read)
{
    c.store.put("other", "1");
    cancel("a");
    const auto read = number_in(lines_of(*n, "cancel").back(), "store_revision");
    LONGS_EQUAL(c.store.find("other")->modified, read);
    c.store.writes_to_delay = 1;
    submit("b");
    const auto line = lines_of(*n, "submit").back();
    LONGS_EQUAL(2, number_in(line, "attempts"));
    LONGS_EQUAL(1, number_in(line, "unanswered"));
    LONGS_EQUAL(c.store.find(hosted::job_key("b"))->created, number_in(line, "revision"));
    CHECK(number_in(line, "revision") > read);
}

TEST(job_request_handler, counts_of_waiting_jobs)
{
    CHECK(c.has_leader());
    c.time.run_for(1s);
    count();
    LONGS_EQUAL(0, counted->jobs);
    c.put_job(c.make_job("a", 1)); // there is no host to run the job
    c.put_job(c.make_job("b", 1));
    c.time.run_for(2s);
    count();
    LONGS_EQUAL(2, counted->jobs);
    c.hosts.add("p");
    c.time.run_for(3s);
    count();
    LONGS_EQUAL(0, counted->jobs);
}

// The log line of an answer contains what is needed to check the count: the revision of the record,
// the store's revision at the read, and the age of the cached copy.
TEST(job_request_handler, the_log_line_of_a_count_names_its_record)
{
    CHECK(c.has_leader());
    c.put_job(c.make_job("a", 1));
    c.time.run_for(2s);
    auto line = query_count_line();
    const auto submitted = c.store.find(hosted::pending_key)->modified;
    STRCMP_EQUAL("q", value_in(line, "queue").c_str());
    STRCMP_EQUAL("told", value_in(line, "outcome").c_str());
    STRCMP_EQUAL("1", value_in(line, "jobs").c_str());
    STRCMP_EQUAL("0", value_in(line, "cached_ms").c_str());
    LONGS_EQUAL(submitted, number_in(line, "record_revision"));
    CHECK(number_in(line, "store_revision") >= submitted);
    c.time.run_for(400ms);
    line = query_count_line();
    STRCMP_EQUAL("400", value_in(line, "cached_ms").c_str());
    LONGS_EQUAL(submitted, number_in(line, "record_revision"));
}

// There is no coordinator any more, and jobs are accepted. The record stays as it is, and the log
// line shows that the store's revision has advanced since the record was written.
TEST(job_request_handler, the_log_line_of_a_count_shows_an_outdated_record)
{
    CHECK(c.has_leader());
    c.time.run_for(1s);
    const auto written = c.store.find(hosted::pending_key)->modified;
    n->driver->end_term();
    c.put_job(c.make_job("a", 1));
    c.time.run_for(5s);
    const auto line = query_count_line();
    LONGS_EQUAL(written, number_in(line, "record_revision"));
    CHECK(number_in(line, "store_revision") >= c.store.find(hosted::job_key("a"))->created);
}

TEST(job_request_handler, an_unknown_count_is_logged)
{
    c.store.down = true;
    const auto line = query_count_line();
    CHECK_FALSE(counted->known);
    STRCMP_EQUAL("unknown", value_in(line, "outcome").c_str());
    STRCMP_EQUAL("", value_in(line, "jobs").c_str());
}
