#include "language/parse.hpp"
#include "language/settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::language;

namespace
{

model::configuration example()
{
    model::configuration c;
    c.pools.resize(2);
    c.pools[0].name = "quotes";
    c.pools[1].name = "holds";
    c.pools[1].experiment = "e1";
    c.policies.resize(1);
    c.policies[0].name = "careful";
    c.teams.resize(1);
    c.teams[0].name = "prints";
    return c;
}

core::findings apply_text(const std::string& text, model::configuration& c)
{
    const auto read = parse(text, "in");
    return apply(std::get<set_statement>(read.statements.at(0).body), c, "in");
}

} // namespace

TEST_GROUP(settings){};

TEST(settings, assign_members_of_every_kind)
{
    auto c = example();
    for (const char* it : {"set pool quotes budget.absent = 2, policy = careful, spare = true",
             "set pool quotes quick.deadline = 250ms, long_running.reserved_slots = 4",
             "set pool quotes retry_ratio = 0.25",
             "set policy careful kind = fastest, return_timeout = 20m",
             "set team prints processors = 10, accelerators = 2",
             "set config key_memory = 1h"})
    {
        STRCMP_EQUAL("", core::to_text(apply_text(it, c)).c_str());
    }
    auto expected = example();
    auto& pool = expected.pools[0];
    pool.budget.absent = 2;
    pool.policy = "careful";
    pool.spare = true;
    pool.quick.deadline = core::millis{250};
    pool.long_running.reserved_slots = 4;
    pool.retry_ratio = 0.25;
    expected.policies[0].kind = model::policy_kind::fastest;
    expected.policies[0].return_timeout = core::millis{20 * 60 * 1000};
    expected.teams[0].processors = 10;
    expected.teams[0].accelerators = 2;
    expected.key_memory = core::millis{3600 * 1000};
    CHECK(expected == c);
}

TEST(settings, are_unchanged_when_there_is_a_finding)
{
    const struct
    {
        const char* text;
        const char* found;
    } rows[] = {
        {"set pool quots spare = true",
            "in:1:10: there is no pool 'quots' (did you mean 'quotes'?)\n"},
        {"set team paints processors = 1",
            "in:1:10: there is no team 'paints' (did you mean 'prints'?)\n"},
        {"set pool quotes budget.absent = 2, budget.absent_per_zone = few",
            "in:1:61: 'budget.absent_per_zone' takes a whole number, not 'few'\n"},
        {"set pool quotes budget.absent = 99999999999, size_class = -1, size_class = nan",
            "in:1:33: 'budget.absent' must be at most 2147483647\n"
            "in:1:59: 'size_class' must not be negative\n"
            "in:1:63: 'size_class' is assigned twice\n"
            "in:1:76: 'size_class' takes a number, not 'nan'\n"},
        {"set policy careful kind = fast",
            "in:1:27: 'kind' takes one of one_by_one, least_buffer, fastest, not 'fast'\n"},
        {"set config key_memory = 15",
            "in:1:25: 'key_memory' takes a duration such as 250ms, 30s, 5m, 2h or 1d, not '15'\n"},
        {"set pool holds spare = true, policy = careful",
            "in:1:30: experiment 'e1' chooses the policy of pool 'holds'; stop it first\n"},
    };
    for (const auto& it : rows)
    {
        auto c = example();
        STRCMP_EQUAL(it.found, core::to_text(apply_text(it.text, c)).c_str());
        CHECK(example() == c);
    }
}

TEST(settings, are_listed_with_their_kinds)
{
    const auto& all = assignable_settings(setting_owner::pool);
    LONGS_EQUAL(18, all.size());
    STRCMP_EQUAL("budget.absent", all[0].name.c_str());
    CHECK(all[0].kind == value_kind::integer && all[3].kind == value_kind::boolean);
    CHECK(assignable_settings(setting_owner::policy)[0].kind == value_kind::text);
    CHECK(assignable_settings(setting_owner::config)[0].kind == value_kind::duration);
}
