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

/// Both documents in a store with compare-and-swap, and an owner that takes one step at a time.
struct documents
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

    void settle()
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

    bool all_as_before() const
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
        p.held_back = 1;
        p.absent = i == 3 ? absent : 0;
        p.absent_budget = 2;
        s.pools.push_back(p);
    }
    return s;
}

} // namespace

TEST_GROUP(lifecycle)
{
    documents d;
};

TEST(lifecycle, pools_are_dealt_within_blocks_of_like_size)
{
    std::set<std::string> deals;
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        start_request r = make_request();
        r.seed = seed;
        const auto made = std::get<experiment_document>(start(r, d.config, {}, now));
        std::string deal;
        for (std::size_t i = 0; i < made.pools.size(); i += 2)
        {
            CHECK(made.pools[i].size == made.pools[i + 1].size);
            CHECK(made.pools[i].arm != made.pools[i + 1].arm);
            deal += made.pools[i].arm;
        }
        deals.insert(deal);
        const auto again = std::get<experiment_document>(start(r, d.config, {}, now));
        STRCMP_EQUAL(encode(made).c_str(), encode(again).c_str());
    }
    CHECK(deals.size() > 5);
}

TEST(lifecycle, everything_wrong_with_a_request_is_told)
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
    d.settle();
    CHECK(d.it.state == experiment_state::running);
    for (const auto& it : d.it.pools)
    {
        STRCMP_EQUAL(
            policy_of(d.it, it.arm).c_str(), model::find_pool(d.config, it.pool)->policy.c_str());
    }
    STRCMP_EQUAL("careful", d.policy(8).c_str());
    CHECK(stop(d.it, "c2", now));
    CHECK_FALSE(stop(d.it, "c2", now));
    d.settle();
    CHECK(d.it.state == experiment_state::ended);
    CHECK(d.all_as_before());
}

// Operators change a pool's policy while the experiment runs, by a command that takes the mark
// away or by an edit of the whole configuration that leaves it. Their choice stands, also at the
// end.
TEST(lifecycle, operators_changes_win)
{
    d.settle();
    d.config.pools[0].policy = "careful";
    d.config.pools[0].experiment.clear();
    d.config.pools[0].policy_before.clear();
    d.config.pools[1].policy = d.config.pools[1].policy == "slow" ? "fast" : "slow";
    const std::string chosen = d.config.pools[1].policy;
    d.settle();
    CHECK(find_pool(d.it, "p0")->withdrawn);
    CHECK(find_pool(d.it, "p1")->withdrawn);
    stop(d.it, "c2", now);
    d.settle();
    STRCMP_EQUAL("careful", d.policy(0).c_str());
    STRCMP_EQUAL(chosen.c_str(), d.policy(1).c_str());
    d.config.pools[1].policy = "careful";
    CHECK(d.all_as_before());
}

// The owner decided to apply the policies and is paused before its write. Another member stops the
// experiment. The late write must find the configuration moved on, or the pools would stay under
// the experiment's policies with nobody left to restore them.
TEST(lifecycle, a_late_apply_after_the_stop_changes_nothing)
{
    const auto late = std::get<write_configuration>(next_step(d.it, d.config, now));
    const experiment_document stale = d.it;
    const std::int64_t decided_from = d.config.version;
    stop(d.it, "c2", now);
    d.settle();
    CHECK(d.it.state == experiment_state::ended);
    CHECK(d.config.version != decided_from);
    CHECK_EQUAL(decided_from + 1, late.next.version);
    CHECK(d.all_as_before());
    // Deciding anew from its old view of the experiment it may only write that document, and that
    // write is in conflict.
    CHECK(std::holds_alternative<write_experiment>(next_step(stale, d.config, now)));
}

// Each write may be the last of its owner, or be done twice by two owners: wherever the work is
// cut off and taken up again, the end is the same.
TEST(lifecycle, cut_off_at_any_step)
{
    for (int cut = 0; cut < 8; ++cut)
    {
        d = documents{};
        for (int step = 0; step < 8; ++step)
        {
            if (step == cut)
            {
                stop(d.it, "c2", now);
            }
            d.write(next_step(d.it, d.config, now));
        }
        d.settle();
        CHECK(d.it.state == experiment_state::ended);
        CHECK(d.all_as_before());
    }
}

// An operator changes the configuration after the draw and before the policies are applied: a pool
// with a newly chosen policy is left to it.
TEST(lifecycle, a_change_before_the_policies_are_applied)
{
    d.config.version += 1;
    d.config.pools[2].policy = "fast";
    d.settle();
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
        end_cause cause;
        const char* why;
    };
    const row rows[] = {
        {"time", 0, 6, end_cause::completed, "observed"},
        {"over", 3, 1, end_cause::endangered, "pool p3 has 3 hosts absent"},
        {"limit", 2, 2, end_cause::endangered, "pool p3 has had its budget used up for 1200 s"},
        {"not yet", 2, 1, end_cause::none, "started"},
    };
    for (const auto& it : rows)
    {
        d = documents{};
        d.settle();
        for (int i = 0; i < it.samples; ++i)
        {
            const sample s = make_sample("s" + std::to_string(i), it.absent);
            CHECK(add_sample(d.it, s, now));
            CHECK_FALSE(add_sample(d.it, s, now)); // a repeat after a lost answer
        }
        CHECK_TEXT(it.cause == d.it.cause, it.name);
        CHECK_TEXT(d.it.why.rule.find("started") == 0 || d.it.cause != end_cause::none, it.name);
        if (it.cause != end_cause::none)
        {
            STRCMP_CONTAINS(it.why, d.it.why.weighed.c_str());
            d.settle();
            CHECK(d.it.state == experiment_state::ended);
            CHECK(d.all_as_before());
        }
    }
}

TEST(lifecycle, documents_return_unchanged)
{
    d.settle();
    add_sample(d.it, make_sample("s1", 0), now);
    const auto read = decode_experiment(encode(d.it), "e1");
    CHECK(std::holds_alternative<experiment_document>(read));
    STRCMP_EQUAL(encode(d.it).c_str(), encode(std::get<0>(read)).c_str());
}
