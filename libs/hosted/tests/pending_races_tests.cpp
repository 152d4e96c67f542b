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

/// Counts of waiting jobs when two events coincide in an unlucky order.
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
        ports::revision through_revision, ports::revision written, ports::revision now)
    {
        ports::item_read out;
        out.status = ports::kv_status::ok;
        out.item = ports::stored_item{hosted::pending_key,
            hosted::write_pending({through_revision, {{"q", 5}}}),
            written,
            1,
            0};
        out.store_revision = now;
        return out;
    }
};

// A previous coordinator does not learn of its successor while its lease is still renewed. Its
// record claims to be fresh and lacks jobs that it never received. If it were stored, callers would
// be told too few jobs; the condition on the leader key prevents that.
TEST(pending_races, a_previous_coordinator_stores_no_count)
{
    const node* not_watching = nullptr;
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
                    if (not_watching != &n)
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
    auto* const previous = c.leader();
    not_watching = previous;
    c.store.revoke(hosted::leader_key);
    accept("b", 2);
    CHECK(c.time.run_until([this] { return stored().waiting["q"] == 3; }, 5s));
    for (int i = 0; i < 60; ++i)
    {
        c.time.run_for(50ms);
        LONGS_EQUAL(3, stored().waiting["q"]);
    }
    // The previous coordinator has tried to write: only a refused write tells it of its successor.
    STRCMP_CONTAINS(
        "reason=fenced by the store", lines_of(*previous, "leadership_lost").back().c_str());
}

// A node reads from the change log what came after its record, while an older record is stored. The
// changes that the read returns begin where the newer record ended: added to the older record they
// would leave out the jobs between the two.
TEST(pending_races, an_older_record_during_a_change_log_read_leaves_no_gap)
{
    auto& n = c.add_node();
    auto ctx = n.ctx;
    std::deque<std::function<void(ports::item_read)>> gets;
    std::deque<std::pair<ports::revision, std::function<void(ports::changes_read)>>>
        change_log_reads;
    ctx.store.get = [&](const auto&, auto, auto done)
    {
        gets.push_back(std::move(done));
    };
    ctx.store.watch = [&](const auto&, ports::revision after, auto, auto done)
    {
        change_log_reads.emplace_back(after, std::move(done));
    };
    hosted::job_request_handler desk{ctx, {}};
    std::vector<int> reported;
    const auto query = [&]
    {
        desk.count_pending("q",
            c.time.now() + 1s,
            [&](hosted::pending_answer it) { reported.push_back(it.known ? it.jobs : -1); });
    };
    const auto answer = [&](const std::vector<ports::stored_change>& changes)
    {
        ports::changes_read out;
        out.status = ports::kv_status::ok;
        out.changes = changes;
        out.store_revision = 201;
        const auto done = change_log_reads.front().second;
        change_log_reads.pop_front();
        done(out);
    };
    query();
    gets.front()(record(100, 101, 200));
    LONGS_EQUAL(100, change_log_reads.front().first);
    query();
    gets.back()(record(50, 201, 201));
    answer({accepted(c, "b", 150)});
    CHECK(reported.empty());
    LONGS_EQUAL(50, change_log_reads.front().first);
    answer({accepted(c, "a", 60), accepted(c, "b", 150)});
    CHECK(reported == (std::vector<int>{7, 7}));
}

// A machine is suspended for 6 s, during which the coordinator dies and jobs are accepted. The
// store data that the node read before is 6 s old by the boot clock and less than 2 s old by the
// monotonic clock, which stood still. By the monotonic clock the dead coordinator's record would
// seem fresh.
TEST(pending_races, an_old_record_is_not_fresh_after_a_suspension)
{
    const node* suspended_node = nullptr;
    core::millis suspended_for{0};
    bool nobody_may_lead = false;
    c.customize_node = [&](node& n)
    {
        n.ctx.time.now = [&]
        {
            return c.time.now() - (&n == suspended_node ? suspended_for : 0ms);
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
    auto* const leader_node = c.leader();
    auto& other = leader_node == &c.nodes.front() ? c.nodes.back() : c.nodes.front();
    suspended_node = &other;
    accept("a", 1); // there is no host to run the job
    c.time.run_for(1s);
    std::optional<hosted::state_answer> state;
    other.desk->query_state(
        {"none", {}}, other.ctx.time.now() + 1s, [&](hosted::state_answer it) { state = it; });
    c.time.run_for(1500ms);
    CHECK(state.has_value());
    nobody_may_lead = true;
    leader_node->process.dead = true;
    other.process.paused = true;
    accept("b", 2);
    c.time.run_for(6s);
    suspended_for = 6s;
    c.time.resume(other.process);
    const auto it = count(other);
    CHECK(it.has_value());
    CHECK(!it->known || it->jobs == 3);
}

// Jobs are read in pages, and a job is accepted whose key belongs to a page that has already been
// read. It is returned with the changes since the first page. If the follower's revision were that
// of the last page, a count made in between would claim to include the job.
TEST(pending_races, a_job_stored_behind_the_pages_is_not_within_the_revision_read)
{
    c.store.page_size = 2;
    accept("m", 4);
    auto& n = c.add_node();
    auto ctx = n.ctx;
    ports::revision late_revision = 0;
    ctx.store.range = [&, real = ctx.store.range](
                          const std::string& prefix, const std::string& after, const auto& done)
    {
        if (!after.empty() && late_revision == 0)
        {
            c.put_job(c.make_job("a", 1));
            late_revision = c.store.find(hosted::job_key("a"))->created;
        }
        real(prefix, after, done);
    };
    std::optional<ports::revision> through_revision;
    std::unique_ptr<hosted::prefix_follower> follower;
    hosted::follower_events events;
    events.on_all = [&](const std::vector<ports::stored_item>& all)
    {
        LONGS_EQUAL(4, all.size());
        through_revision = follower->through_revision();
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
    CHECK(c.time.run_until([&] { return through_revision.has_value(); }, 5s));
    CHECK(late_revision > 0);
    CHECK(*through_revision < late_revision);
    CHECK(c.time.run_until([&] { return seen; }, 5s));
    CHECK(follower->through_revision() >= late_revision);
}
