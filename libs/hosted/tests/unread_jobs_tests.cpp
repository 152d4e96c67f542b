#include "hosted_fakes/cluster.hpp"
#include "log_lines.hpp"

#include <iterator>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

namespace
{

using page_answer = std::function<void(ports::page_read)>;

/// What a node's page reads meet. Its other calls are well.
struct page_trouble
{
    std::string prefix = hosted::job_prefix; ///< which pages
    int fails_of = 0;                        ///< one call in so many is given up; 0: none
    core::millis given_up_after{300};
    core::millis takes{0}; ///< a page that comes
    int calls = 0;
};

void read_page(cluster& c,
    page_trouble& t,
    const hosted::context& n,
    const std::function<void(const page_answer&)>& real,
    const page_answer& done)
{
    ++t.calls;
    if (t.fails_of > 0 && t.calls % t.fails_of == 0)
    {
        auto lost = ports::page_read{};
        lost.status = ports::kv_status::unknown;
        n.time.after(t.given_up_after, [done, lost] { done(lost); });
        return;
    }
    c.time.after(t.takes, [real, done] { real(done); });
}

} // namespace

TEST_GROUP(unread_jobs)
{
    cluster c;
    std::map<std::string, page_trouble> troubled; ///< by node

    void setup() override
    {
        c.customize_node = [this](node& n)
        {
            n.ctx.store.range = [this, &n, range = n.ctx.store.range](const std::string& prefix,
                                    const std::string& after,
                                    const page_answer& done)
            {
                const auto real = [range, prefix, after](const page_answer& then)
                {
                    range(prefix, after, then);
                };
                const auto it = troubled.find(n.ctx.member);
                const bool hit = it != troubled.end() && prefix == it->second.prefix;
                hit ? read_page(c, it->second, n.ctx, real, done) : real(done);
            };
        };
    }

    /// A new node that leads and is well.
    node& begin(std::size_t hosts)
    {
        while (c.hosts.machines.size() < hosts)
        {
            c.hosts.add("p");
        }
        auto& n = c.add_node();
        CHECK(c.has_leader());
        c.time.run_for(1s);
        return n;
    }

    void end_all()
    {
        for (auto& n : c.nodes)
        {
            n.process.dead = true;
        }
        c.time.run_for(3s);
    }

    void start_lasting(int tasks)
    {
        auto j = c.make_job("lasting", tasks);
        j.steps[0].long_running = true;
        c.put_job(j);
        c.time.run_for(2s);
        LONGS_EQUAL(tasks, c.running());
    }

    void put_jobs(const std::string& prefix, int jobs)
    {
        for (int i = 0; i < jobs; ++i)
        {
            c.put_job(c.make_job(prefix + std::to_string(i), 1));
        }
    }

    bool all_end(const std::string& prefix, int jobs, core::millis bound)
    {
        const auto ended = [&]
        {
            int n = 0;
            for (int i = 0; i < jobs; ++i)
            {
                n += c.state_of(prefix + std::to_string(i)) == job_state::completed ? 1 : 0;
            }
            return n == jobs;
        };
        return c.time.run_until(ended, bound);
    }

    std::size_t lines(const std::string& event)
    {
        std::size_t n = 0;
        for (const auto& it : c.nodes)
        {
            n += lines_of(it, event).size();
        }
        return n;
    }
};

// Callers' jobs are accepted and none begins, for minutes. The node that coordinates gets no page
// of them whole: each call is given up, or its answer comes later than anybody waits. Its lease is
// renewed by small calls all the while, so the node beside it, which is well, never takes over.
TEST(unread_jobs, a_node_that_can_read_them_takes_over)
{
    struct row
    {
        const char* name;
        page_trouble trouble;
        int pages; ///< that are read: of progress there is one, with nothing on it
    };
    const row rows[] = {
        {"each call is given up", {hosted::job_prefix, 1, 1200ms}, 1},
        {"each page takes a minute", {hosted::job_prefix, 0, 0ms, 60s}, 1},
        {"progress, each call is given up", {hosted::state_prefix, 1, 1200ms}, 0},
    };
    for (const auto& it : rows)
    {
        auto& first = begin(2);
        const auto hit = "n" + std::to_string(c.last_node + 1);
        troubled[hit] = it.trouble;
        c.add_node();
        c.time.run_for(500ms);
        first.process.dead = true;
        CHECK_TEXT(c.has_leader(), it.name);
        STRCMP_EQUAL_TEXT(hit.c_str(), c.leader()->ctx.member.c_str(), it.name);
        c.add_node();
        const auto job = "a" + hit;
        c.put_job(c.make_job(job, 2));
        CHECK_TEXT(c.ends(job, job_state::completed, 6s), it.name);
        const auto told = lines_of(*std::prev(c.nodes.end(), 2), "leadership_handed_over");
        LONGS_EQUAL_TEXT(1, told.size(), it.name);
        STRCMP_EQUAL_TEXT("jobs_unread", value_in(told[0], "reason").c_str(), it.name);
        LONGS_EQUAL_TEXT(it.pages, number_in(told[0], "pages"), it.name);
        CHECK_TEXT(number_in(told[0], "unread_ms") >= 4000, it.name);
        end_all();
    }
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Callers' jobs are accepted and none begins. The only node gets one page in two, and there are six
// or seven: with each page that fails it begins with the first one anew, and never has them all.
TEST(unread_jobs, reading_goes_on_from_the_page_that_was_reached)
{
    c.store.page_size = 3;
    auto& first = begin(4);
    first.process.dead = true;
    c.time.run_for(2s);
    put_jobs("a", 18);
    troubled["n2"] = {hosted::job_prefix, 2};
    c.add_node();
    CHECK(all_end("a", 18, 10s));
    LONGS_EQUAL(18, c.hosts.starts);
    STRCMP_EQUAL("", c.breaches().c_str());
}

// As before, with the progress of jobs that have ended, which a successor reads first.
TEST(unread_jobs, reading_of_progress_goes_on_from_the_page_that_was_reached)
{
    c.store.page_size = 3;
    auto& first = begin(4);
    put_jobs("a", 18);
    CHECK(all_end("a", 18, 10s));
    first.process.dead = true;
    troubled["n2"] = {hosted::state_prefix, 2};
    c.add_node();
    put_jobs("b", 1);
    CHECK(all_end("b", 1, 10s));
    LONGS_EQUAL(19, c.hosts.starts);
    STRCMP_EQUAL("", c.breaches().c_str());
}

// What is accepted, and what is taken back, while the pages are read one by one with failures in
// between, is seen all the same: callers would find their job never begun, or their cancel without
// effect. Pages are no snapshot; the changes since the first one come after the last.
TEST(unread_jobs, changes_between_the_pages_are_seen)
{
    c.store.page_size = 3;
    c.hosts.behaviour.run_time = 6s; // longer than two readings: the cancel comes in time
    for (const bool forgets : {false, true})
    {
        auto& first = begin(4);
        first.process.dead = true;
        c.time.run_for(2s);
        const auto name = "m" + std::to_string(c.last_node) + ".";
        put_jobs(name, 18);
        const auto next = "n" + std::to_string(c.last_node + 1);
        troubled[next] = {hosted::job_prefix, 2};
        c.add_node();
        const auto& trouble = troubled[next];
        CHECK(c.time.run_until([&] { return trouble.calls >= 6; }, 10s));
        const auto early = "a" + next; // stands before all pages that were read
        c.put_job(c.make_job(early, 1));
        c.store.put(hosted::cancel_key(name + "0"), "1");
        if (forgets)
        {
            c.store.compact();
        }
        CHECK(c.ends(early, job_state::completed, 20s));
        CHECK(c.ends(name + "0", job_state::cancelled, 5s));
        CHECK(c.ends(name + "17", job_state::completed, 10s));
        end_all();
    }
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Each node of the fleet is small and needs 6 s for the pages, longer than a first owner is given.
// Handed from one to the next after the same time, the jobs would never be read and never begin.
TEST(unread_jobs, a_fleet_of_small_nodes_gets_them_read)
{
    c.store.page_size = 3;
    for (const int nodes : {1, 4})
    {
        auto& first = begin(4);
        first.process.dead = true;
        c.time.run_for(2s);
        const auto name = "a" + std::to_string(c.last_node) + ".";
        put_jobs(name, 18);
        for (int i = 0; i < nodes; ++i)
        {
            troubled["n" + std::to_string(c.last_node + 1)] = {hosted::job_prefix, 0, 0ms, 1s};
            c.add_node();
        }
        CHECK(all_end(name, 18, 30s));
        end_all();
    }
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Neither of two nodes can read the jobs for a minute. Handed to and fro without end, the work
// would pass from owner to owner each second, with gaps in which nobody renews the runners' leases:
// tasks that run well would end. Once the pages come, the jobs run, each once.
TEST(unread_jobs, two_nodes_that_cannot_read_hand_over_seldom)
{
    auto& first = begin(3);
    start_lasting(3);
    troubled["n2"] = {hosted::job_prefix, 1, 1200ms};
    troubled["n3"] = troubled["n2"];
    c.add_node();
    c.add_node();
    c.time.run_for(1s);
    first.process.dead = true;
    put_jobs("a", 4);
    c.time.run_for(60s);
    CHECK(lines("leadership_gained") <= 8);
    LONGS_EQUAL(0, c.hosts.expired_runs);
    LONGS_EQUAL(3, c.running());
    LONGS_EQUAL(3, c.hosts.starts);
    troubled.clear();
    CHECK(all_end("a", 4, 8s));
    LONGS_EQUAL(0, c.hosts.expired_runs);
    LONGS_EQUAL(7, c.hosts.starts);
    STRCMP_EQUAL("", c.breaches().c_str());
}
