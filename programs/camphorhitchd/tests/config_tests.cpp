#include "test_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::daemon;

namespace
{

constexpr core::millis settle_time{15000};

std::int64_t version_at(test_daemon& d)
{
    return d.daemon_services->config->current().version;
}

int absent_at(test_daemon& d)
{
    return d.daemon_services->config->current().pools.front().budget.absent;
}

} // namespace

TEST_GROUP(configuration)
{
    test_fleet fleet{3};

    void setup() override
    {
        add_hosts(fleet, 3);
        CHECK(fleet.wait_ready());
        CHECK(fleet.apply(fleet.at(0), small_fleet(3), "first").answered);
        CHECK(fleet.wait_serving());
    }
};

// Version 2 is in force, but a stale replica answers all full reads with the state of version 1.
// Daemons that read again must not revert to version 1. A daemon that starts now has no version to
// compare with and must not accept requests under version 1.
TEST(configuration, stale_reads_never_revert_it)
{
    fleet.store.freeze_range_reads();
    const auto set = fleet.execute(fleet.at(0), "set pool quotes budget.absent = 2", "second");
    STRCMP_EQUAL("configuration version 2\n", set.text.c_str());
    fleet.run_for(settle_time);
    fleet.store.end_watches();
    fleet.at(1).daemon_services->documents->refresh();
    auto& newcomer = fleet.add("e4", "e4-first");
    const auto serves_with_old_version = [&]
    {
        return newcomer.daemon_services->requests->ready() && version_at(newcomer) < 2;
    };
    CHECK_FALSE(fleet.run_until(serves_with_old_version, settle_time));
    for (std::size_t i = 0; i < 3; ++i)
    {
        LONGS_EQUAL(2, version_at(fleet.at(i)));
    }
    fleet.store.unfreeze_range_reads();
    CHECK_FALSE(fleet.run_until(serves_with_old_version, settle_time));
    LONGS_EQUAL(2, version_at(newcomer));
    CHECK(newcomer.daemon_services->requests->ready());
}

// Two operators change the configuration through two daemons at the same instant, so their writes
// conflict. Both changes must take effect, and a setup file for a version that is no longer in
// force must be answered with a conflict.
TEST(configuration, concurrent_changes_by_two_operators)
{
    struct row
    {
        const char* first;
        const char* second;
        int absent;
        std::int64_t version;
    };
    const row rows[] = {
        {"set pool quotes budget.absent = 2", "set policy steady growth = 3", 2, 3},
        {"set pool quotes budget.absent = 3", "set pool quotes budget.absent = 3", 3, 5},
    };
    int n = 0;
    for (const auto& it : rows)
    {
        std::vector<ports::exchange_id> asked;
        std::size_t daemon = 0;
        for (const auto* text : {it.first, it.second})
        {
            ports::http_request r{"POST", "/v1/execute", "", {}, ""};
            r.fields = {{"Authorization", "Bearer " + operator_token}};
            r.body = std::string(R"({"command": "c)") + std::to_string(++n) + R"(", "text": ")" +
                     text + "\"}";
            auto& d = fleet.at(daemon++);
            asked.push_back(d.operators.send(d.process, d.daemon_services->operator_events(), r));
        }
        fleet.run_for(settle_time);
        CHECK(fleet.at(0).operators.find(asked[0]) != nullptr);
        CHECK(fleet.at(1).operators.find(asked[1]) != nullptr);
        for (std::size_t i = 0; i < 3; ++i)
        {
            LONGS_EQUAL(it.version, version_at(fleet.at(i)));
            LONGS_EQUAL(it.absent, absent_at(fleet.at(i)));
        }
    }
    const auto late = fleet.apply(
        fleet.at(2), R"({"configuration": {"version": 1, "pools": []}})", "for-version-1");
    STRCMP_EQUAL(
        "conflict: the file is for version 1, but version 5 is in force\n", late.text.c_str());
}

// The answer to a command is lost on its way to the operator, who repeats the command through
// another daemon. The repeat is answered with the version and must change nothing, even after
// another change.
TEST(configuration, a_repeated_command_takes_effect_once)
{
    const auto* text = "set pool quotes budget.absent = 2";
    CHECK(fleet.execute(fleet.at(0), text, "same").answered);
    fleet.execute(fleet.at(1), "set pool quotes budget.absent = 3", "other");
    const auto again = fleet.execute(fleet.at(2), text, "same");
    STRCMP_EQUAL("configuration version 3\n", again.text.c_str());
    fleet.run_for(settle_time);
    LONGS_EQUAL(3, version_at(fleet.at(2)));
    LONGS_EQUAL(3, absent_at(fleet.at(2)));
}
