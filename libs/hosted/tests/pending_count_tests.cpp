#include "hosted_fakes/cluster.hpp"

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

    /// Two nodes, of which one coordinates and has told that no job waits.
    void begin()
    {
        const auto more = c.plant;
        c.plant = [this, more](node& n)
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
            c.put_job(c.make_job(prefix + std::to_string(i), 1));
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
    c.plant = [&](node& n)
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
    c.plant = [](node& n)
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
    for (const char* const text : {"", "{", "[]", "7", R"({"q":"x"})", R"({"q":-1})"})
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
    c.plant = [&](node& n)
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
