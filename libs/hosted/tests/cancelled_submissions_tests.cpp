#include "log_lines.hpp"
#include "tombstone.hpp"

#include <algorithm>
#include <functional>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using hosted::cancel_outcome;
using hosted::submit_outcome;

namespace
{

using workspace = std::optional<std::string>;
using submission = std::shared_ptr<std::optional<hosted::submit_answer>>;

const std::string key = hosted::tombstone_key("a");

} // namespace

/// Cancels of a job whose submission is still on its way to the store.
TEST_GROUP(cancelled_submissions)
{
    cluster c;
    node* first = nullptr;
    node* second = nullptr;
    std::function<void(const ports::store_transaction&)> before_commit;
    int leases = 0;
    core::millis suspended{
        0}; ///< time that only the clock that runs during suspensions has counted

    void setup() override
    {
        c.requests.tombstone_retention = 20s;
        c.customize_node = [this](node& n)
        {
            n.ctx.boot_now = [this]
            {
                return c.time.now() + suspended;
            };
            n.ctx.store.grant_lease = [this, real = n.ctx.store.grant_lease](auto ttl, auto done)
            {
                leases += ttl > 10s ? 1 : 0;
                real(ttl, done);
            };
            n.ctx.store.commit = [this, real = n.ctx.store.commit](const auto& t, auto done)
            {
                if (before_commit)
                {
                    before_commit(t);
                }
                real(t, done);
            };
        };
        c.hosts.add("p");
        first = &c.add_node();
        second = &c.add_node();
        CHECK(c.has_leader());
    }

    submission submit(node & at, const std::string& owner = {})
    {
        auto job = c.make_job("a", 1);
        job.workspace = owner;
        c.hosts.expect(job);
        auto out = std::make_shared<std::optional<hosted::submit_answer>>();
        at.desk->submit(job, c.time.now() + 2500ms, [out](auto it) { *out = it; });
        return out;
    }

    submit_outcome submit_and_wait(node & at, const std::string& owner = {})
    {
        const auto out = submit(at, owner);
        c.time.run_until([&] { return out->has_value(); }, 5s);
        return out->value().outcome;
    }

    cancel_outcome cancel(
        node & at, const std::string& id = "a", const workspace& caller = std::nullopt)
    {
        std::optional<cancel_outcome> out;
        at.desk->cancel({id, caller}, c.time.now() + 2500ms, [&](auto it) { out = it; });
        c.time.run_until([&] { return out.has_value(); }, 5s);
        return out.value();
    }

    bool is_stored() const
    {
        return c.store.find(hosted::job_key("a")) != nullptr ||
               c.store.find(hosted::state_key("a")) != nullptr;
    }
};

// A submission's write gets no answer. Its caller leaves and cancels the job at another node, which
// finds none. The first node repeats the write, which stored the cancelled job.
TEST(cancelled_submissions, a_repeated_write_does_not_store_the_job)
{
    c.store.writes_to_delay = 1;
    c.store.delayed_write_time = 20s;
    const auto out = submit(*first);
    c.time.run_for(300ms);
    CHECK(cancel(*second) == cancel_outcome::no_such_job);
    c.time.run_for(5s);
    CHECK(!is_stored());
    CHECK(out->value().outcome == submit_outcome::cancelled);
}

// The same, and the first node dies. Nobody repeats the write; the store carries it out seconds
// after the cancel was acknowledged.
TEST(cancelled_submissions, a_late_write_of_a_dead_node_does_not_store_the_job)
{
    c.store.writes_to_delay = 1;
    submit(*first);
    c.time.run_for(300ms);
    first->process.dead = true;
    CHECK(cancel(*second) == cancel_outcome::no_such_job);
    c.time.run_for(10s);
    CHECK(!is_stored());
    STRCMP_EQUAL("", c.breaches().c_str());
}

// The first node's machine is suspended for longer than tombstones last. Once it resumes, its
// caller's deadline has not passed by the clock that stands still meanwhile.
TEST(cancelled_submissions, a_repeat_after_a_suspension_does_not_store_the_job)
{
    c.store.writes_to_delay = 1;
    c.store.delayed_write_time = 60s;
    const auto out = submit(*first);
    c.time.run_for(300ms);
    CHECK(cancel(*second) == cancel_outcome::no_such_job);
    suspended = 60s;
    c.store.remove(key);
    c.time.run_for(5s);
    CHECK(!is_stored());
    CHECK(out->value().outcome == submit_outcome::unknown);
}

// A tombstone that stayed would refuse every later job with this id. It is removed even if no node
// is left that knows of it.
TEST(cancelled_submissions, the_tombstone_goes_away_by_itself)
{
    CHECK(cancel(*first) == cancel_outcome::no_such_job);
    first->process.dead = true;
    const auto refused = submit(*second);
    c.time.run_for(1s);
    CHECK(refused->value().outcome == submit_outcome::cancelled);
    CHECK(refused->value().retry_after > 30s && refused->value().retry_after <= 40s);
    c.time.run_for(18s);
    CHECK(submit_and_wait(*second) == submit_outcome::cancelled);
    c.time.run_for(refused->value().retry_after);
    CHECK(c.store.find(key) == nullptr);
    CHECK(submit_and_wait(*second) == submit_outcome::accepted);
}

// A caller who cancels an id that isn't its own must not keep the owner from using it, and the
// owner's cancel must still apply to the owner's submission.
TEST(cancelled_submissions, apply_to_the_jobs_that_their_caller_may_refer_to)
{
    struct row
    {
        const char* name;
        workspace caller;
        std::string owner;
        bool applies;
    };
    const row rows[] = {
        {"its own", "w1", "w1", true},
        {"of another workspace", "w1", "w2", false},
        {"of no workspace", "w1", "", true},
        {"of all workspaces", std::nullopt, "w2", true},
        {"by a caller without a workspace", "", "w2", false},
    };
    for (const auto& it : rows)
    {
        CHECK(cancel(*first, "a", it.caller) == cancel_outcome::no_such_job);
        const auto outcome = submit_and_wait(*second, it.owner);
        CHECK_TEXT(outcome == (it.applies ? submit_outcome::cancelled : submit_outcome::accepted),
            it.name);
        c.store.remove(key);
        c.store.remove(hosted::job_key("a"));
        c.time.run_for(2s);
        c.store.remove(hosted::state_key("a"));
    }
}

TEST(cancelled_submissions, a_cancel_is_added_to_the_one_of_another_workspace)
{
    cancel(*first, "a", "w1");
    c.store.writes_to_delay = 1;
    const auto out = submit(*first, "w2");
    c.time.run_for(300ms);
    CHECK(cancel(*second, "a", "w2") == cancel_outcome::no_such_job);
    c.time.run_for(8s);
    CHECK(out->value().outcome == submit_outcome::cancelled);
    CHECK(!is_stored());
    CHECK(submit_and_wait(*first, "w1") == submit_outcome::cancelled);
    CHECK(submit_and_wait(*first, "w3") == submit_outcome::accepted);
}

// The job is stored between the cancel's reads and its write. The cancel must not report that there
// is no such job.
TEST(cancelled_submissions, a_job_that_is_stored_meanwhile_is_cancelled)
{
    before_commit = [this](const ports::store_transaction& t)
    {
        if (t.puts[0].key == key)
        {
            before_commit = nullptr;
            c.put_job(c.make_job("a", 1));
        }
    };
    CHECK(cancel(*first) == cancel_outcome::cancelled);
    CHECK(c.ends("a", workflow::job_state::cancelled, 3s));
    CHECK(c.store.find(key) == nullptr);
}

// The job ends between the cancel's two reads, which find neither its state nor its record.
TEST(cancelled_submissions, a_job_that_ends_meanwhile_is_found)
{
    c.put_job(c.make_job("a", 1));
    auto ctx = first->ctx;
    ctx.store.range = [this, real = ctx.store.range](
                          const auto& prefix, const auto& after, auto done)
    {
        c.store.put(hosted::state_key("a"), R"({"state":"completed"})");
        c.store.remove(hosted::job_key("a"));
        real(prefix, after, done);
    };
    first->desk = std::make_unique<hosted::job_request_handler>(ctx, c.requests);
    CHECK(cancel(*first) == cancel_outcome::cancelled);
    CHECK(c.store.find(key) == nullptr);
}

// A cancel was stored after its job had ended, and no coordinator removed it. It must not cancel a
// later job that was answered as accepted.
TEST(cancelled_submissions, a_leftover_cancel_does_not_cancel_a_later_job)
{
    c.store.put(hosted::cancel_key("a"), "1");
    CHECK(submit_and_wait(*first) == submit_outcome::accepted);
    CHECK(c.ends("a", workflow::job_state::completed, 5s));
}

// One lease for each cancel would double the writes of a cancel.
TEST(cancelled_submissions, cancels_share_a_lease)
{
    const auto writes = c.store.writes;
    for (int i = 0; i < 10; ++i)
    {
        cancel(*first, "b" + std::to_string(i));
    }
    LONGS_EQUAL(1, leases);
    CHECK(c.store.writes - writes < 15); // some are the coordinator's
    c.time.run_for(15s);
    cancel(*first, "c");
    LONGS_EQUAL(2, leases);
    c.time.run_for(60s);
    CHECK(c.store.find(hosted::tombstone_key("c")) == nullptr);
}

// The store has ended the lease, as it may while it is down.
TEST(cancelled_submissions, a_lease_that_has_ended_is_replaced)
{
    cancel(*first, "b");
    std::optional<ports::kv_status> ended;
    first->ctx.store.end_lease(
        c.store.find(hosted::tombstone_key("b"))->lease, [&](ports::kv_status it) { ended = it; });
    c.time.run_until([&] { return ended.has_value(); }, 1s);
    CHECK(cancel(*first) == cancel_outcome::no_such_job);
    CHECK(c.store.find(key) != nullptr);
    LONGS_EQUAL(2, leases);
}

// The node's machine is suspended while the tombstone is written. Its lease, which was long enough
// before, is about to end, and a late write could be carried out after that.
TEST(cancelled_submissions, a_tombstone_that_would_end_too_early_is_written_again)
{
    before_commit = [this](const ports::store_transaction& t)
    {
        if (t.puts[0].key == key)
        {
            before_commit = nullptr;
            suspended = 35s;
        }
    };
    CHECK(cancel(*first) == cancel_outcome::no_such_job);
    LONGS_EQUAL(2, leases);
    c.time.run_for(42s);
    CHECK(c.store.find(key) == nullptr);
}

// An answer that no such job exists would be a promise that nothing keeps.
TEST(cancelled_submissions, are_not_acknowledged_without_a_tombstone)
{
    before_commit = [this](const ports::store_transaction&)
    {
        c.store.busy = true;
    };
    CHECK(cancel(*first) == cancel_outcome::not_cancelled);
    c.store.busy = false;
    before_commit = [this](const ports::store_transaction&)
    {
        c.store.down = true;
    };
    CHECK(cancel(*first) == cancel_outcome::unknown);
}

// Whose job a damaged tombstone cancels is not known, so it applies to all, until it is gone.
TEST(cancelled_submissions, a_damaged_tombstone_refuses_the_job_and_is_logged)
{
    const char* const texts[] = {"",
        "[]",
        R"({"workspaces":[],"all":1,"expires_unix_ms":1})",
        R"({"workspaces":[],"all":true,"expires_unix_ms":-1})",
        R"({"workspaces":[1],"all":true,"expires_unix_ms":1})",
        R"({"workspaces":"w","all":true,"expires_unix_ms":1})"};
    for (const auto* const it : texts)
    {
        c.store.put(key, it);
        CHECK_TEXT(submit_and_wait(*second, "w") == submit_outcome::cancelled, it);
        STRCMP_CONTAINS(key.c_str(), lines_of(*second, "record_damaged").back().c_str());
    }
    CHECK(cancel(*first, "a", "w") == cancel_outcome::no_such_job);
    CHECK(core::is_ok(hosted::read_tombstone(c.store.find(key)->value)));
}
