#include "log_lines.hpp"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using hosted::cancel_outcome;
using hosted::submit_outcome;
using workflow::job_state;

TEST_GROUP(entry_desk)
{
    cluster c;
    node* n = &c.add_node();
    std::optional<submit_outcome> told;
    std::optional<cancel_outcome> cancelled;
    std::optional<hosted::state_answer> state;
    std::optional<hosted::pending_answer> counted;

    /// \return how long the answer took.
    std::int64_t submit(const std::string& id, core::millis patience = 2500ms)
    {
        told.reset();
        const auto begun = c.time.passed_ms();
        n->desk->submit(
            c.make_job(id, 1), c.time.now() + patience, [this](submit_outcome it) { told = it; });
        c.time.run_until([this] { return told.has_value(); }, 20s);
        CHECK(told.has_value());
        return c.time.passed_ms() - begun;
    }

    void cancel(const std::string& id)
    {
        cancelled.reset();
        n->desk->cancel(id, c.time.now() + 2500ms, [this](cancel_outcome it) { cancelled = it; });
        c.time.run_until([this] { return cancelled.has_value(); }, 20s);
    }

    void ask(const std::string& id)
    {
        state.reset();
        n->desk->tell_state(
            id, c.time.now() + 2500ms, [this](hosted::state_answer it) { state = it; });
        c.time.run_until([this] { return state.has_value(); }, 20s);
    }

    void count()
    {
        counted.reset();
        n->desk->count_pending(
            "q", c.time.now() + 1s, [this](hosted::pending_answer it) { counted = it; });
        c.time.run_until([this] { return counted.has_value(); }, 5s);
    }

    /// Asks for the count. \return the line of the answer.
    std::string line_of_count()
    {
        count();
        return lines_of(*n, "pending_told").back();
    }

    bool is_stored(const std::string& id) const
    {
        return c.store.find(hosted::job_key(id)) != nullptr;
    }
};

TEST(entry_desk, a_job_is_accepted_once_it_is_stored)
{
    submit("a");
    CHECK(*told == submit_outcome::accepted);
    CHECK(is_stored("a"));
    const auto first = c.store.find(hosted::job_key("a"))->modified;
    submit("a");
    CHECK(*told == submit_outcome::accepted);
    LONGS_EQUAL(first, c.store.find(hosted::job_key("a"))->modified);
}

// The store takes the job and its answer is lost. The caller must not hear that it was refused: the
// repeat meets the stored job and tells so.
TEST(entry_desk, a_lost_answer_is_asked_for_again)
{
    c.store.answers_to_lose = 1;
    submit("a");
    CHECK(*told == submit_outcome::accepted);
    CHECK(is_stored("a"));
}

// The store refuses at once; so does the answer, well before the caller's patience ends.
TEST(entry_desk, a_certain_refusal_is_told_at_once)
{
    c.store.busy = true;
    const auto took = submit("a");
    CHECK(*told == submit_outcome::not_accepted);
    CHECK(took < 400);
    c.store.busy = false;
    c.time.run_for(10s);
    CHECK_FALSE(is_stored("a"));
}

// A write gets no answer and the store is refusing by the time of the repeat. The first may land
// seconds later, so a refusal would be a lie: the job would run all the same.
TEST(entry_desk, what_may_land_later_is_not_refused)
{
    c.store.writes_to_delay = 1;
    c.time.after(500ms, [this] { c.store.busy = true; });
    submit("a");
    CHECK(*told == submit_outcome::unknown);
    c.store.busy = false;
    c.time.run_for(5s);
    CHECK(is_stored("a"));
}

// The store is silent for longer than the caller waits: the answer comes before the caller leaves.
TEST(entry_desk, a_silent_store_ends_in_unknown_before_the_deadline)
{
    c.store.down = true;
    const auto took = submit("a");
    CHECK(*told == submit_outcome::unknown);
    CHECK(took <= 2500);
}

TEST(entry_desk, states_come_from_what_is_stored)
{
    ask("a");
    CHECK(state->known && !state->exists);
    c.put_job(c.make_job("a", 1));
    ask("a");
    CHECK(state->exists && state->state == job_state::queued);
    c.store.put(hosted::state_key("a"), R"({"state":"completed"})");
    ask("a");
    CHECK(state->state == job_state::completed);
    c.store.down = true;
    ask("a");
    CHECK_FALSE(state->known);
}

// A caller asks just as its job ends. Its progress was not stored at the first reading, and at the
// second the job is gone with the write of its final state. It must not hear that there is none.
TEST(entry_desk, a_job_that_ends_between_two_readings_is_known)
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
    n->desk = std::make_unique<hosted::entry_desk>(ctx, hosted::entry_settings{});
    ask("a");
    CHECK(state->known && state->exists);
    CHECK(state->state == job_state::completed);
}

TEST(entry_desk, a_cancel_is_told_once_it_is_stored)
{
    cancel("a");
    CHECK(*cancelled == cancel_outcome::no_such_job);
    c.put_job(c.make_job("a", 1));
    c.store.answers_to_lose = 1;
    cancel("a");
    CHECK(*cancelled == cancel_outcome::cancelled);
    CHECK(c.store.find(hosted::cancel_key("a")) != nullptr);
    ask("a");
    CHECK(state->state == job_state::cancelled);
    c.store.busy = true;
    cancel("a");
    CHECK(*cancelled == cancel_outcome::not_cancelled);
}

TEST(entry_desk, counts_of_waiting_jobs)
{
    CHECK(c.has_leader());
    c.time.run_for(1s);
    count();
    LONGS_EQUAL(0, counted->jobs);
    c.put_job(c.make_job("a", 1)); // there is no host to run it
    c.put_job(c.make_job("b", 1));
    c.time.run_for(2s);
    count();
    LONGS_EQUAL(2, counted->jobs);
    c.hosts.add("p");
    c.time.run_for(3s);
    count();
    LONGS_EQUAL(0, counted->jobs);
}

// A caller doubts the count. The answer's line names the record it was told from, how new the
// store was at the reading, and how old the own copy of it was.
TEST(entry_desk, a_told_count_names_its_record)
{
    CHECK(c.has_leader());
    c.put_job(c.make_job("a", 1));
    c.time.run_for(2s);
    auto line = line_of_count();
    const auto told = c.store.find(hosted::pending_key)->modified;
    STRCMP_EQUAL("q", value_in(line, "queue").c_str());
    STRCMP_EQUAL("told", value_in(line, "outcome").c_str());
    STRCMP_EQUAL("1", value_in(line, "jobs").c_str());
    STRCMP_EQUAL("0", value_in(line, "cached_ms").c_str());
    LONGS_EQUAL(told, number_in(line, "record_revision"));
    CHECK(number_in(line, "store_revision") >= told);
    c.time.run_for(400ms);
    line = line_of_count();
    STRCMP_EQUAL("400", value_in(line, "cached_ms").c_str());
    LONGS_EQUAL(told, number_in(line, "record_revision"));
}

// Nobody coordinates any more and jobs are accepted: the record stays as it was. The line shows
// that the store has gone on since the record was written.
TEST(entry_desk, a_told_count_shows_that_its_record_was_left)
{
    CHECK(c.has_leader());
    c.time.run_for(1s);
    const auto written = c.store.find(hosted::pending_key)->modified;
    n->driver->end_term();
    c.put_job(c.make_job("a", 1));
    c.time.run_for(5s);
    const auto line = line_of_count();
    LONGS_EQUAL(written, number_in(line, "record_revision"));
    CHECK(number_in(line, "store_revision") >= c.store.find(hosted::job_key("a"))->created);
}

TEST(entry_desk, a_count_that_is_not_known_has_a_line)
{
    c.store.down = true;
    const auto line = line_of_count();
    CHECK_FALSE(counted->known);
    STRCMP_EQUAL("unknown", value_in(line, "outcome").c_str());
    STRCMP_EQUAL("", value_in(line, "jobs").c_str());
}
