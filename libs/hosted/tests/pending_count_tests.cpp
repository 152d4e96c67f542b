#include "log_lines.hpp"
#include "pending_record.hpp"

#include <algorithm>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

TEST_GROUP(pending_count)
{
    cluster c;
    node* leader_node = nullptr;
    node* other = nullptr; ///< a node that is not the coordinator
    bool nobody_may_lead = false;
    std::vector<std::string> accepted; ///< ids of the jobs stored by accept()
    int count_reads = 0;               ///< store calls for counts since the test's last reset

    /// Starts two nodes. One is the coordinator and has stored that no job waits.
    void begin()
    {
        const auto more = c.customize_node;
        c.customize_node = [this, more](node& n)
        {
            n.ctx.store.commit = [this, real = n.ctx.store.commit](const auto& t, const auto& done)
            {
                const bool leads = !t.puts.empty() && t.puts[0].key == hosted::leader_key;
                if (leads && nobody_may_lead)
                {
                    done({ports::kv_status::rejected, 0, {}, false});
                    return;
                }
                real(t, done);
            };
            n.ctx.store.get = [this, real = n.ctx.store.get](
                                  const std::string& key, auto fresh, const auto& done)
            {
                count_reads += key == hosted::pending_key ? 1 : 0;
                real(key, fresh, done);
            };
            n.ctx.store.watch = [this, real = n.ctx.store.watch](
                                    const auto& prefix, auto after, core::millis wait, auto done)
            {
                count_reads += wait == 0ms ? 1 : 0;
                real(prefix, after, wait, done);
            };
            if (more)
            {
                more(n);
            }
        };
        c.add_node();
        c.add_node();
        CHECK(c.has_leader());
        c.time.run_for(1s);
        leader_node = c.leader();
        other = leader_node == &c.nodes.front() ? &c.nodes.back() : &c.nodes.front();
        const auto none = count(*other);
        CHECK(none.known);
        LONGS_EQUAL(0, none.jobs);
    }

    void end_all_leadership()
    {
        nobody_may_lead = true;
        leader_node->process.dead = true;
        c.time.run_for(3s);
        CHECK(c.leader() == nullptr);
    }

    /// Stores jobs of one task each.
    void accept(int jobs, const std::string& prefix = "a")
    {
        for (int i = 0; i < jobs; ++i)
        {
            accepted.push_back(prefix + std::to_string(i));
            c.put_job(c.make_job(accepted.back(), 1));
        }
    }

    hosted::pending_answer count(node & n, const std::string& queue = "q")
    {
        std::optional<hosted::pending_answer> out;
        n.desk->count_pending(
            queue, n.ctx.time.now() + 1s, [&](hosted::pending_answer it) { out = it; });
        c.time.run_until([&] { return out.has_value(); }, 5s);
        CHECK(out.has_value());
        return out.value_or(hosted::pending_answer{});
    }

    void check_is(int jobs, const hosted::pending_answer& it)
    {
        CHECK(it.known);
        LONGS_EQUAL(jobs, it.jobs);
    }

    /// An answer that says that the count is not known is correct too.
    void check_is_or_unknown(int jobs, const hosted::pending_answer& it)
    {
        if (it.known)
        {
            LONGS_EQUAL(jobs, it.jobs);
        }
    }
};

// The coordinator dies, no successor follows, and jobs are still accepted. The last record contains
// no age: if every node continued to report it, a caller would be told that no job waits although
// two were accepted 8 s ago.
TEST(pending_count, a_record_that_is_not_renewed_expires)
{
    begin();
    end_all_leadership();
    accept(2);
    c.time.run_for(8s);
    check_is_or_unknown(2, count(*other));
}

// The coordinator's watch of the jobs gets no answer for 7 s, while its lease is renewed by other
// calls. The coordinator writes fresh records of an outdated view twice a second. A caller must not
// be told that none of the jobs accepted 6 s ago waits.
TEST(pending_count, a_fresh_record_of_an_outdated_view_is_not_reported)
{
    bool watch_fails = false;
    c.customize_node = [&](node& n)
    {
        n.ctx.store.watch = [&, real = n.ctx.store.watch](
                                const std::string& prefix, auto after, auto wait, const auto& done)
        {
            const auto take = [&, prefix, done](const ports::changes_read& read)
            {
                const bool lost = watch_fails && &n == leader_node && prefix == hosted::job_prefix;
                if (!lost)
                {
                    done(read);
                    return;
                }
                c.time.after(7s, [done] { done({}); });
            };
            real(prefix, after, wait, take);
        };
    };
    begin();
    watch_fails = true;
    accept(4);
    c.time.run_for(6s);
    CHECK(leader_node == c.leader());
    check_is_or_unknown(4, count(*other));
}

// Starts are ordered and the runner never answers, so no task has started. A caller must not be
// told of those jobs alone for which there was no capacity, as if the ordered ones were running.
TEST(pending_count, a_job_whose_start_is_not_answered_still_waits)
{
    c.customize_node = [](node& n)
    {
        n.ctx.runners.start = [time = n.ctx.time](const auto&, const auto&, const auto& done)
        {
            time.after(700ms, [done] { done(ports::runner_answer{}); });
        };
    };
    c.hosts.add("p");
    begin();
    accept(12);
    c.time.run_for(6s);
    LONGS_EQUAL(0, c.hosts.starts);
    const auto it = count(*other);
    CHECK(it.known);
    LONGS_EQUAL(12, it.jobs);
}

// The record is damaged. A caller must not be told that no job waits: a count that cannot be read
// is not zero.
TEST(pending_count, a_damaged_record_gives_unknown)
{
    begin();
    end_all_leadership();
    for (const char* const text :
        {"", "{", "[]", "7", R"({"q":"x"})", R"({"q":-1})", R"({"through":9,"waiting":{"q":-1}})"})
    {
        c.store.put(hosted::pending_key, text);
        c.time.run_for(1s);
        CHECK_FALSE_TEXT(count(*other).known, text);
    }
}

// As before, without any record: no coordinator has counted yet.
TEST(pending_count, a_missing_record_gives_unknown)
{
    begin();
    end_all_leadership();
    accept(2);
    c.store.remove(hosted::pending_key);
    c.time.run_for(1s);
    CHECK_FALSE(count(*other).known);
}

// The machine of a node is suspended for 6 s, and the node is queried when it resumes. Its
// monotonic clock stood still, so its cached record seems milliseconds old. The node must not
// report the count from before the suspension.
TEST(pending_count, a_cached_record_from_before_a_suspension_is_not_reported)
{
    core::millis suspended_for{0};
    c.customize_node = [&](node& n)
    {
        n.ctx.time.now = [&]
        {
            return c.time.now() - (&n == other ? suspended_for : 0ms);
        };
    };
    begin();
    count(*other);
    other->process.paused = true;
    accept(2);
    c.time.run_for(6s);
    suspended_for = 6s;
    c.time.resume(other->process);
    check_is_or_unknown(2, count(*other));
}

// The usual case: the record is fresh, as the node's own store calls show. The count is reported
// after one store call, and then without any call.
TEST(pending_count, a_fresh_record_needs_one_store_call)
{
    begin();
    accept(3);
    c.time.run_for(1s);
    count_reads = 0;
    check_is(3, count(*other));
    STRCMP_EQUAL("record", value_in(lines_of(*other, "pending_told").back(), "how").c_str());
    CHECK(number_in(lines_of(*other, "pending_told").back(), "as_of_ms") <= 2000);
    LONGS_EQUAL(1, count_reads);
    count_reads = 0;
    c.time.run_for(300ms);
    check_is(3, count(*other));
    LONGS_EQUAL(0, count_reads);
}

// There is no coordinator. A caller is told of the jobs in the last record and of those accepted
// since, of its own queue only, without cancelled jobs and jobs with a start time.
TEST(pending_count, jobs_accepted_since_the_record_count)
{
    begin();
    accept(3);
    c.time.run_for(1s);
    end_all_leadership();
    accept(2, "b");
    auto j = c.make_job("other", 1);
    j.queue = "r";
    c.put_job(j);
    j = c.make_job("timed", 1);
    j.timing = {2, core::to_unix_ms(c.time.wall_now()) + 1000, 500};
    c.put_job(j);
    accept(1, "cancelled");
    c.store.put(hosted::cancel_key("cancelled0"), "1");
    c.store.put(hosted::handover_key, "n3");
    c.time.run_for(1s);
    check_is(5, count(*other));
    check_is(1, count(*other, "r"));
    check_is(0, count(*other, "s"));
    c.time.run_for(6s);
    accept(1, "c");
    c.time.run_for(1s);
    check_is(6, count(*other));
    STRCMP_EQUAL("extended", value_in(lines_of(*other, "pending_told").back(), "how").c_str());
    STRCMP_EQUAL("3", value_in(lines_of(*other, "pending_told").back(), "added").c_str());
}

// As before, and the store's change log is truncated: the jobs accepted since the record cannot be
// determined.
TEST(pending_count, a_truncated_change_log_gives_unknown)
{
    begin();
    end_all_leadership();
    accept(2);
    c.store.compact();
    c.time.run_for(1s);
    CHECK_FALSE(count(*other).known);
    STRCMP_EQUAL("history_lost", value_in(lines_of(*other, "pending_told").back(), "why").c_str());
}

// Reading the change log takes longer than the caller waits. The answer is sent by the deadline and
// says that the count is not known.
TEST(pending_count, a_slow_change_log_read_ends_by_the_deadline)
{
    bool slow = false;
    c.customize_node = [&](node& n)
    {
        n.ctx.store.watch = [&, time = n.ctx.time, real = n.ctx.store.watch](
                                const auto& prefix, auto after, core::millis wait, const auto& done)
        {
            time.after(
                slow && wait == 0ms ? 3000ms : 0ms, [=] { real(prefix, after, wait, done); });
        };
    };
    begin();
    end_all_leadership();
    accept(2);
    slow = true;
    const auto started = c.time.now();
    CHECK_FALSE(count(*other).known);
    CHECK(c.time.now() - started <= 1s);
    STRCMP_EQUAL(
        "history_unread", value_in(lines_of(*other, "pending_told").back(), "why").c_str());
}

// The change log is returned in parts, the first without the newest jobs. A part must not be
// reported as the complete count.
TEST(pending_count, a_change_log_in_parts_is_read_to_its_end)
{
    c.customize_node = [](node& n)
    {
        n.ctx.store.watch = [real = n.ctx.store.watch](
                                const auto& prefix, auto after, core::millis wait, const auto& done)
        {
            real(prefix,
                after,
                wait,
                [wait, done](ports::changes_read read)
                {
                    if (wait == 0ms && read.changes.size() > 2)
                    {
                        read.changes.resize(2);
                        read.store_revision = read.changes.back().item.modified;
                    }
                    done(read);
                });
        };
    };
    begin();
    end_all_leadership();
    accept(7);
    c.time.run_for(1s);
    check_is(7, count(*other));
}

// A count is 1.8 s old when it is reported. It is queried again while the store is down: the node's
// copy was read 0.3 s ago, but the count in it is older than callers accept.
TEST(pending_count, a_cached_count_is_not_reported_beyond_its_maximum_age)
{
    begin();
    accept(2);
    count(*other);
    c.time.run_for(1800ms);
    check_is(2, count(*other));
    STRCMP_EQUAL("record", value_in(lines_of(*other, "pending_told").back(), "how").c_str());
    c.store.down = true;
    c.time.run_for(300ms);
    CHECK_FALSE(count(*other).known);
}

// All jobs are read again because the store's change log was truncated, while new jobs are
// accepted. The record continues to state the revision up to which the coordinator has the jobs:
// neither a lower one than before, nor one that it has not read yet.
TEST(pending_count, a_record_is_correct_while_jobs_are_read_again)
{
    c.store.page_size = 2;
    bool slow = false;
    c.customize_node = [&](node& n)
    {
        n.ctx.store.range = [&, time = n.ctx.time, real = n.ctx.store.range](
                                const std::string& prefix, const auto& after, const auto& done)
        {
            const bool late = slow && prefix == hosted::job_prefix;
            time.after(late ? 400ms : 0ms, [=] { real(prefix, after, done); });
        };
    };
    begin();
    accept(8);
    c.time.run_for(1s);
    slow = true;
    c.store.compact();
    ports::revision last = 0;
    for (int i = 0; i < 40; ++i)
    {
        accept(1, "b" + std::to_string(i) + "x");
        c.time.run_for(100ms);
        const auto r = core::value(hosted::read_pending(c.store.find(hosted::pending_key)->value));
        CHECK(r.through_revision >= last);
        last = r.through_revision;
        const auto known = std::count_if(accepted.begin(),
            accepted.end(),
            [&](const auto& id)
            { return c.store.find(hosted::job_key(id))->created <= r.through_revision; });
        LONGS_EQUAL(known, r.waiting.at("q"));
    }
    CHECK(leader_node == c.leader());
}

// A node takes over and may die before its second count. Its first count is stored as soon as the
// jobs are read.
TEST(pending_count, a_successor_counts_at_once)
{
    begin();
    const auto before = c.store.find(hosted::pending_key)->modified;
    leader_node->process.dead = true;
    CHECK(c.time.run_until([&] { return other->log.has("jobs_read"); }, 5s));
    c.time.run_for(10ms);
    CHECK(c.store.find(hosted::pending_key)->modified > before);
}

// No job waits for minutes. The record is still renewed, so that the change log that readers add to
// it stays short.
TEST(pending_count, an_idle_record_is_renewed)
{
    begin();
    for (int i = 0; i < 10; ++i)
    {
        const auto before = c.store.find(hosted::pending_key)->modified;
        c.time.run_for(6s);
        CHECK(c.store.find(hosted::pending_key)->modified > before);
    }
}

// There is no coordinator, there are many jobs, and a read of the change log takes longer than a
// call may. Callers continue to ask. If each query started a read of its own, and repeated it
// immediately, all nodes together would keep the store too busy for the successor that reads the
// jobs.
TEST(pending_count, a_slow_change_log_is_read_rarely)
{
    bool slow = false;
    int reads = 0;
    int in_flight = 0;
    int max_in_flight = 0;
    c.customize_node = [&](node& n)
    {
        n.ctx.store.watch = [&, time = n.ctx.time, real = n.ctx.store.watch](
                                const auto& prefix, auto after, core::millis wait, const auto& done)
        {
            if (!slow || wait > 0ms)
            {
                real(prefix, after, wait, done);
                return;
            }
            ++reads;
            max_in_flight = std::max(max_in_flight, ++in_flight);
            time.after(1200ms,
                [&in_flight, done]
                {
                    --in_flight;
                    done({});
                });
        };
    };
    begin();
    end_all_leadership();
    accept(2);
    slow = true;
    int refused = 0;
    for (int i = 0; i < 200; ++i)
    {
        other->desk->count_pending("q",
            other->ctx.time.now() + 2500ms,
            [&](const hosted::pending_answer& it) { refused += it.known ? 0 : 1; });
        c.time.run_for(100ms);
    }
    LONGS_EQUAL(1, max_in_flight);
    CHECK(reads <= 8); // within 20 s
    c.time.run_for(3s);
    LONGS_EQUAL(200, refused);
    slow = false;
    c.time.run_for(4s);
    check_is(2, count(*other));
}
