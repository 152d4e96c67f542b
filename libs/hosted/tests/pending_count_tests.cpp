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
    node* owner = nullptr;
    node* other = nullptr; ///< a node that doesn't coordinate
    bool nobody_may_lead = false;
    std::vector<std::string> accepted; ///< ids, by accept
    int reads_of_counts = 0;           ///< calls of the store for them, since the test's last look

    /// Two nodes, of which one coordinates and has told that no job waits.
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
                reads_of_counts += key == hosted::pending_key ? 1 : 0;
                real(key, fresh, done);
            };
            n.ctx.store.watch = [this, real = n.ctx.store.watch](
                                    const auto& prefix, auto after, core::millis wait, auto done)
            {
                reads_of_counts += wait == 0ms ? 1 : 0;
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
        owner = c.leader();
        other = owner == &c.nodes.front() ? &c.nodes.back() : &c.nodes.front();
        const auto none = count(*other);
        CHECK(none.known);
        LONGS_EQUAL(0, none.jobs);
    }

    void lose_all_leaders()
    {
        nobody_may_lead = true;
        owner->process.dead = true;
        c.time.run_for(3s);
        CHECK(c.leader() == nullptr);
    }

    /// Accepts jobs of one task each.
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

    /// An answer that isn't known is a true one.
    void check_tells(int jobs, const hosted::pending_answer& it)
    {
        if (it.known)
        {
            LONGS_EQUAL(jobs, it.jobs);
        }
    }
};

// A caller hears that no job waits although two were accepted 8 s ago. The coordinating node died,
// none follows it, and jobs are accepted all the same. Every node goes on telling the last record,
// which says nothing of its age.
TEST(pending_count, a_record_that_nobody_renews_is_not_told_for_ever)
{
    begin();
    lose_all_leaders();
    accept(2);
    c.time.run_for(8s);
    check_tells(2, count(*other));
}

// The coordinating node's watch of the jobs gets no answer for 7 s, and it leads on: its lease is
// renewed by other calls. It writes a fresh record of an old view twice a second, and a caller
// hears that none of the jobs accepted 6 s ago waits.
TEST(pending_count, a_fresh_record_of_an_old_view_is_not_told)
{
    bool deaf = false;
    c.customize_node = [&](node& n)
    {
        n.ctx.store.watch = [&, real = n.ctx.store.watch](
                                const std::string& prefix, auto after, auto wait, const auto& done)
        {
            const auto take = [&, prefix, done](const ports::changes_read& read)
            {
                const bool lost = deaf && &n == owner && prefix == hosted::job_prefix;
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
    deaf = true;
    accept(4);
    c.time.run_for(6s);
    CHECK(owner == c.leader());
    check_tells(4, count(*other));
}

// Starts are ordered and the runner never answers: nothing has begun. A caller hears of those jobs
// alone that had no room, as if the ordered ones ran.
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

// The record is damaged, and a caller hears that no job waits: what could not be read was taken for
// nothing.
TEST(pending_count, a_damaged_record_is_not_known)
{
    begin();
    lose_all_leaders();
    for (const char* const text :
        {"", "{", "[]", "7", R"({"q":"x"})", R"({"q":-1})", R"({"through":9,"waiting":{"q":-1}})"})
    {
        c.store.put(hosted::pending_key, text);
        c.time.run_for(1s);
        CHECK_FALSE_TEXT(count(*other).known, text);
    }
}

// As before, with no record at all: no coordinating node has counted yet.
TEST(pending_count, a_missing_record_is_not_known)
{
    begin();
    lose_all_leaders();
    accept(2);
    c.store.remove(hosted::pending_key);
    c.time.run_for(1s);
    CHECK_FALSE(count(*other).known);
}

// A node's machine is suspended for 6 s, and asked just as it wakes. Its monotonic clock stood
// still, so its own copy of the record seems milliseconds old, and it tells what it knew before.
TEST(pending_count, a_copy_from_before_a_sleep_is_not_told)
{
    core::millis slept{0};
    c.customize_node = [&](node& n)
    {
        n.ctx.time.now = [&]
        {
            return c.time.now() - (&n == other ? slept : 0ms);
        };
    };
    begin();
    count(*other);
    other->process.paused = true;
    accept(2);
    c.time.run_for(6s);
    slept = 6s;
    c.time.resume(other->process);
    check_tells(2, count(*other));
}

// The usual case: the record is new, and the node's own calls show that. It is told as it is, for
// one call of the store, and then without any.
TEST(pending_count, a_new_record_is_told_for_one_call)
{
    begin();
    accept(3);
    c.time.run_for(1s);
    reads_of_counts = 0;
    check_is(3, count(*other));
    STRCMP_EQUAL("record", value_in(lines_of(*other, "pending_told").back(), "how").c_str());
    CHECK(number_in(lines_of(*other, "pending_told").back(), "as_of_ms") <= 2000);
    LONGS_EQUAL(1, reads_of_counts);
    reads_of_counts = 0;
    c.time.run_for(300ms);
    check_is(3, count(*other));
    LONGS_EQUAL(0, reads_of_counts);
}

// Nobody coordinates. A caller hears of the jobs in the last record and of those accepted since, of
// its queue only; of none that was cancelled or has a time.
TEST(pending_count, what_was_accepted_since_the_record_counts)
{
    begin();
    accept(3);
    c.time.run_for(1s);
    lose_all_leaders();
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

// As before, and the store has dropped its history: what was accepted since the record can't be
// known.
TEST(pending_count, a_lost_history_is_not_known)
{
    begin();
    lose_all_leaders();
    accept(2);
    c.store.compact();
    c.time.run_for(1s);
    CHECK_FALSE(count(*other).known);
    STRCMP_EQUAL("history_lost", value_in(lines_of(*other, "pending_told").back(), "why").c_str());
}

// The history takes longer to read than the caller waits. The answer comes in time, and says that
// it is not known.
TEST(pending_count, a_long_reading_of_the_history_ends_by_the_deadline)
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
    lose_all_leaders();
    accept(2);
    slow = true;
    const auto begun = c.time.now();
    CHECK_FALSE(count(*other).known);
    CHECK(c.time.now() - begun <= 1s);
    STRCMP_EQUAL(
        "history_unread", value_in(lines_of(*other, "pending_told").back(), "why").c_str());
}

// The history comes in parts, the first without the newest jobs. A part is not told for the whole.
TEST(pending_count, a_history_in_parts_is_read_to_its_end)
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
    lose_all_leaders();
    accept(7);
    c.time.run_for(1s);
    check_is(7, count(*other));
}

// A count is 1.8 s old when it is told. Asked again while the store is away, the node has a copy
// that it read 0.3 s ago, and that is older than callers accept.
TEST(pending_count, an_own_copy_is_told_no_longer_than_it_is_true)
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

// Jobs are read again whole, since the store has dropped its history, while new ones come. The
// record goes on saying up to where its maker knew them: neither less than before, nor what it has
// not read yet.
TEST(pending_count, a_record_is_true_while_jobs_are_read_anew)
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
        CHECK(r.through >= last);
        last = r.through;
        const auto known = std::count_if(accepted.begin(),
            accepted.end(),
            [&](const auto& id)
            { return c.store.find(hosted::job_key(id))->created <= r.through; });
        LONGS_EQUAL(known, r.waiting.at("q"));
    }
    CHECK(owner == c.leader());
}

// A node takes over, and dies before it has counted a second time. Its count is there all the same:
// it was made as soon as the jobs were read.
TEST(pending_count, a_successor_counts_at_once)
{
    begin();
    const auto before = c.store.find(hosted::pending_key)->modified;
    owner->process.dead = true;
    CHECK(c.time.run_until([&] { return other->log.has("jobs_read"); }, 5s));
    c.time.run_for(10ms);
    CHECK(c.store.find(hosted::pending_key)->modified > before);
}

// Nothing waits for minutes. The record is written anew all the same, so that the history that
// readers add to it is short.
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

// Nobody coordinates, jobs are many, and reading the history takes longer than a call may. Callers
// ask on: were each of them to begin a reading of its own, at once and again, all nodes together
// would keep the store from the successor that reads the jobs.
TEST(pending_count, a_history_that_takes_too_long_is_read_seldom)
{
    bool slow = false;
    int readings = 0;
    int out = 0;
    int most_out = 0;
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
            ++readings;
            most_out = std::max(most_out, ++out);
            time.after(1200ms,
                [&out, done]
                {
                    --out;
                    done({});
                });
        };
    };
    begin();
    lose_all_leaders();
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
    LONGS_EQUAL(1, most_out);
    CHECK(readings <= 8); // within 20 s
    c.time.run_for(3s);
    LONGS_EQUAL(200, refused);
    slow = false;
    c.time.run_for(4s);
    check_is(2, count(*other));
}
