#include "refused_work.hpp"

#include "hosted_fakes/cluster.hpp"
#include "refused_work_reporter.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>
#include <optional>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

TEST_GROUP(refused_work_record){};

TEST(refused_work_record, a_record_is_read_as_it_was_written)
{
    const auto text = hosted::write_refused_work({17, {{"p", 2.5}, {"q", 0}}});
    STRCMP_EQUAL(R"({"pools":{"p":2.5,"q":0.0},"start":17})", text.c_str());
    const auto read = core::value(hosted::read_refused_work(text));
    LONGS_EQUAL(17, read.start);
    DOUBLES_EQUAL(2.5, read.pools.at("p"), 0.001);
}

TEST(refused_work_record, a_damaged_record_gives_an_error)
{
    for (const char* text : {"",
             "{",
             "[]",
             R"({"start":1})",
             R"({"pools":{}})",
             R"({"start":-1,"pools":{}})",
             R"({"start":1,"pools":[]})",
             R"({"start":1,"pools":{"p":-1}})",
             R"({"start":1,"pools":{"p":1e300}})",
             R"({"start":1,"pools":{"p":"1"}})"})
    {
        CHECK_FALSE_TEXT(core::is_ok(hosted::read_refused_work(text)), text);
    }
}

TEST(refused_work_record, only_what_was_refused_since_counts)
{
    const struct
    {
        const char* situation;
        hosted::refused_work before;
        hosted::refused_work now;
        double more; ///< in pool p
    } rows[] = {
        {"refused more", {1, {{"p", 5}}}, {1, {{"p", 7}}}, 2},
        {"refused nothing more", {1, {{"p", 5}}}, {1, {{"p", 5}}}, 0},
        {"the first refusal in this pool", {1, {{"q", 5}}}, {1, {{"q", 5}, {"p", 3}}}, 3},
        {"a delayed write took effect after a later one", {1, {{"p", 5}}}, {1, {{"p", 4}}}, 0},
        {"the node has restarted", {1, {{"p", 5}}}, {2, {{"p", 7}}}, 0},
    };
    for (const auto& it : rows)
    {
        const auto more = hosted::refused_since(it.before, it.now);
        const auto found = more.find("p");
        DOUBLES_EQUAL_TEXT(it.more, found == more.end() ? 0 : found->second, 0.001, it.situation);
    }
}

/// A node's reports.
TEST_GROUP(refused_work_reporter)
{
    cluster c;
    daemon_fakes::process process;
    daemon_fakes::log_recorder log;
    hosted::context ctx;
    std::optional<hosted::refused_work_reporter> it;

    void setup() override
    {
        ctx.member = "m";
        ctx.time = c.time.port(process);
        ctx.store = c.store.port(process);
        ctx.tel = log.port(c.time);
        it.emplace(ctx, hosted::refused_work_settings{});
    }

    /// \return the stored sum of pool p; nothing if there is no record.
    std::optional<double> stored() const
    {
        const auto* const found = c.store.find(hosted::refused_key("m"));
        return found == nullptr
                   ? std::nullopt
                   : std::optional{
                         core::value(hosted::read_refused_work(found->value)).pools.at("p")};
    }
};

// Each write has a price. The first one follows at once, so that the next differences count.
TEST(refused_work_reporter, sums_are_written_at_most_once_a_second)
{
    const auto before = c.store.writes;
    it->record("p", 1);
    c.time.run_for(20ms);
    DOUBLES_EQUAL(1, stored().value_or(0), 0.001);
    for (int i = 0; i < 100; ++i)
    {
        it->record("p", 1);
        c.time.run_for(50ms);
    }
    CHECK(c.store.writes - before <= 6);
    c.time.run_for(1s);
    DOUBLES_EQUAL(101, stored().value_or(0), 0.001);
    const auto done = c.store.writes;
    c.time.run_for(20s);
    LONGS_EQUAL(done, c.store.writes);
}

// A write fails, or its answer is lost. The demand is reported later, and not twice.
TEST(refused_work_reporter, a_lost_write_delays_the_report)
{
    c.store.busy = true;
    it->record("p", 3);
    c.time.run_for(2500ms);
    CHECK_FALSE(stored().has_value());
    c.store.busy = false;
    c.time.run_for(1100ms);
    DOUBLES_EQUAL(3, stored().value_or(0), 0.001);
    c.store.answers_to_lose = 1;
    it->record("p", 2);
    c.time.run_for(5s);
    DOUBLES_EQUAL(5, stored().value_or(0), 0.001);
}

TEST(refused_work_reporter, the_key_is_removed_after_a_minute_without_refusals)
{
    it->record("p", 1);
    c.time.run_for(30s);
    it->record("p", 1);
    c.time.run_for(59s);
    CHECK(stored().has_value());
    c.time.run_for(2s);
    CHECK_FALSE(stored().has_value());
    it->record("p", 1);
    c.time.run_for(20ms);
    DOUBLES_EQUAL(3, stored().value_or(0), 0.001); // the sums of one start never decrease
}

TEST(refused_work_reporter, the_key_is_removed_at_shutdown)
{
    it->record("p", 1);
    c.time.run_for(20ms);
    it->record("p", 1);
    it->withdraw();
    c.time.run_for(50ms);
    CHECK_FALSE(stored().has_value());
    it->record("p", 1); // by a caller that is still served
    c.time.run_for(3s);
    CHECK_FALSE(stored().has_value());
}

// The removal at shutdown overtakes no write that is in flight.
TEST(refused_work_reporter, a_write_in_flight_does_not_outlive_the_removal)
{
    it->record("p", 1);
    c.time.run_for(1ms);
    it->withdraw();
    c.time.run_for(50ms);
    CHECK_FALSE(stored().has_value());
}

/// The coordinator's demand for refused work.
TEST_GROUP(refused_demand)
{
    cluster c;

    void begin(bool publishes = true)
    {
        c.settings.publishes_forecast = publishes;
        c.add_node();
        c.add_node();
        CHECK(c.has_leader());
        c.put_job(c.make_job("open", 1)); // no host runs it: the demand record is written regularly
        c.time.run_for(3s);
    }

    void report(std::int64_t start, double core_seconds)
    {
        c.store.put(
            hosted::refused_key("m"), hosted::write_refused_work({start, {{"r", core_seconds}}}));
        c.time.run_for(1500ms);
    }

    /// \return the slow rate of pool r, in cores.
    double rate() const
    {
        const auto pools =
            nlohmann::json::parse(c.store.find(hosted::demand_key)->value).at("pools");
        return pools.contains("r") ? pools.at("r").at("slow").get<double>() : 0;
    }
};

// A pool whose jobs are refused has few waiting jobs; without the refused work it would never get
// hosts for them.
TEST(refused_demand, refused_work_counts_as_arriving)
{
    begin();
    report(7, 1000);
    DOUBLES_EQUAL(0, rate(), 0.001); // the base of the differences
    report(7, 1400);
    const double long_time = 20;
    CHECK(rate() > 0.85 * 400 / long_time);
    CHECK(rate() < 400 / long_time);
}

// A node writes again although it refused nothing in this pool, and a delayed write takes effect
// after a later one. Hosts would be requested for work that does not exist.
TEST(refused_demand, each_difference_counts_once)
{
    begin();
    for (const int sum : {1000, 1400, 1401, 1200, 1401, 1402})
    {
        report(7, sum);
    }
    const double long_time = 20;
    CHECK(rate() > 0.6 * 402 / long_time);
    CHECK(rate() < 402 / long_time);
}

// The sum of a node that restarts begins at zero. Neither this nor a sum that decreases may count.
TEST(refused_demand, a_restarted_node_begins_with_a_new_base)
{
    begin();
    report(7, 1000);
    report(8, 0);
    report(8, 0);
    DOUBLES_EQUAL(0, rate(), 0.001);
    report(8, 400);
    CHECK(rate() > 0.85 * 400 / 20);
    const auto before = rate();
    report(9, 5000);
    CHECK(rate() < before);
}

// The successor reads sums that its predecessor has counted: only what is refused later counts.
TEST(refused_demand, a_successor_counts_nothing_twice)
{
    begin();
    report(7, 1000);
    c.leader()->process.dead = true;
    CHECK(c.time.run_until([this] { return c.leader() != nullptr; }, 10s));
    c.time.run_for(3s);
    DOUBLES_EQUAL(0, rate(), 0.001);
    report(7, 1400);
    CHECK(rate() > 0.85 * 400 / 20);
}

TEST(refused_demand, a_damaged_record_counts_nothing)
{
    begin();
    report(7, 1000);
    c.store.put(hosted::refused_key("m"), "{");
    c.time.run_for(1500ms);
    DOUBLES_EQUAL(0, rate(), 0.001);
    CHECK(c.leader()->log.has("record_damaged"));
    report(7, 1400);
    CHECK(rate() > 0.85 * 400 / 20);
}

// A node has ended without removing its key, which would stay for ever.
TEST(refused_demand, a_record_that_does_not_change_is_removed)
{
    begin();
    report(7, 1000);
    c.time.run_for(40s);
    report(7, 1001);
    c.time.run_for(55s);
    CHECK(c.store.find(hosted::refused_key("m")) != nullptr);
    c.time.run_for(20s);
    POINTERS_EQUAL(nullptr, c.store.find(hosted::refused_key("m")));
    CHECK(c.leader() != nullptr);
    report(7, 1401); // the node was cut off only
    CHECK(rate() > 0.85 * 400 / 20);
}

// With the default settings nothing reads the key, as before.
TEST(refused_demand, nothing_is_counted_with_the_default_settings)
{
    begin(false);
    report(7, 1000);
    report(7, 1400);
    DOUBLES_EQUAL(0, rate(), 0.001);
}

// From the refusal at a node to the demand of the coordinator.
TEST(refused_demand, the_work_of_refused_jobs_reaches_the_coordinator)
{
    begin();
    auto& n = c.nodes.front();
    hosted::refused_work_reporter reporter(n.ctx, {});
    reporter.record("r", 1);
    c.time.run_for(1500ms);
    for (int i = 0; i < 40; ++i)
    {
        reporter.record("r", 10);
        c.time.run_for(10ms);
    }
    c.time.run_for(2500ms);
    CHECK(rate() > 0.8 * 400 / 20);
}
