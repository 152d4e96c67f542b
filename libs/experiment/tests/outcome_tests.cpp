#include "experiment/report.hpp"

#include <CppUTest/TestHarness.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>

using namespace camphorhitch;
using namespace camphorhitch::experiment;

namespace
{

/// Blocks of two pools whose buffer costs differ by \p effect, with noise of standard deviation
/// one.
experiment_document make_measured(int blocks, double effect, std::uint64_t seed)
{
    boost::random::mt19937_64 random{seed};
    boost::random::normal_distribution<double> noise{0, 1};
    experiment_document d;
    d.id = "e1";
    d.arms = {{"a", "slow"}, {"b", "fast"}};
    d.seed = seed;
    for (int i = 0; i < blocks; ++i)
    {
        const double size = 10 + 3 * noise(random);
        for (const auto& arm : d.arms)
        {
            experiment_pool p;
            p.pool = arm.name + std::to_string(i);
            p.arm = arm.name;
            p.block = i;
            p.measured.host_hours = 100;
            p.measured.buffer_host_hours =
                20 + size + noise(random) + (arm.name == "b" ? effect : 0);
            p.measured.rollouts = 1;
            p.measured.rollout_hours = 5 + noise(random);
            p.measured.host_moves = 4;
            d.pools.push_back(p);
        }
    }
    return d;
}

verdict buffer_verdict(const experiment_document& d)
{
    return outcome_of(d).comparisons.front().conclusion;
}

} // namespace

TEST_GROUP(outcome){};

TEST(outcome, verdicts)
{
    struct row
    {
        int blocks;
        double effect;
        verdict conclusion;
    };
    const row rows[] = {
        {2, 50, verdict::too_few_blocks},
        {12, 0, verdict::no_difference_shown},
        {12, -5, verdict::less},
        {12, 5, verdict::more},
    };
    for (const auto& it : rows)
    {
        CHECK(it.conclusion == buffer_verdict(make_measured(it.blocks, it.effect, 1)));
    }
}

// Guards against false verdicts. Over many experiments without a difference, any of the three
// verdicts must be wrong in at most about one of twenty experiments.
TEST(outcome, equal_arms_rarely_look_different)
{
    int wrong = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        for (const auto& it : outcome_of(make_measured(8, 0, seed)).comparisons)
        {
            wrong += it.conclusion == verdict::no_difference_shown ? 0 : 1;
        }
    }
    CHECK(wrong <= 14);
}

TEST(outcome, withdrawn_pools_and_blocks_without_a_partner_do_not_count)
{
    experiment_document d = make_measured(6, 5, 1);
    d.pools[0].withdrawn = true;
    d.pools[3].measured.rollouts = 0;
    const outcome o = outcome_of(d);
    CHECK_EQUAL(5, o.comparisons[0].blocks);
    CHECK_EQUAL(4, o.comparisons[1].blocks);
}

TEST(outcome, report)
{
    experiment_document d = make_measured(12, -5, 1);
    d.state = experiment_state::ended;
    d.reason = end_reason::completed;
    d.decision.weighed = "observed for its whole duration";
    d.observed_ms = d.duration_ms = 7200000;
    const outcome o = outcome_of(d);
    const std::string text = report_text(d, o);
    STRCMP_CONTAINS(
        "experiment e1: ended, completed (observed for its whole duration)", text.c_str());
    STRCMP_CONTAINS("less than a", text.c_str());
    STRCMP_CONTAINS("no difference shown", text.c_str());
    STRCMP_EQUAL(text.c_str(), report_text(d, outcome_of(d)).c_str());
    STRCMP_CONTAINS("\"verdict\":\"less\"", report_json(d, o).c_str());
    const plot_files plot = report_plot(d, o, "e1.dat", "e1.svg");
    STRCMP_CONTAINS("plot 'e1.dat'", plot.script.c_str());
    CHECK_EQUAL(4, std::count(plot.data.begin(), plot.data.end(), '\n'));
}
