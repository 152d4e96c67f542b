#include "demand_record.hpp"
#include "disabled_safeguards.hpp"
#include "random_simulation.hpp"

#include <cmath>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using namespace camphorhitch::hosted_tests;
using workflow::job_state;

namespace
{

/// \return the accounts in the stored record; no rows if there is none, or it has none.
hosted::stored_shares stored_shares(cluster& c)
{
    const auto* const it = c.store.find(hosted::demand_key);
    const auto unix_ms = core::to_unix_ms(c.time.wall_now());
    return it == nullptr ? hosted::stored_shares{}
                         : hosted::read_shares(it->value, c.time.now(), unix_ms)
                               .value_or(hosted::stored_shares{});
}

double used_by(const hosted::stored_shares& all, const coordinator::share_row& of)
{
    for (const auto& it : all.rows)
    {
        if (it.level == of.level && it.name == of.name)
        {
            return it.used;
        }
    }
    return 0;
}

/// \return what is left of an amount in core-seconds that decayed from one record to the next. The
/// records are rounded to milliseconds.
double least_left(double used, core::mono_time::duration time)
{
    constexpr double rounding = 0.01;
    const std::chrono::duration<double> window = coordinator::share_settings{}.window;
    return used * std::exp(-std::chrono::duration<double>(time) / window) * (1 - rounding) -
           rounding;
}

/// Checks that no record contains less than what the one before it leaves after its decay, since
/// accounts fall in no other way.
struct share_checker
{
    ports::revision revision = 0;
    hosted::stored_shares before;
    std::string broken;

    /// Checks each record, also those that are soon replaced: a successor may have read them.
    void watch(cluster& c)
    {
        check(c);
        c.time.after(3ms, [this, &c] { watch(c); });
    }

    void check(cluster& c)
    {
        const auto* const it = c.store.find(hosted::demand_key);
        if (it == nullptr || it->modified == revision)
        {
            return;
        }
        revision = it->modified;
        const auto next = stored_shares(c);
        // A write that was delayed may replace later records. A successor knows no more than that.
        const bool is_later = next.at >= before.at;
        for (const auto& row : is_later ? before.rows : std::vector<coordinator::share_row>{})
        {
            const auto least = least_left(row.used, next.at - before.at);
            if (used_by(next, row) < least)
            {
                broken += row.name + " used " + std::to_string(used_by(next, row)) + ", at least " +
                          std::to_string(least) + "\n";
            }
        }
        before = next;
    }
};

/// Simulates one seed with workspaces that share by work.
/// \return what broke a promise.
std::string play_shares(std::uint64_t seed, const std::function<void(cluster&)>& prepare = {})
{
    constexpr int steps = 120;
    const auto with_shares = [&](cluster& c)
    {
        std::mt19937_64 random(seed);
        c.settings.rules.placement.shares = coordinator::share_rule::work;
        c.settings.rules.placement.share.by_queue = true;
        c.configure({{"w0", 1, {9000, 0, 0}}, {"w1", 2, {9000, 0, 0}}, {"w2", 1, {2000, 0, 0}}},
            0ms,
            random);
        if (prepare)
        {
            prepare(c);
        }
    };
    random_simulation simulation(seed, with_shares);
    share_checker checker;
    simulation.has_workspaces = true;
    checker.watch(simulation.c);
    simulation.play(steps);
    simulation.clear_faults();
    simulation.c.time.run_until([&] { return simulation.unfinished() == 0; }, 60s);
    return checker.broken + simulation.c.breaches() + simulation.describe_open_jobs();
}

} // namespace

TEST_GROUP(hosted_shares)
{
    cluster c;
    int jobs = 0;

    void begin()
    {
        std::mt19937_64 random{1};
        c.settings.rules.placement.shares = coordinator::share_rule::work;
        c.configure({{"hot", 1, {100000, 0, 0}}, {"small", 3, {100000, 0, 0}}}, 0ms, random);
        for (int i = 0; i < 4; ++i)
        {
            c.hosts.add("p");
        }
        c.add_node();
        c.add_node();
        CHECK(c.has_leader());
        c.time.run_for(1s);
    }

    std::string put_job(const std::string& workspace)
    {
        auto j = c.make_job("j" + std::to_string(jobs++), 2);
        j.workspace = workspace;
        c.put_job(j);
        return j.id;
    }

    /// The hot workspace sends more than three times what the hosts can run.
    void burst(core::millis time)
    {
        for (const auto end = c.time.now() + time; c.time.now() < end; c.time.run_for(100ms))
        {
            for (int i = 0; i < 12; ++i)
            {
                put_job("hot");
            }
        }
    }
};

// The coordinator is killed amid a burst, and a small workspace sends its first jobs. Guards
// against a successor that starts the account of the hot workspace afresh: its backlog would come
// first.
TEST(hosted_shares, a_successor_continues_the_accounts)
{
    begin();
    burst(6s);
    const auto before = stored_shares(c);
    const coordinator::share_row hot{coordinator::share_level::workspace, "hot", 0};
    CHECK(used_by(before, hot) > 0);
    c.leader()->process.dead = true;
    const auto record = c.store.find(hosted::demand_key)->modified;
    CHECK(
        c.time.run_until([&] { return c.store.find(hosted::demand_key)->modified != record; }, 8s));
    const auto after = stored_shares(c);
    CHECK(used_by(after, hot) >= least_left(used_by(before, hot), after.at - before.at));
    c.time.run_for(1s);
    const auto small = put_job("small");
    // Tasks run up to 600 ms here; the rest is for reading the job and for storing its end.
    CHECK(c.ends(small, job_state::completed, 2s));
    CHECK(c.leader()->log.has("share_exceeded"));
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Guards against a successor that fails on a record of the previous version, or on a damaged one:
// it starts the accounts at zero, says which record was damaged, and serves all jobs.
TEST(hosted_shares, without_a_readable_record_the_accounts_start_at_zero)
{
    struct row
    {
        const char* name;
        const char* record;
        bool damaged;
    };
    const row rows[] = {
        {"missing", "", false},
        {"of the previous version", R"({"at_unix_ms":1,"pools":{},"busy":[],"times":{}})", false},
        {"no JSON", "{", true},
        {"unknown level",
            R"({"at_unix_ms":1,"pools":{},"busy":[],"times":{},"shares":[["x","hot",1]]})",
            true},
        {"negative",
            R"({"at_unix_ms":1,"pools":{},"busy":[],"times":{},"shares":[["queue","q",-1]]})",
            true},
        {"no list", R"({"at_unix_ms":1,"pools":{},"busy":[],"times":{},"shares":{"q":1}})", true},
    };
    for (const auto& it : rows)
    {
        cluster at;
        at.settings.rules.placement.shares = coordinator::share_rule::work;
        at.hosts.add("p");
        at.add_node();
        CHECK_TEXT(at.has_leader(), it.name);
        at.time.run_for(1s);
        at.leader()->process.dead = true;
        std::string{it.record}.empty()
            ? at.store.remove(hosted::demand_key)
            : static_cast<void>(at.store.put(hosted::demand_key, it.record));
        at.add_node();
        CHECK_TEXT(at.has_leader(), it.name);
        at.put_job(at.make_job("j", 2));
        CHECK_TEXT(at.ends("j", job_state::completed, 10s), it.name);
        CHECK_EQUAL_TEXT(it.damaged, at.leader()->log.has("demand_damaged"), it.name);
    }
}

// Guards against a record that grows with the number of workspaces.
TEST(hosted_shares, the_record_is_bounded)
{
    std::vector<coordinator::share_row> rows;
    for (int i = 0; i < 64; ++i)
    {
        rows.push_back({coordinator::share_level::workspace,
            std::string(100, 'w') + std::to_string(i),
            1000.0 - i});
    }
    const auto size = [](const std::vector<coordinator::share_row>& shares)
    {
        return hosted::write_demand({}, {}, 1, core::mono_time{1s}, 5, shares).size();
    };
    CHECK(size(rows) <= size({}) + 3 * 1024);
    const auto text = hosted::write_demand({}, {}, 1, core::mono_time{1s}, 5000, rows);
    const auto read = hosted::read_shares(text, core::mono_time{9s}, 6000);
    CHECK(read.has_value());
    CHECK(read->at == core::mono_time{8s});
    CHECK(!read->rows.empty());
    CHECK(read->rows[0] == rows[0]);
}

// Under any sequence of faults, accounts fall only by their decay, every job ends, and no other
// promise is broken.
TEST(hosted_shares, accounts_survive_all_faults)
{
    constexpr std::uint64_t seeds = 12;
    for_each_seed(seeds,
        [](std::uint64_t seed)
        {
            const auto about = "seed " + std::to_string(seed);
            STRCMP_EQUAL_TEXT("", play_shares(seed).c_str(), about.c_str());
        });
}

// Guards against a check of accounts that cannot fail.
TEST(hosted_shares, a_share_forgotten_over_a_take_over_is_detected)
{
    constexpr std::uint64_t max_seeds = 20;
    bool detected = false;
    for (std::uint64_t seed = 1; seed <= max_seeds && !detected; ++seed)
    {
        detected = play_shares(seed, hide_stored_shares).find(" at least ") != std::string::npos;
    }
    CHECK(detected);
}
