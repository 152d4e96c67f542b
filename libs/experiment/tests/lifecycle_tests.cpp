#include "experiment/codec.hpp"
#include "experiment/lifecycle.hpp"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace camphorhitch;
using namespace camphorhitch::experiment;

namespace
{

const core::wall_time now = core::from_unix_ms(1'000'000);

model::configuration make_config()
{
    model::configuration c;
    c.version = 7;
    for (const char* it : {"careful", "slow", "fast"})
    {
        model::policy_config p;
        p.name = it;
        c.policies.push_back(p);
    }
    for (int i = 0; i < 9; ++i)
    {
        model::pool_config p;
        p.name = "p" + std::to_string(i);
        p.policy = "careful";
        p.size_class = i / 2;
        c.pools.push_back(p);
    }
    return c;
}

start_request make_request()
{
    start_request r;
    r.id = "e1";
    r.command = "c1";
    r.arms = {{"a", "slow"}, {"b", "fast"}};
    for (int i = 0; i < 8; ++i)
    {
        r.pools.push_back("p" + std::to_string(i));
    }
    r.seed = 3;
    r.duration = core::millis{3600000};
    return r;
}

/// Both documents, as in a store with compare-and-swap, with an owner that takes one step at a
/// time.
struct stored_documents
{
    model::configuration config = make_config();
    experiment_document it = std::get<experiment_document>(start(make_request(), config, {}, now));

    void write(const next_write& next)
    {
        if (const auto* c = std::get_if<write_configuration>(&next))
        {
            config = c->next;
        }
        if (const auto* e = std::get_if<write_experiment>(&next))
        {
            it = e->next;
        }
    }

    void run_to_completion()
    {
        for (int i = 0; i < 10; ++i)
        {
            write(next_step(it, config, now));
        }
    }

    std::string policy(int pool) const
    {
        return config.pools[static_cast<std::size_t>(pool)].policy;
    }

    bool is_restored() const
    {
        const model::configuration before = make_config();
        for (std::size_t i = 0; i < config.pools.size(); ++i)
        {
            if (!(config.pools[i] == before.pools[i]))
            {
                return false;
            }
        }
        return true;
    }
};

sample make_sample(const std::string& id, int absent)
{
    sample s;
    s.id = id;
    s.elapsed = core::millis{600000};
    for (int i = 0; i < 8; ++i)
    {
        pool_sample p;
        p.pool = "p" + std::to_string(i);
        p.hosts = 10;
        p.spare_hosts = 1;
        p.absent = i == 3 ? absent : 0;
        p.absent_budget = 2;
        s.pools.push_back(p);
    }
    return s;
}

} // namespace

TEST_GROUP(lifecycle)
{
    stored_documents d;
};

TEST(lifecycle, pools_are_assigned_within_blocks_of_similar_size)
{
    std::set<std::string> assignments;
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        start_request r = make_request();
        r.seed = seed;
        const auto result = std::get<experiment_document>(start(r, d.config, {}, now));
        std::string assignment;
        for (std::size_t i = 0; i < result.pools.size(); i += 2)
        {
            CHECK(result.pools[i].size == result.pools[i + 1].size);
            CHECK(result.pools[i].arm != result.pools[i + 1].arm);
            assignment += result.pools[i].arm;
        }
        assignments.insert(assignment);
        const auto again = std::get<experiment_document>(start(r, d.config, {}, now));
        STRCMP_EQUAL(encode(result).c_str(), encode(again).c_str());
    }
    CHECK(assignments.size() > 5);
}

TEST(lifecycle, all_findings_of_a_request_are_reported)
{
    start_request r = make_request();
    r.arms[1].policy = "fats";
    r.pools[0] = "p10";
    r.pools[2] = "p1";
    r.duration = core::millis{0};
    d.config.pools[4].experiment = "e0";
    const auto found = std::get<core::findings>(start(r, d.config, {}, now));
    STRCMP_EQUAL("experiment /duration_ms: must be above 0\n"
                 "experiment /arms/1/policy: no policy is named 'fats' (did you mean 'fast'?)\n"
                 "experiment /pools/0: no pool is named 'p10' (did you mean 'p0'?)\n"
                 "experiment /pools/2: pool 'p1' is named twice\n"
                 "experiment /pools/4: pool 'p4' is in experiment 'e0' already\n",
        core::to_text(found).c_str());
}

TEST(lifecycle, applies_runs_and_restores)
{
    d.run_to_completion();
    CHECK(d.it.state == experiment_state::running);
    for (const auto& it : d.it.pools)
    {
        STRCMP_EQUAL(
            policy_of(d.it, it.arm).c_str(), model::find_pool(d.config, it.pool)->policy.c_str());
    }
    STRCMP_EQUAL("careful", d.policy(8).c_str());
    CHECK(stop(d.it, "c2", now));
    CHECK_FALSE(stop(d.it, "c2", now));
    d.run_to_completion();
    CHECK(d.it.state == experiment_state::ended);
    CHECK(d.is_restored());
}

// Operators change a pool's policy while the experiment runs, either by a command that removes the
// mark or by an edit of the whole configuration that leaves it. Their choice must remain, also
// after the end of the experiment.
TEST(lifecycle, changes_by_operators_take_precedence)
{
    d.run_to_completion();
    d.config.pools[0].policy = "careful";
    d.config.pools[0].experiment.clear();
    d.config.pools[0].policy_before.clear();
    d.config.pools[1].policy = d.config.pools[1].policy == "slow" ? "fast" : "slow";
    const std::string chosen = d.config.pools[1].policy;
    d.run_to_completion();
    CHECK(find_pool(d.it, "p0")->withdrawn);
    CHECK(find_pool(d.it, "p1")->withdrawn);
    stop(d.it, "c2", now);
    d.run_to_completion();
    STRCMP_EQUAL("careful", d.policy(0).c_str());
    STRCMP_EQUAL(chosen.c_str(), d.policy(1).c_str());
    d.config.pools[1].policy = "careful";
    CHECK(d.is_restored());
}

// Guards against a late write. The owner decides to apply the policies and is paused before its
// write. Another member stops the experiment. The late write must find a newer version of the
// configuration; otherwise the pools would remain under the experiment's policies, and no member
// would restore them.
TEST(lifecycle, a_late_apply_after_the_stop_changes_nothing)
{
    const auto late = std::get<write_configuration>(next_step(d.it, d.config, now));
    const experiment_document stale = d.it;
    const std::int64_t decided_from = d.config.version;
    stop(d.it, "c2", now);
    d.run_to_completion();
    CHECK(d.it.state == experiment_state::ended);
    CHECK(d.config.version != decided_from);
    CHECK_EQUAL(decided_from + 1, late.next.version);
    CHECK(d.is_restored());
    // A new decision of the paused owner, based on its outdated document, may only write that
    // document, and that write is in conflict.
    CHECK(std::holds_alternative<write_experiment>(next_step(stale, d.config, now)));
}

// Guards against interruptions. The owner may end after any write, and two owners may make the same
// write. Wherever the sequence is interrupted and continued, the result is the same.
TEST(lifecycle, interrupted_at_any_step)
{
    for (int interrupted_at = 0; interrupted_at < 8; ++interrupted_at)
    {
        d = stored_documents{};
        for (int step = 0; step < 8; ++step)
        {
            if (step == interrupted_at)
            {
                stop(d.it, "c2", now);
            }
            d.write(next_step(d.it, d.config, now));
        }
        d.run_to_completion();
        CHECK(d.it.state == experiment_state::ended);
        CHECK(d.is_restored());
    }
}

// An operator changes the configuration after the pools were assigned and before the policies are
// applied. A pool with a newly chosen policy keeps this policy.
TEST(lifecycle, a_change_before_the_policies_are_applied)
{
    d.config.version += 1;
    d.config.pools[2].policy = "fast";
    d.run_to_completion();
    CHECK(d.it.state == experiment_state::running);
    CHECK(find_pool(d.it, "p2")->withdrawn);
    STRCMP_EQUAL("fast", d.policy(2).c_str());
    CHECK(d.config.pools[2].experiment.empty());
}

TEST(lifecycle, ends)
{
    struct row
    {
        const char* name;
        int absent;
        int samples;
        end_reason reason;
        const char* decision;
    };
    const row rows[] = {
        {"time", 0, 6, end_reason::completed, "observed"},
        {"over", 3, 1, end_reason::endangered, "pool p3 has 3 hosts absent"},
        {"limit", 2, 2, end_reason::endangered, "pool p3 has had its budget used up for 1200 s"},
        {"not yet", 2, 1, end_reason::none, "started"},
    };
    for (const auto& it : rows)
    {
        d = stored_documents{};
        d.run_to_completion();
        for (int i = 0; i < it.samples; ++i)
        {
            const sample s = make_sample("s" + std::to_string(i), it.absent);
            CHECK(add_sample(d.it, s, now));
            CHECK_FALSE(add_sample(d.it, s, now)); // a repeat after a lost answer
        }
        CHECK_TEXT(it.reason == d.it.reason, it.name);
        CHECK_TEXT(
            d.it.decision.rule.find("started") == 0 || d.it.reason != end_reason::none, it.name);
        if (it.reason != end_reason::none)
        {
            STRCMP_CONTAINS(it.decision, d.it.decision.weighed.c_str());
            d.run_to_completion();
            CHECK(d.it.state == experiment_state::ended);
            CHECK(d.is_restored());
        }
    }
}

TEST(lifecycle, documents_return_unchanged)
{
    d.run_to_completion();
    add_sample(d.it, make_sample("s1", 0), now);
    const auto read = decode_experiment(encode(d.it), "e1");
    CHECK(std::holds_alternative<experiment_document>(read));
    STRCMP_EQUAL(encode(d.it).c_str(), encode(std::get<0>(read)).c_str());
}
