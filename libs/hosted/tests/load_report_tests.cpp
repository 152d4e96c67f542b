#include "load_report.hpp"

#include "log_lines.hpp"

#include <CppUTest/TestHarness.h>
#include <utility>

using namespace camphorhitch;
using hosted_fakes::lines_of;
using hosted_fakes::number_in;
using hosted_fakes::value_in;
using namespace std::chrono_literals;

TEST_GROUP(load_report){};

TEST(load_report, a_quantile_is_at_most_a_quarter_too_long)
{
    for (const auto t : {1ms, 2ms, 3ms, 7ms, 10ms, 99ms, 350ms, 1001ms, 7777ms, 60000ms})
    {
        hosted::time_histogram s;
        s.add(t, 9);
        s.add(64s);
        CHECK(s.quantile(0.5) >= t);
        CHECK(s.quantile(0.5) <= std::max<core::millis>(t + t / 4 + 1ms, 2ms));
        CHECK(s.max() == 64s);
    }
}

TEST(load_report, a_histogram_accepts_any_time)
{
    hosted::time_histogram s;
    s.add(-5ms);
    s.add(0ms);
    CHECK(s.quantile(0.95) <= 1ms);
    s.add(10min);
    CHECK(s.max() == 10min);
    CHECK(s.quantile(1.0) == 10min);
    LONGS_EQUAL(3, s.count());
}

TEST(load_report, the_maximum_delay_since_a_time)
{
    hosted::loop_delay_history d;
    const core::mono_time begin{1000s};
    d.add(begin, 900ms);
    d.add(begin + 1s, 40ms);
    d.add(begin + 1s + 10ms, 30ms);
    CHECK(d.max_since(begin) == 900ms);
    CHECK(d.max_since(begin + 500ms) == 40ms);
    CHECK(d.max_since(begin + 2s) == 0ms);
    for (int i = 2; i < 40; ++i)
    {
        d.add(begin + std::chrono::seconds{i}, 5ms);
    }
    CHECK(d.max_since(begin) == 5ms); // older delays have been overwritten
}

// An end that is applied while a write is in flight is not part of that write.
TEST(load_report, ends_are_stored_by_the_write_that_began_after_them)
{
    hosted::run_end_tracker l;
    const core::mono_time begin{1000s};
    l.record(2, begin);
    l.record(1, begin + 3ms);
    l.record(4, begin + 20ms);
    l.begin_store_write();
    l.record(5, begin + 21ms);
    LONGS_EQUAL(12, l.count_not_stored());
    const auto first = l.take_stored();
    LONGS_EQUAL(2, first.size());
    CHECK(first[0] == std::make_pair(begin, std::int64_t{3}));
    LONGS_EQUAL(5, l.count_not_stored());
    l.begin_store_write();
    l.begin_store_write(); // the write failed and is repeated
    LONGS_EQUAL(1, l.take_stored().size());
    LONGS_EQUAL(0, l.count_not_stored());
    LONGS_EQUAL(0, l.take_stored().size());
}

TEST(load_report, an_expiry_shows_whether_the_host_or_the_node_was_late)
{
    hosted::load_report r;
    const core::mono_time now{1000s};
    r.timer_delays.add(now - 5s, 3s);
    r.timer_delays.add(now - 1s, 20ms);
    r.socket_delays.add(now - 2s, 900ms);
    const auto f = hosted::lease_expiry_fields({"h1", 2, now - 3s, now - 2s}, r, now);
    STRCMP_EQUAL("3000", f[2].second.c_str());
    STRCMP_EQUAL("2000", f[3].second.c_str());
    STRCMP_EQUAL("20", f[4].second.c_str());
    STRCMP_EQUAL("900", f[5].second.c_str());
    const auto never = hosted::lease_expiry_fields({"h1", 2, {}, {}}, r, now);
    STRCMP_EQUAL("never", never[2].second.c_str());
}

// A coordinator completes its jobs. Its lines count all starts and ends, and in the end no work
// waits.
TEST(load_report, one_line_per_second_counts_the_work)
{
    hosted_fakes::cluster c;
    c.hosts.add("p");
    c.hosts.add("p");
    auto& n = c.add_node();
    auto& other = c.add_node();
    CHECK(c.has_leader());
    auto& lead = *c.leader();
    c.put_job(c.make_job("a", 4, 2));
    CHECK(c.ends("a", workflow::job_state::completed, 5s));
    c.time.run_for(2s);
    const auto lines = lines_of(lead, "coordinator_load");
    CHECK(lines.size() >= 3);
    std::int64_t starts = 0;
    std::int64_t ends = 0;
    for (const auto& it : lines)
    {
        starts += std::stol(value_in(it, "starts_answered"));
        ends += std::stol(value_in(it, "ends_taken"));
    }
    LONGS_EQUAL(8, starts);
    LONGS_EQUAL(8, ends);
    for (const char* const level :
        {"tasks_waiting", "orders_unanswered", "jobs_dirty", "ends_not_stored", "hosts_silent"})
    {
        STRCMP_EQUAL("0", value_in(lines.back(), level).c_str());
    }
    STRCMP_EQUAL("2", value_in(lines.back(), "hosts").c_str());
    const auto& follower = &lead == &n ? other : n;
    LONGS_EQUAL(0, lines_of(follower, "coordinator_load").size());
}

// A runner is cut off and its leases expire. The line shows that this node was not late.
TEST(load_report, an_expired_host_has_a_line)
{
    hosted_fakes::cluster c;
    const auto machine = c.hosts.add("p");
    c.hosts.behaviour.run_time = 20s;
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    c.put_job(c.make_job("a", 1));
    c.time.run_for(1s);
    c.hosts.cut(machine, 20s);
    c.time.run_for(8s);
    const auto lines = lines_of(*c.leader(), "leases_lapsed");
    LONGS_EQUAL(1, lines.size());
    STRCMP_EQUAL("1", value_in(lines[0], "runs").c_str());
    CHECK(std::stol(value_in(lines[0], "since_answer_ms")) >= 2500);
    STRCMP_EQUAL("0", value_in(lines[0], "timer_late_ms").c_str());
}

// Answers stay unread while timers fire in time. Only the socket probe shows it, even before the
// probe has run.
TEST(load_report, a_backlog_of_descriptors_shows_although_timers_are_in_time)
{
    hosted_fakes::cluster c;
    std::vector<std::function<void()>> behind;
    c.customize_node = [&](hosted_fakes::node& n)
    {
        n.ctx.post_behind_descriptors = [&](std::function<void()> fn)
        {
            behind.push_back(std::move(fn));
        };
    };
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(2500ms);
    LONGS_EQUAL(1, behind.size()); // one at a time
    auto line = lines_of(*c.leader(), "coordinator_load").back();
    STRCMP_EQUAL("0", value_in(line, "timer_late_ms").c_str());
    CHECK(std::stol(value_in(line, "socket_late_ms")) >= 1500);
    for (int i = 0; i < 30; ++i)
    {
        for (const auto& it : std::exchange(behind, {}))
        {
            it();
        }
        c.time.run_for(100ms);
    }
    line = lines_of(*c.leader(), "coordinator_load").back();
    CHECK(std::stol(value_in(line, "socket_late_ms")) <= 100);
}

// The store stops answering while its leases continue to expire. The line of the lost leadership,
// written at the store's first answer, shows that renewals were sent in time.
TEST(load_report, a_lost_lease_shows_the_ages_of_its_renewals)
{
    hosted_fakes::cluster c;
    c.add_node();
    CHECK(c.has_leader());
    auto& lead = *c.leader();
    c.time.run_for(1s);
    c.store.down = true;
    c.time.run_for(3s); // past its lease the coordinator sends no order and waits for the store
    CHECK(!lines_of(lead, "renewal_late").empty());
    LONGS_EQUAL(0, lines_of(lead, "leadership_lost").size());
    c.store.down = false;
    c.time.run_for(500ms);
    const auto lost = lines_of(lead, "leadership_lost");
    LONGS_EQUAL(1, lost.size());
    CHECK(std::stol(value_in(lost[0], "since_sent_ms")) <= 400);
    CHECK(std::stol(value_in(lost[0], "since_answered_ms")) >= 800);
    STRCMP_EQUAL("0", value_in(lost[0], "timer_late_ms").c_str());
}

// The record of waiting jobs does not show how late its writer read the jobs; the log line does.
TEST(load_report, a_record_of_waiting_jobs_shows_its_basis)
{
    hosted_fakes::cluster c;
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    c.put_job(c.make_job("a", 1)); // there is no host to run it
    c.put_job(c.make_job("b", 1));
    CHECK(c.time.run_until(
        [&]
        {
            return c.leader()->log.has("pending_stored") &&
                   value_in(lines_of(*c.leader(), "pending_stored").back(), "jobs") == "2";
        },
        2s));
    const auto line = lines_of(*c.leader(), "pending_stored").back();
    LONGS_EQUAL(c.store.find(hosted::pending_key)->modified, number_in(line, "revision"));
    CHECK(number_in(line, "read_through") >= c.store.find(hosted::job_key("b"))->created);
    CHECK(number_in(line, "read_through") < number_in(line, "revision"));
    CHECK(number_in(line, "intake_age_ms") <= 1000);
    STRCMP_EQUAL("0", value_in(line, "ordered_only").c_str());
    const auto before = lines_of(*c.leader(), "pending_stored").size();
    c.time.run_for(5s); // the same counts, written twice a second
    const auto more = lines_of(*c.leader(), "pending_stored").size() - before;
    CHECK(more >= 3 && more <= 5);
}

// One node coordinates all the time. Its watch of accepted jobs gets no answer while its writes
// succeed, so the record is new and its counts are old. The age of the intake and the revision up
// to which jobs were read show this.
TEST(load_report, an_unanswered_job_watch_shows_in_the_lines_of_the_record)
{
    hosted_fakes::cluster c;
    bool watch_fails = false;
    c.customize_node = [&](hosted_fakes::node& n)
    {
        n.ctx.store.watch = [&watch_fails, real = n.ctx.store.watch](const std::string& prefix,
                                ports::revision after,
                                core::millis wait,
                                const auto& done)
        {
            real(prefix,
                after,
                wait,
                [&watch_fails, prefix, done](const ports::changes_read& it)
                {
                    if (!watch_fails || prefix != hosted::job_prefix)
                    {
                        done(it);
                    }
                });
        };
    };
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    c.put_job(c.make_job("a", 1));
    c.time.run_for(1s);
    watch_fails = true;
    c.put_job(c.make_job("b", 1));
    c.time.run_for(4s);
    const auto record = lines_of(*c.leader(), "pending_stored").back();
    STRCMP_EQUAL("1", value_in(record, "jobs").c_str());
    CHECK(number_in(record, "revision") > c.store.find(hosted::job_key("b"))->created);
    CHECK(number_in(record, "read_through") < c.store.find(hosted::job_key("b"))->created);
    CHECK(number_in(record, "intake_age_ms") >= 2500);
    const auto load = lines_of(*c.leader(), "coordinator_load").back();
    CHECK(number_in(load, "intake_age_ms") >= 2500);
}

// A start is in flight and no runner has answered, so the job counts as waiting. The lines show how
// many of the waiting jobs have been ordered.
TEST(load_report, jobs_that_are_only_ordered_show_in_the_lines)
{
    hosted_fakes::cluster c;
    c.customize_node = [](hosted_fakes::node& n)
    {
        n.ctx.runners.start = [](const auto&, const auto&, const auto&) {
        };
    };
    c.hosts.add("p");
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    c.put_job(c.make_job("a", 1));
    c.time.run_for(2500ms);
    const auto record = lines_of(*c.leader(), "pending_stored").back();
    STRCMP_EQUAL("1", value_in(record, "jobs").c_str());
    STRCMP_EQUAL("1", value_in(record, "ordered_only").c_str());
    const auto load = lines_of(*c.leader(), "coordinator_load").back();
    STRCMP_EQUAL("1", value_in(load, "jobs_only_ordered").c_str());
}

// The store refuses the write of the record, so the record before stays in place.
TEST(load_report, a_record_that_is_not_stored_has_a_line)
{
    hosted_fakes::cluster c;
    c.customize_node = [&c](hosted_fakes::node& n)
    {
        n.ctx.store.commit = [&c, real = n.ctx.store.commit](
                                 const ports::store_transaction& it, const auto& done)
        {
            const bool is_record = !it.puts.empty() && it.puts[0].key == hosted::pending_key;
            if (is_record && c.store.find(hosted::job_key("a")) != nullptr)
            {
                done({ports::kv_status::rejected, 0, {}, false});
                return;
            }
            real(it, done);
        };
    };
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    const auto stored = lines_of(*c.leader(), "pending_stored").size();
    c.put_job(c.make_job("a", 1));
    c.time.run_for(2s);
    const auto lines = lines_of(*c.leader(), "pending_not_stored");
    CHECK(lines.size() >= 3);
    STRCMP_EQUAL("rejected", value_in(lines.back(), "store").c_str());
    STRCMP_EQUAL("1", value_in(lines.back(), "jobs").c_str());
    LONGS_EQUAL(stored, lines_of(*c.leader(), "pending_stored").size());
}
