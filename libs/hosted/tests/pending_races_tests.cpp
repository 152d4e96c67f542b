#include "hosted/prefix_follower.hpp"
#include "hosted_fakes/cluster.hpp"
#include "log_lines.hpp"
#include "pending_record.hpp"

#include <algorithm>
#include <deque>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

/// Counts of waiting jobs when two things meet in an unlucky order.
TEST_GROUP(pending_races)
{
    cluster c;

    void accept(const std::string& prefix, int jobs)
    {
        for (int i = 0; i < jobs; ++i)
        {
            c.put_job(c.make_job(prefix + std::to_string(i), 1));
        }
    }

    std::optional<hosted::pending_answer> count(node & n)
    {
        std::optional<hosted::pending_answer> out;
        n.desk->count_pending(
            "q", n.ctx.time.now() + 1s, [&](hosted::pending_answer it) { out = it; });
        c.time.run_until([&] { return out.has_value(); }, 5s);
        return out;
    }

    hosted::pending_record stored() const
    {
        return core::value(hosted::read_pending(c.store.find(hosted::pending_key)->value));
    }

    static ports::stored_change accepted(
        const cluster& c, const std::string& id, ports::revision at)
    {
        ports::stored_change out;
        out.item = {hosted::job_key(id), workflow::write_job(c.make_job(id, 1)), at, at, 0};
        return out;
    }

    static ports::item_read record(
        ports::revision through, ports::revision written, ports::revision now)
    {
        ports::item_read out;
        out.status = ports::kv_status::ok;
        out.item = ports::stored_item{
            hosted::pending_key, hosted::write_pending({through, {{"q", 5}}}), written, 1, 0};
        out.store_revision = now;
        return out;
    }
};

// A former owner hears nothing of its successor, and its lease is renewed all the while. Its record
// counts as fresh jobs that it never took in. Were it stored, callers would hear of too few jobs;
// the condition on the owner's key is what keeps it out.
TEST(pending_races, a_former_owner_stores_no_count)
{
    const node* deaf = nullptr;
    c.customize_node = [&](node& n)
    {
        n.ctx.store.watch = [&, real = n.ctx.store.watch](
                                const std::string& prefix, auto after, auto wait, const auto& done)
        {
            real(prefix,
                after,
                wait,
                [&, done](const ports::changes_read& read)
                {
                    if (deaf != &n)
                    {
                        done(read);
                    }
                });
        };
    };
    c.add_node();
    c.add_node();
    CHECK(c.has_leader());
    accept("a", 1);
    c.time.run_for(2s);
    auto* const former = c.leader();
    deaf = former;
    c.store.revoke(hosted::leader_key);
    accept("b", 2);
    CHECK(c.time.run_until([this] { return stored().waiting["q"] == 3; }, 5s));
    for (int i = 0; i < 60; ++i)
    {
        c.time.run_for(50ms);
        LONGS_EQUAL(3, stored().waiting["q"]);
    }
    // It has tried: nothing but a refused write tells it.
    STRCMP_CONTAINS(
        "reason=fenced by the store", lines_of(*former, "leadership_lost").back().c_str());
}

// A node reads from the history what came after its record when an older record lands in the
// store. What the reading brings begins where the newer one ended: added to the older record it
// would leave out the jobs between the two.
TEST(pending_races, an_older_record_amid_a_reading_leaves_no_gap)
{
    auto& n = c.add_node();
    auto ctx = n.ctx;
    std::deque<std::function<void(ports::item_read)>> gets;
    std::deque<std::pair<ports::revision, std::function<void(ports::changes_read)>>> readings;
    ctx.store.get = [&](const auto&, auto, auto done)
    {
        gets.push_back(std::move(done));
    };
    ctx.store.watch = [&](const auto&, ports::revision after, auto, auto done)
    {
        readings.emplace_back(after, std::move(done));
    };
    hosted::entry_desk desk{ctx, {}};
    std::vector<int> told;
    const auto ask = [&]
    {
        desk.count_pending("q",
            c.time.now() + 1s,
            [&](hosted::pending_answer it) { told.push_back(it.known ? it.jobs : -1); });
    };
    const auto answer = [&](const std::vector<ports::stored_change>& changes)
    {
        ports::changes_read out;
        out.status = ports::kv_status::ok;
        out.changes = changes;
        out.store_revision = 201;
        const auto done = readings.front().second;
        readings.pop_front();
        done(out);
    };
    ask();
    gets.front()(record(100, 101, 200));
    LONGS_EQUAL(100, readings.front().first);
    ask();
    gets.back()(record(50, 201, 201));
    answer({accepted(c, "b", 150)});
    CHECK(told.empty());
    LONGS_EQUAL(50, readings.front().first);
    answer({accepted(c, "a", 60), accepted(c, "b", 150)});
    CHECK(told == (std::vector<int>{7, 7}));
}

// A machine is suspended for 6 s. While it sleeps the owner dies and jobs are accepted. What the
// node knows of the store from before is 6 s old by a clock that went on, and under 2 s by one that
// stood still: by that one the dead owner's record would pass for new.
TEST(pending_races, an_old_record_is_not_new_for_a_node_that_slept)
{
    const node* sleeper = nullptr;
    core::millis slept{0};
    bool nobody_may_lead = false;
    c.customize_node = [&](node& n)
    {
        n.ctx.time.now = [&]
        {
            return c.time.now() - (&n == sleeper ? slept : 0ms);
        };
        n.ctx.store.commit = [&, real = n.ctx.store.commit](const auto& t, const auto& done)
        {
            if (nobody_may_lead && !t.puts.empty() && t.puts[0].key == hosted::leader_key)
            {
                done({ports::kv_status::rejected, 0, {}, false});
                return;
            }
            real(t, done);
        };
    };
    c.add_node();
    c.add_node();
    CHECK(c.has_leader());
    auto* const owner = c.leader();
    auto& other = owner == &c.nodes.front() ? c.nodes.back() : c.nodes.front();
    sleeper = &other;
    accept("a", 1); // there is no host to run it
    c.time.run_for(1s);
    std::optional<hosted::state_answer> state;
    other.desk->tell_state(
        "none", other.ctx.time.now() + 1s, [&](hosted::state_answer it) { state = it; });
    c.time.run_for(1500ms);
    CHECK(state.has_value());
    nobody_may_lead = true;
    owner->process.dead = true;
    other.process.paused = true;
    accept("b", 2);
    c.time.run_for(6s);
    slept = 6s;
    c.time.resume(other.process);
    const auto it = count(other);
    CHECK(it.has_value());
    CHECK(!it->known || it->jobs == 3);
}

// Jobs are read in pages, and one is accepted whose place is in a page that was read before. It
// comes with the changes since the first page. Were the follower's revision the last page's, a
// count made in between would pass for one that holds the job.
TEST(pending_races, what_came_behind_the_pages_is_not_within_the_revision_read)
{
    c.store.page_size = 2;
    accept("m", 4);
    auto& n = c.add_node();
    auto ctx = n.ctx;
    ports::revision late = 0;
    ctx.store.range = [&, real = ctx.store.range](
                          const std::string& prefix, const std::string& after, const auto& done)
    {
        if (!after.empty() && late == 0)
        {
            c.put_job(c.make_job("a", 1));
            late = c.store.find(hosted::job_key("a"))->created;
        }
        real(prefix, after, done);
    };
    std::optional<ports::revision> through;
    std::unique_ptr<hosted::prefix_follower> follower;
    hosted::follower_events events;
    events.on_all = [&](const std::vector<ports::stored_item>& all)
    {
        LONGS_EQUAL(4, all.size());
        through = follower->through();
    };
    bool seen = false;
    events.on_changes = [&](const std::vector<ports::stored_change>& all)
    {
        seen = seen || std::any_of(all.begin(),
                           all.end(),
                           [](const auto& it) { return it.item.key == hosted::job_key("a"); });
    };
    hosted::follower_settings s;
    s.prefix = hosted::job_prefix;
    follower = std::make_unique<hosted::prefix_follower>(ctx, s, events);
    follower->start();
    CHECK(c.time.run_until([&] { return through.has_value(); }, 5s));
    CHECK(late > 0);
    CHECK(*through < late);
    CHECK(c.time.run_until([&] { return seen; }, 5s));
    CHECK(follower->through() >= late);
}
