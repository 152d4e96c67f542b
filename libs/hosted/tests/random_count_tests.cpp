#include "random_simulation.hpp"

#include <algorithm>
#include <list>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using namespace camphorhitch::hosted_tests;

namespace
{

constexpr core::millis max_count_age{
    2000}; ///< maximum age of a count that the callers' interface allows

/// Queries nodes for the number of waiting jobs during random faults, and checks each answer.
struct pending_count_simulation
{
    random_simulation w;
    /// Separate from the fault generator, so that the faults depend on the seed only.
    std::mt19937_64 random;
    std::map<std::string, core::mono_time> accepted_at;
    /// When tasks started at the runners, to within a step.
    std::map<std::string, core::mono_time> started_at;
    std::string violations;
    int reported = 0;
    int refused = 0;
    int exact = 0; ///< answers for which an upper bound is checked too

    explicit pending_count_simulation(
        std::uint64_t seed, const std::function<void(cluster&)>& prepare = {})
        : w(seed, prepare), random(seed)
    {
        w.after_step = [this]
        {
            step();
        };
    }

    void step()
    {
        record_events();
        auto n = w.c.nodes.begin();
        std::advance(n, static_cast<std::ptrdiff_t>(random() % w.c.nodes.size()));
        if (!n->process.dead && !n->process.paused)
        {
            query(*n, false);
        }
    }

    void record_events()
    {
        for (const auto& id : w.jobs)
        {
            accepted_at.try_emplace(id, w.c.time.now());
        }
        for (const auto& id : w.c.hosts.started_jobs)
        {
            started_at.try_emplace(id, w.c.time.now());
        }
    }

    /// \return the number of jobs accepted before \p before that have not started.
    int min_waiting(core::mono_time before) const
    {
        return static_cast<int>(std::count_if(accepted_at.begin(),
            accepted_at.end(),
            [&](const auto& it)
            { return it.second < before && !w.c.hosts.started_jobs.contains(it.first); }));
    }

    /// \return the number of jobs that had not started 2 s ago, including those accepted since.
    int max_waiting() const
    {
        const auto then = w.c.time.now() - max_count_age;
        return static_cast<int>(std::count_if(accepted_at.begin(),
            accepted_at.end(),
            [&](const auto& it)
            {
                const auto at = started_at.find(it.first);
                return at == started_at.end() || at->second >= then;
            }));
    }

    void query(node& n, bool is_healed)
    {
        n.desk->count_pending("q",
            n.ctx.time.now() + 2s,
            [this, &n, is_healed](const hosted::pending_answer& it)
            {
                record_events();
                if (!it.known)
                {
                    ++refused;
                    violations += is_healed ? "\n" + n.ctx.member + " refuses" : "";
                    return;
                }
                ++reported;
                const auto least = min_waiting(w.c.time.now() - max_count_age);
                const auto most = is_healed ? max_waiting() : static_cast<int>(accepted_at.size());
                exact += is_healed ? 1 : 0;
                if (it.jobs < least || it.jobs > most)
                {
                    violations += "\n" + std::to_string(w.c.time.passed_ms()) + " " + n.ctx.member +
                                  " tells " + std::to_string(it.jobs) + " of " +
                                  std::to_string(least) + " to " + std::to_string(most);
                }
            });
    }

    /// Simulates the faults, removes them, and continues for a while.
    void play(int steps)
    {
        w.play(steps);
        w.clear_faults();
        w.c.time.run_for(15s); // until leases expire and runners are polled again
        for (int i = 0; i < 40; ++i)
        {
            if (random() % 2 == 0)
            {
                w.add_job();
            }
            w.c.time.run_for(100ms);
            record_events();
            for (auto& n : w.c.nodes)
            {
                if (!n.process.dead && !n.process.paused)
                {
                    query(n, true);
                }
            }
        }
        w.c.time.run_for(3s);
    }
};

} // namespace

TEST_GROUP(random_count){};

// Coordinators die, stall, or lose the store or their key; answers are lost and writes take effect
// late. No node ever reports fewer jobs than were accepted more than 2 s ago and have not started.
// This is stricter than what callers rely on: they may be told a count that includes only half of
// the jobs that have waited for 5 s. Once the faults are removed, no node reports more jobs than
// wait, and every node reports a count.
TEST(random_count, no_count_is_older_than_callers_accept)
{
    constexpr std::uint64_t seeds = 12;
    constexpr int steps = 120;
    int reported = 0;
    int refused = 0;
    for_each_seed(seeds,
        [&](std::uint64_t seed)
        {
            pending_count_simulation w(seed);
            w.play(steps);
            const auto about = "seed " + std::to_string(seed);
            STRCMP_EQUAL_TEXT("", w.violations.c_str(), about.c_str());
            CHECK_TEXT(w.exact > 0, about.c_str());
            reported += w.reported;
            refused += w.refused;
        });
    CHECK(reported > refused);
    if (std::getenv("CAMPHORHITCH_SEEDS") != nullptr)
    {
        UT_PRINT(StringFromFormat("counts told %d, refused %d", reported, refused).asCharString());
    }
}

// With reads that claim that the store's revision never advances, each record seems fresh. The
// check must detect that.
TEST(random_count, a_record_that_always_seems_fresh_is_detected)
{
    constexpr std::uint64_t max_seeds = 20;
    constexpr int steps = 120;
    const auto freeze_revision = [](cluster& c)
    {
        c.customize_node = [](node& n)
        {
            n.ctx.store.get = [real = n.ctx.store.get](
                                  const std::string& key, auto fresh, const auto& done)
            {
                real(key,
                    fresh,
                    [done](ports::item_read read)
                    {
                        read.store_revision = 1;
                        done(read);
                    });
            };
        };
    };
    bool detected = false;
    for (std::uint64_t seed = 1; seed <= max_seeds && !detected; ++seed)
    {
        pending_count_simulation w(seed, freeze_revision);
        w.play(steps);
        detected = !w.violations.empty();
    }
    CHECK(detected);
}
