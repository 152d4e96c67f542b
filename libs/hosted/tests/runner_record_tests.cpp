#include "hosted/keys.hpp"
#include "hosted_fakes/cluster.hpp"
#include "runner_record.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

TEST_GROUP(runner_record)
{
    cluster c;

    hosted::runner_records stored() const
    {
        hosted::runner_records out;
        for (std::size_t i = 0; i < hosted::runner_buckets; ++i)
        {
            if (const auto* const it = c.store.find(hosted::runner_bucket_key(i)))
            {
                out.merge(hosted::read_runners(it->value).value());
            }
        }
        return out;
    }

    std::string runner_of(const std::string& machine) const
    {
        return c.hosts.incarnation_of(machine);
    }

    /// \return whether the record states when the leases of the machine's runner end.
    bool has_lease_end(const std::string& machine) const
    {
        return stored().at(runner_of(machine)).remaining_lease.has_value();
    }

    /// Ends the coordinator's process and waits for the next coordinator.
    void replace_leader()
    {
        c.leader()->process.dead = true;
        c.add_node();
        CHECK(c.has_leader());
    }

    /// Replaces the record by that of a version that knows neither start times nor buckets.
    void store_earlier_record()
    {
        hosted::runner_records earlier;
        for (const auto& [id, it] : stored())
        {
            earlier.emplace(ports::runner_of(id), it);
        }
        for (std::size_t i = 0; i < hosted::runner_buckets; ++i)
        {
            c.store.remove(hosted::runner_bucket_key(i));
        }
        c.store.put(hosted::runners_key, hosted::write_runners(earlier));
    }

    void begin(int nodes)
    {
        for (int i = 0; i < nodes; ++i)
        {
            c.add_node();
        }
        CHECK(c.has_leader());
        c.time.run_for(1s);
    }
};

TEST(runner_record, a_written_record_is_read_back)
{
    const hosted::runner_records all{{"i-1", {"10.0.0.1:1", "m1", "p", {}}},
        {"i-2", {"10.0.0.2:1", "", "", core::millis{1700}}}};
    CHECK(hosted::read_runners(hosted::write_runners(all)) == all);
}

TEST(runner_record, damage_is_reported)
{
    for (const auto* const it : {"",
             "[]",
             R"({"i-1":["a","m"]})",
             R"({"i-1":["a","m",3]})",
             R"({"i-1":["a","m","p",-4]})",
             R"({"i-1":["a","m","p","soon"]})",
             R"({"i-1":["a","m","p",4,5]})"})
    {
        CHECK_TEXT(!hosted::read_runners(it), it);
    }
}

// Coordinators follow each other every two seconds while a runner with a task is cut off. Guards
// against each of them waiting for a whole lease: the caller's job would stand still until the last
// coordinator.
TEST(runner_record, quick_takeovers_wait_for_an_unresponsive_runner_once)
{
    c.hosts.behaviour.run_time = 2s;
    c.hosts.add("p");
    c.hosts.add("p");
    begin(3);
    c.put_job(c.make_job_on_each("a", 2));
    c.time.run_for(400ms);
    c.hosts.cut("m1", 60s);
    CHECK(c.time.run_until([this] { return has_lease_end("m1"); }, 2s));
    for (int i = 0; i < 3; ++i)
    {
        replace_leader();
        c.time.run_for(1s);
    }
    LONGS_EQUAL(
        3, c.hosts.starts); // the task of the runner that is cut off has been started again by now
    CHECK(c.ends("a", job_state::completed, 3s));
    STRCMP_EQUAL("", c.breaches().c_str());
}

// A runner is cut off, the record states the end of its leases, and the runner returns with its
// task. The next coordinator must wait for it as for any other runner, because a new lease was
// granted meanwhile.
TEST(runner_record, a_runner_that_came_back_is_waited_for_again)
{
    c.hosts.behaviour.run_time = 8s;
    c.hosts.add("p");
    c.hosts.add("p");
    begin(2);
    c.put_job(c.make_job_on_each("a", 2));
    c.time.run_for(400ms);
    c.hosts.cut("m1", 2s);
    CHECK(c.time.run_until([this] { return has_lease_end("m1"); }, 2s));
    CHECK(c.time.run_until([this] { return !has_lease_end("m1"); }, 2s));
    c.hosts.cut("m1", 60s);
    replace_leader();
    CHECK(c.ends("a", job_state::completed, 20s));
    STRCMP_EQUAL("", c.breaches().c_str());
}

// A runner of one pool is cut off when the coordinator dies. Jobs of another pool, whose runners
// all answer, must continue at once.
TEST(runner_record, an_unresponsive_runner_delays_its_own_pool_only)
{
    c.hosts.add("p");
    c.hosts.add("q");
    begin(2);
    c.hosts.cut("m2", 60s);
    auto j = c.make_job("a", 2, 2);
    c.put_job(j);
    c.time.run_for(100ms);
    replace_leader();
    CHECK(c.ends("a", job_state::completed, 1500ms));
    STRCMP_EQUAL("", c.breaches().c_str());
}

// The list of runners still names a runner that ended long ago. It never answered this coordinator,
// so it runs nothing; a successor that found it in the record would let all jobs wait for it.
TEST(runner_record, a_listed_runner_that_never_answered_is_not_recorded)
{
    c.hosts.add("p");
    c.hosts.add("p");
    c.hosts.cut("m2", 60s);
    begin(1);
    CHECK(stored().contains(runner_of("m1")));
    CHECK(!stored().contains(runner_of("m2")));
}

// Guards against leases that end while the coordinator replaces a record without start times: the
// store answers that write late, and the runners must not wait for it.
TEST(runner_record, leases_are_renewed_while_a_record_without_start_times_is_replaced)
{
    bool is_slow = false;
    c.customize_node = [&](node& n)
    {
        n.ctx.store.commit = [&, real = n.ctx.store.commit](
                                 ports::store_transaction change, const auto& done)
        {
            const bool late = is_slow && !change.puts.empty() &&
                              change.puts.front().key.starts_with(hosted::runners_key);
            c.time.after(late ? 4s : 0s, [=] { real(change, done); });
        };
    };
    c.hosts.behaviour.run_time = 8s;
    c.hosts.add("p");
    c.hosts.add("p");
    begin(2);
    c.put_job(c.make_job_on_each("a", 2));
    CHECK(c.time.run_until([this] { return c.running() == 2; }, 2s));
    store_earlier_record();
    c.leader()->process.dead = true;
    is_slow = true;
    CHECK(c.ends("a", job_state::completed, 16s));
    LONGS_EQUAL(2, c.hosts.starts);
    LONGS_EQUAL(0, c.hosts.expired_runs);
}

// Guards against taking the runners of a record without start times, as earlier versions wrote it,
// for others than the listed ones: their tasks would run twice, or wait for leases that are
// renewed.
TEST(runner_record, a_record_without_start_times_is_read)
{
    c.hosts.behaviour.run_time = 3s;
    c.hosts.add("p");
    c.hosts.add("p");
    begin(2);
    c.put_job(c.make_job_on_each("a", 2));
    CHECK(c.time.run_until([this] { return c.running() == 2; }, 2s));
    c.leader()->process.dead = true;
    store_earlier_record();
    CHECK(c.has_leader());
    CHECK(c.ends("a", job_state::completed, 8s));
    LONGS_EQUAL(2, c.hosts.starts);
    CHECK_EQUAL(2U, stored().size());
    STRCMP_EQUAL("", c.breaches().c_str());
}

// The record is damaged when the coordinator dies, so it is not known which runners hold tasks.
// Inherited tasks wait until every lease has ended; new jobs do not wait.
TEST(runner_record, a_damaged_record_holds_inherited_jobs_until_all_leases_end)
{
    c.hosts.behaviour.run_time = 5s;
    c.hosts.add("p");
    c.hosts.add("p");
    begin(2);
    c.put_job(c.make_job_on_each("a", 2));
    c.time.run_for(400ms);
    c.hosts.cut("m1", 60s);
    c.leader()->process.dead = true;
    c.store.put(hosted::runners_key, "{");
    CHECK(c.has_leader());
    c.put_job(c.make_job("b", 1));
    c.time.run_for(500ms);
    LONGS_EQUAL(3, c.hosts.starts);
    CHECK(c.ends("a", job_state::completed, 20s));
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Guards against a damaged bucket that is taken for one without runners: tasks of its runners would
// run twice.
TEST(runner_record, a_damaged_bucket_holds_inherited_jobs_until_all_leases_end)
{
    c.hosts.behaviour.run_time = 5s;
    c.hosts.add("p");
    c.hosts.add("p");
    begin(2);
    c.put_job(c.make_job_on_each("a", 2));
    c.time.run_for(400ms);
    c.hosts.cut("m1", 60s);
    c.leader()->process.dead = true;
    c.store.put(hosted::runner_bucket_key(hosted::bucket_of_runner(runner_of("m1"))), "{");
    CHECK(c.has_leader());
    c.time.run_for(500ms);
    LONGS_EQUAL(2, c.hosts.starts);
    CHECK(c.ends("a", job_state::completed, 20s));
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Guards against a node of an earlier version that leads after one that divides the record: it must
// not take the undivided record, which is no longer written, for an empty one.
TEST(runner_record, earlier_versions_read_a_divided_record_as_damaged)
{
    c.hosts.add("p");
    begin(1);
    c.time.run_for(1s);
    const auto* const it = c.store.find(hosted::runners_key);
    CHECK(it != nullptr);
    CHECK(!hosted::read_runners(it->value));
}

// Guards against runners that an earlier version used after a later one had divided the record: the
// bucket states that the leases have ended, and the undivided record that they have not.
TEST(runner_record, the_row_without_a_lease_end_counts)
{
    c.hosts.behaviour.run_time = 5s;
    c.hosts.add("p");
    c.hosts.add("p");
    begin(2);
    c.put_job(c.make_job_on_each("a", 2));
    CHECK(c.time.run_until([this] { return c.running() == 2; }, 2s));
    c.leader()->process.dead = true;
    const auto rows = stored();
    c.store.put(hosted::runners_key, hosted::write_runners(rows));
    for (auto [id, row] : rows)
    {
        row.remaining_lease = core::millis{0};
        const auto bucket = hosted::bucket_of_runner(id);
        c.store.put(hosted::runner_bucket_key(bucket), hosted::write_runners({{id, row}}));
    }
    c.hosts.cut("m1", 2s);
    CHECK(c.ends("a", job_state::completed, 20s));
    STRCMP_EQUAL("", c.breaches().c_str());
}

TEST(runner_record, keys_of_buckets_are_read_back)
{
    for (const std::size_t i : {std::size_t{0}, std::size_t{9}, hosted::runner_buckets - 1})
    {
        CHECK_EQUAL(i, hosted::read_runner_bucket_key(hosted::runner_bucket_key(i)).value());
    }
    for (const auto* const it : {"coord/runners", "coord/runners/", "coord/runners/256", "x/1"})
    {
        CHECK_TEXT(!hosted::read_runner_bucket_key(it), it);
    }
}

// Pattern: runners join or fall silent one by one in a large fleet. Guards against writes that grow
// with the fleet, which use up the coordinator's processor time and its link.
TEST(runner_record, a_change_of_one_runner_rewrites_few_rows)
{
    std::size_t written = 0;
    c.customize_node = [&](node& n)
    {
        n.ctx.store.commit = [&, real = n.ctx.store.commit](
                                 ports::store_transaction change, const auto& done)
        {
            for (const auto& it : change.puts)
            {
                written += it.key.starts_with(hosted::runner_bucket_prefix) ? it.value.size() : 0;
            }
            real(change, done);
        };
    };
    for (int i = 0; i < 600; ++i)
    {
        c.hosts.add("p");
    }
    begin(1);
    CHECK(c.time.run_until([this] { return stored().size() == 600; }, 10s));
    c.time.run_for(2s);
    const auto whole = hosted::write_runners(stored()).size();
    written = 0;
    c.hosts.cut("m1", 60s);
    CHECK(c.time.run_until([this] { return has_lease_end("m1"); }, 4s));
    CHECK(written > 0);
    CHECK(written * 20 < whole);
}
