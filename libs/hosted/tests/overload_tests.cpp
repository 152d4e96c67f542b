#include "forecast_digest.hpp"
#include "log_lines.hpp"
#include "refused_work.hpp"

#include <functional>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using hosted::submit_answer;
using hosted::submit_outcome;
using workflow::job_state;

/// Nodes that refuse jobs by the forecast. The test publishes it in place of the coordinator.
TEST_GROUP(overload)
{
    cluster c;
    bool publishing = false;
    core::millis wait{60000}; ///< of pool p, as published
    int published = 0;
    int digest_reads = 0; ///< of all nodes
    node* n = nullptr;

    void setup() override
    {
        c.customize_node = [this](node& it)
        {
            it.ctx.store.get = [this, real = it.ctx.store.get](
                                   const auto& key, auto fresh, const auto& done)
            {
                digest_reads += key == hosted::forecast_key ? 1 : 0;
                real(key, fresh, done);
            };
        };
        n = &add_node();
    }

    node& add_node()
    {
        auto& it = c.add_node();
        hosted::job_request_settings s;
        s.rejects_hopeless = true;
        it.desk = std::make_unique<hosted::job_request_handler>(it.ctx, s);
        return it;
    }

    std::string digest_text() const
    {
        std::map<std::string, coordinator::pool_forecast> pools;
        pools["p"].cores = 10;
        pools["p"].in_time_core_seconds = 60;
        pools["p"].wait = wait;
        return hosted::write_forecast_digest(pools, {});
    }

    void publish()
    {
        if (publishing)
        {
            c.store.put(hosted::forecast_key, digest_text());
            ++published;
            c.time.after(500ms, [this] { publish(); });
        }
    }

    submit_answer submit(node & to, const workflow::job& j)
    {
        std::optional<submit_answer> out;
        c.hosts.expect(j);
        to.desk->submit(j, c.time.now() + 2500ms, [&](submit_answer it) { out = it; });
        CHECK(c.time.run_until([&] { return out.has_value(); }, 2500ms));
        return *out;
    }

    submit_answer submit(const std::string& id)
    {
        return submit(*n, c.make_job(id, 1));
    }

    /// Publishes the forecast until \p to knows it and its age.
    void overload(node & to)
    {
        if (!publishing)
        {
            publishing = true;
            publish();
        }
        // Two reads whose digests differ, half a second apart at least, are needed.
        for (int i = 0; i < 3; ++i)
        {
            submit(to, c.make_job(to.ctx.member + "-probe" + std::to_string(i), 1));
            c.time.run_for(2100ms);
        }
        submit(to, c.make_job(to.ctx.member + "-probe3", 1));
        c.time.run_for(50ms);
    }

    /// Replaces the digest that \p n has; the coordinator publishes no other.
    void replace_digest(const std::string& text)
    {
        publishing = false;
        c.time.run_for(600ms);
        c.store.put(hosted::forecast_key, text);
        submit("x"); // causes the read
        c.time.run_for(50ms);
    }

    bool is_stored(const std::string& id) const
    {
        return c.store.find(hosted::job_key(id)) != nullptr ||
               c.store.find(hosted::state_key(id)) != nullptr;
    }
};

// A node's write gets no answer, and the caller repeats the submission at a node that refuses it.
// The first write is carried out after the refusal, and the job runs.
TEST(overload, a_job_that_another_node_refuses_is_not_stored_later)
{
    overload(*n);
    auto& first = add_node();
    c.store.writes_to_delay = 1;
    const auto job = c.make_job("a", 1);
    c.hosts.expect(job);
    first.desk->submit(job, c.time.now() + 2500ms, [](submit_answer) {});
    c.time.run_for(300ms);
    first.process.dead = true;
    CHECK(submit(*n, job).outcome == submit_outcome::overloaded);
    c.time.run_for(10s);
    CHECK(!is_stored("a"));
}

TEST(overload, a_refused_job_is_not_stored_and_never_runs)
{
    c.hosts.add("p");
    overload(*n);
    const auto it = submit("a");
    CHECK(it.outcome == submit_outcome::overloaded);
    CHECK(it.retry_after >= 1s && it.retry_after <= 10s);
    const auto starts = c.hosts.starts;
    c.time.run_for(10s);
    CHECK_FALSE(is_stored("a"));
    LONGS_EQUAL(starts, c.hosts.starts);
    const auto line = lines_of(*n, "submit_rejected").front();
    STRCMP_EQUAL("a", value_in(line, "id").c_str());
    STRCMP_EQUAL("q", value_in(line, "queue").c_str());
    STRCMP_EQUAL("p", value_in(line, "pool").c_str());
    CHECK(number_in(line, "expected_ms") > number_in(line, "objective_ms"));
    CHECK(number_in(line, "digest_age_ms") < 3000);
    LONGS_EQUAL(it.retry_after.count(), number_in(line, "retry_after_ms"));
}

// The coordinator learns of the refused work, also of a job that is refused repeatedly, until the
// node shuts down.
TEST(overload, refused_work_is_reported_until_the_shutdown)
{
    overload(*n);
    for (int i = 0; i < 3; ++i)
    {
        CHECK(submit("a").outcome == submit_outcome::overloaded);
    }
    c.time.run_for(1100ms);
    const auto* const it = c.store.find(hosted::refused_key("n1"));
    CHECK(it != nullptr);
    const auto read = core::value(hosted::read_refused_work(it->value));
    DOUBLES_EQUAL(3 * 0.4, read.pools.at("p"), 0.001); // one task of one core and 400 ms each
    n->desk->withdraw_reports();
    c.time.run_for(50ms);
    POINTERS_EQUAL(nullptr, c.store.find(hosted::refused_key("n1")));
}

// A caller should learn of a refusal long before its deadline, so that it can go elsewhere.
TEST(overload, a_refusal_is_sent_at_once)
{
    overload(*n);
    const auto started_ms = c.time.passed_ms();
    CHECK(submit("a").outcome == submit_outcome::overloaded);
    CHECK(c.time.passed_ms() - started_ms < 50);
}

TEST(overload, a_refused_job_is_accepted_once_the_pool_has_capacity)
{
    overload(*n);
    CHECK(submit("a").outcome == submit_outcome::overloaded);
    wait = 0ms;
    c.time.run_for(1s);
    submit("b"); // causes the read
    c.time.run_for(50ms);
    CHECK(submit("a").outcome == submit_outcome::accepted);
    CHECK(is_stored("a"));
}

// The caller of an accepted job has lost the answer and submits it again, at the same or another
// node, while the pool is overloaded. If it were refused, the job would run although its caller was
// told that it never does.
TEST(overload, a_repeat_of_an_accepted_job_is_accepted)
{
    auto& other = add_node();
    CHECK(submit("a").outcome == submit_outcome::accepted);
    overload(*n);
    CHECK(submit("a").outcome == submit_outcome::accepted);
    CHECK(submit("b").outcome == submit_outcome::overloaded);
    overload(other);
    CHECK(submit(other, c.make_job("a", 1)).outcome == submit_outcome::accepted);
    STRCMP_EQUAL("exists", value_in(lines_of(other, "submit").back(), "store").c_str());
    CHECK(submit(other, c.make_job("b", 1)).outcome == submit_outcome::overloaded);
}

// As above, after the job has ended: only its state remains.
TEST(overload, a_repeat_of_a_job_that_has_ended_is_accepted)
{
    c.hosts.add("p");
    CHECK(submit("a").outcome == submit_outcome::accepted);
    CHECK(c.ends("a", job_state::completed, 5s));
    overload(*n);
    POINTERS_EQUAL(nullptr, c.store.find(hosted::job_key("a")));
    CHECK(submit("a").outcome == submit_outcome::accepted);
    LONGS_EQUAL(0, lines_of(*n, "submit_rejected").size());
}

// The coordinator dies and a successor continues; both repeats and refusals stay true.
TEST(overload, a_repeat_is_accepted_across_a_take_over)
{
    c.hosts.add("p");
    auto& other = add_node();
    CHECK(c.has_leader());
    CHECK(submit(other, c.make_job("a", 1)).outcome == submit_outcome::accepted);
    overload(other);
    CHECK(submit(other, c.make_job("b", 1)).outcome == submit_outcome::overloaded);
    auto& leading = *c.leader();
    auto& remaining = &leading == n ? other : *n;
    leading.process.dead = true;
    overload(remaining);
    CHECK(submit(remaining, c.make_job("a", 1)).outcome == submit_outcome::accepted);
    CHECK(c.ends("a", job_state::completed, 20s));
    CHECK_FALSE(is_stored("b"));
    STRCMP_EQUAL("", c.breaches().c_str());
}

// A job of another workspace has the id: the caller must choose another id, not wait.
TEST(overload, an_id_of_another_workspace_is_reported_as_taken)
{
    auto j = c.make_job("a", 1);
    j.workspace = "w1";
    CHECK(submit(*n, j).outcome == submit_outcome::accepted);
    overload(*n);
    j.workspace = "w2";
    CHECK(submit(*n, j).outcome == submit_outcome::id_taken);
}

// The write of a job got no answer and takes effect seconds later. A repeat must not be refused as
// never running in the meantime.
TEST(overload, a_job_whose_write_may_still_take_effect_is_not_refused)
{
    overload(*n);
    publishing = false;
    c.time.run_for(5s); // the digest is old now: the job is submitted
    c.store.writes_to_delay = 1;
    c.store.delayed_write_time = 15s;
    c.time.after(500ms, [this] { c.store.busy = true; });
    CHECK(submit("a").outcome == submit_outcome::unknown);
    c.store.busy = false;
    overload(*n);
    CHECK_FALSE(is_stored("a"));
    CHECK(submit("a").outcome == submit_outcome::accepted);
    CHECK(submit("b").outcome == submit_outcome::overloaded);
}

// Two submissions of one id arrive at a node while the digest begins to refuse: the write of the
// first is in flight when the second is judged.
TEST(overload, a_job_whose_write_is_in_flight_is_not_refused)
{
    wait = 0ms;
    overload(*n);
    wait = 60s;
    c.time.run_for(2000ms);
    std::optional<submit_outcome> first;
    std::optional<submit_outcome> second;
    c.store.writes_to_delay = 1;
    const auto deadline = c.time.now() + 2500ms;
    n->desk->submit(c.make_job("a", 1), deadline, [&](submit_outcome it) { first = it; });
    c.time.run_for(50ms);
    n->desk->submit(c.make_job("a", 1), deadline, [&](submit_outcome it) { second = it; });
    CHECK(submit("b").outcome == submit_outcome::overloaded);
    CHECK_FALSE(first.has_value());
    c.time.run_for(2500ms);
    CHECK(first == submit_outcome::accepted);
    CHECK(second == submit_outcome::accepted);
    CHECK(is_stored("a"));
}

// The pool gets capacity while a node checks whether the job that it is about to refuse is stored,
// and a second submission of the job is accepted meanwhile: the first one must not be refused.
TEST(overload, a_job_that_is_stored_during_the_check_is_not_refused)
{
    overload(*n);
    wait = 0ms;
    c.time.run_for(600ms);
    std::optional<submit_outcome> first;
    std::optional<submit_outcome> second;
    const auto deadline = c.time.now() + 2500ms;
    n->desk->submit(c.make_job("a", 1), deadline, [&](submit_outcome it) { first = it; });
    c.time.run_for(3ms); // the node has the next digest; a check takes 4 ms
    CHECK_FALSE(first.has_value());
    n->desk->submit(c.make_job("a", 1), deadline, [&](submit_outcome it) { second = it; });
    c.time.run_for(100ms);
    CHECK(first == submit_outcome::accepted);
    CHECK(second == submit_outcome::accepted);
}

// Each row is a failure in which the forecast says nothing certain, so that jobs are accepted as if
// there were none.
TEST(overload, without_a_certain_forecast_jobs_are_accepted)
{
    const struct
    {
        const char* failure;
        std::function<void()> happen;
    } rows[] = {
        {"no coordinator, or a frozen one: the digest ages",
            [this]
            {
                publishing = false;
                c.time.run_for(4s);
            }},
        {"the digest is damaged",
            [this]
            {
                replace_digest("{\"pools\":");
            }},
        {"the digest was removed",
            [this]
            {
                publishing = false;
                c.time.run_for(600ms);
                c.store.remove(hosted::forecast_key);
                submit("x");
                c.time.run_for(50ms);
            }},
        {"the coordinator does not know the pool",
            [this]
            {
                replace_digest(
                    R"({"pools":{"r":{"cores":1,"wait_ms":60000,"admitted_core_ms":1}},"times":{}})");
            }},
        {"the node was idle: its digest is old",
            [this]
            {
                c.time.run_for(10s);
            }},
        {"the node was paused: its digest is old",
            [this]
            {
                n->process.paused = true;
                c.time.run_for(10s);
                c.time.resume(n->process);
            }},
        {"a node that has restarted reads its first digest",
            [this]
            {
                n = &add_node();
                submit("x");
                c.time.run_for(50ms);
            }},
    };
    int i = 0;
    for (const auto& it : rows)
    {
        overload(*n);
        CHECK_TEXT(
            submit("r" + std::to_string(i)).outcome == submit_outcome::overloaded, it.failure);
        it.happen();
        const auto id = "a" + std::to_string(i++);
        CHECK_TEXT(submit(id).outcome == submit_outcome::accepted, it.failure);
        CHECK_TEXT(is_stored(id), it.failure);
    }
    CHECK(lines_of(c.nodes.front(), "record_damaged").size() == 1);
}

// The coordinator is of the previous version, or has the default settings: it publishes nothing.
TEST(overload, without_a_digest_jobs_are_accepted)
{
    for (int i = 0; i < 8; ++i)
    {
        CHECK(submit("a" + std::to_string(i)).outcome == submit_outcome::accepted);
        c.time.run_for(700ms);
    }
}

// The store stops to answer. Whether the job is stored can't be read, so the submission ends as
// without a forecast: unknown or not accepted, by the caller's deadline.
TEST(overload, an_unresponsive_store_is_answered_as_without_a_forecast)
{
    overload(*n);
    c.store.down = true;
    const auto first = submit("a").outcome;
    CHECK(first == submit_outcome::unknown);
    c.time.run_for(3s);
    CHECK(submit("b").outcome == submit_outcome::not_accepted);
    c.store.down = false;
    c.store.busy = true;
    c.time.run_for(3s);
    CHECK(submit("c").outcome == submit_outcome::not_accepted);
}

// A single read fails. The job is submitted as usual, since it may be stored already.
TEST(overload, a_failed_check_submits_the_job)
{
    overload(*n);
    c.store.busy = true;
    c.time.after(30ms, [this] { c.store.busy = false; });
    CHECK(submit("a").outcome == submit_outcome::accepted);
    CHECK(is_stored("a"));
}

// Reads of the digest hang while the rest of the store answers. Submissions must not wait for them.
TEST(overload, reads_of_the_digest_delay_no_submission)
{
    int hanging = 0;
    auto ctx = n->ctx;
    ctx.store.get = [&hanging, real = ctx.store.get](const auto& key, auto fresh, const auto& done)
    {
        if (key == hosted::forecast_key)
        {
            ++hanging;
            return;
        }
        real(key, fresh, done);
    };
    hosted::job_request_settings s;
    s.rejects_hopeless = true;
    n->desk = std::make_unique<hosted::job_request_handler>(ctx, s);
    for (int i = 0; i < 5; ++i)
    {
        const auto started_ms = c.time.passed_ms();
        CHECK(submit("a" + std::to_string(i)).outcome == submit_outcome::accepted);
        CHECK(c.time.passed_ms() - started_ms < 20);
    }
    LONGS_EQUAL(1, hanging);
}

// Each read has a price: 42 nodes read twice a second at most, and not at all without callers.
TEST(overload, the_digest_is_read_only_while_callers_submit)
{
    overload(*n);
    digest_reads = 0;
    c.time.run_for(10s);
    LONGS_EQUAL(0, digest_reads);
    for (int i = 0; i < 200; ++i)
    {
        submit("a" + std::to_string(i));
        c.time.run_for(50ms);
    }
    CHECK(digest_reads >= 10);
    CHECK(digest_reads <= 23);
    wait = 0ms;
    c.time.run_for(3s);
    submit("b");
    c.time.run_for(50ms);
    digest_reads = 0;
    for (int i = 0; i < 200; ++i)
    {
        submit("c" + std::to_string(i));
        c.time.run_for(50ms);
    }
    CHECK(digest_reads <= 6);
}

// A node of the previous version, or one with the default settings, reads no digest and refuses
// nothing; nodes of both versions serve callers side by side during an update.
TEST(overload, a_node_with_the_default_settings_refuses_nothing)
{
    overload(*n);
    auto& other = c.add_node();
    digest_reads = 0;
    for (int i = 0; i < 8; ++i)
    {
        CHECK(submit(other, c.make_job("a" + std::to_string(i), 1)).outcome ==
              submit_outcome::accepted);
        c.time.run_for(700ms);
    }
    LONGS_EQUAL(0, digest_reads);
    overload(*n);
    CHECK(submit("b").outcome == submit_outcome::overloaded);
}
