#include "hosted_fakes/cluster.hpp"
#include "log_lines.hpp"

#include <algorithm>
#include <iterator>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

namespace
{

using page_answer = std::function<void(ports::page_read)>;

/// Fault of a node's page reads. Its other calls are not affected.
struct page_fault
{
    std::string prefix = hosted::job_prefix; ///< prefix of the affected pages
    int failing_call = 0;                    ///< every so many calls one fails; 0: no call fails
    core::millis failure_delay{300};
    core::millis page_delay{0}; ///< delay of a page that arrives
    int calls = 0;
};

void read_page(cluster& c,
    page_fault& t,
    const hosted::context& n,
    const std::function<void(const page_answer&)>& real,
    const page_answer& done)
{
    ++t.calls;
    if (t.failing_call > 0 && t.calls % t.failing_call == 0)
    {
        auto lost = ports::page_read{};
        lost.status = ports::kv_status::unknown;
        n.time.after(t.failure_delay, [done, lost] { done(lost); });
        return;
    }
    c.time.after(t.page_delay, [real, done] { real(done); });
}

} // namespace

TEST_GROUP(unread_jobs)
{
    cluster c;
    std::map<std::string, page_fault> faulty; ///< fault by node name

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
                const auto it = faulty.find(n.ctx.member);
                const bool is_faulty = it != faulty.end() && prefix == it->second.prefix;
                is_faulty ? read_page(c, it->second, n.ctx, real, done) : real(done);
            };
        };
    }

    /// Starts a new healthy node that becomes the coordinator.
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

    void start_long_running(int tasks)
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

// Jobs are accepted and none starts for minutes. The coordinator receives no page of the jobs
// completely: each call fails, or its answer arrives too late. Its lease is renewed by small calls
// all the while, so without a handover the healthy node beside it would never take over.
TEST(unread_jobs, a_node_that_can_read_the_jobs_takes_over)
{
    struct row
    {
        const char* name;
        page_fault fault;
        int pages; ///< pages that are read: there is one page of progress, which is empty
    };
    const row rows[] = {
        {"each call is given up", {hosted::job_prefix, 1, 1200ms}, 1},
        {"each page takes a minute", {hosted::job_prefix, 0, 0ms, 60s}, 1},
        {"progress, each call is given up", {hosted::state_prefix, 1, 1200ms}, 0},
    };
    for (const auto& it : rows)
    {
        auto& first = begin(2);
        const auto faulty_node = "n" + std::to_string(c.last_node + 1);
        faulty[faulty_node] = it.fault;
        c.add_node();
        c.time.run_for(500ms);
        first.process.dead = true;
        CHECK_TEXT(c.has_leader(), it.name);
        STRCMP_EQUAL_TEXT(faulty_node.c_str(), c.leader()->ctx.member.c_str(), it.name);
        c.add_node();
        const auto job = "a" + faulty_node;
        c.put_job(c.make_job(job, 2));
        CHECK_TEXT(c.ends(job, job_state::completed, 6s), it.name);
        const auto handover_lines =
            lines_of(*std::prev(c.nodes.end(), 2), "leadership_handed_over");
        LONGS_EQUAL_TEXT(1, handover_lines.size(), it.name);
        STRCMP_EQUAL_TEXT("jobs_unread", value_in(handover_lines[0], "reason").c_str(), it.name);
        LONGS_EQUAL_TEXT(it.pages, number_in(handover_lines[0], "pages"), it.name);
        CHECK_TEXT(number_in(handover_lines[0], "unread_ms") >= 4000, it.name);
        end_all();
    }
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Jobs are accepted and none starts. The only node receives one page in two, and there are six or
// seven. If it restarted from the first page after each failure, it would never have all of them.
TEST(unread_jobs, reading_continues_from_the_last_page_reached)
{
    c.store.page_size = 3;
    auto& first = begin(4);
    first.process.dead = true;
    c.time.run_for(2s);
    put_jobs("a", 18);
    faulty["n2"] = {hosted::job_prefix, 2};
    c.add_node();
    CHECK(all_end("a", 18, 10s));
    LONGS_EQUAL(18, c.hosts.starts);
    STRCMP_EQUAL("", c.breaches().c_str());
}

// As before, with the progress of finished jobs, which a successor reads first.
TEST(unread_jobs, reading_of_progress_continues_from_the_last_page_reached)
{
    c.store.page_size = 3;
    auto& first = begin(4);
    put_jobs("a", 18);
    CHECK(all_end("a", 18, 10s));
    first.process.dead = true;
    faulty["n2"] = {hosted::state_prefix, 2};
    c.add_node();
    put_jobs("b", 1);
    CHECK(all_end("b", 1, 10s));
    LONGS_EQUAL(19, c.hosts.starts);
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Jobs that are accepted and cancels that are stored while the pages are read one by one, with
// failures in between, are applied. Otherwise a job would never start or a cancel would have no
// effect. Pages are not a snapshot; the changes since the first page are read after the last one.
TEST(unread_jobs, changes_between_the_pages_are_applied)
{
    c.store.page_size = 3;
    c.hosts.behaviour.run_time = 6s; // longer than two reads, so that the cancel arrives in time
    for (const bool truncates : {false, true})
    {
        auto& first = begin(4);
        first.process.dead = true;
        c.time.run_for(2s);
        const auto name = "m" + std::to_string(c.last_node) + ".";
        put_jobs(name, 18);
        const auto next = "n" + std::to_string(c.last_node + 1);
        faulty[next] = {hosted::job_prefix, 2};
        c.add_node();
        const auto& fault = faulty[next];
        CHECK(c.time.run_until([&] { return fault.calls >= 6; }, 10s));
        const auto early = "a" + next; // sorts before all pages read so far
        c.put_job(c.make_job(early, 1));
        c.store.put(hosted::cancel_key(name + "0"), "1");
        if (truncates)
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

// Each node of the fleet is small and needs 6 s for the pages, longer than a first coordinator is
// allowed. If every node handed over after the same time, the jobs would never be read and never
// start.
TEST(unread_jobs, a_fleet_of_small_nodes_reads_the_jobs)
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
            faulty["n" + std::to_string(c.last_node + 1)] = {hosted::job_prefix, 0, 0ms, 1s};
            c.add_node();
        }
        CHECK(all_end(name, 18, 30s));
        end_all();
    }
    STRCMP_EQUAL("", c.breaches().c_str());
}

// Neither of two nodes can read the jobs for a minute. With unlimited handovers, leadership would
// change every second, with gaps in which no node renews the runners' leases, and healthy tasks
// would end. Once the pages arrive, the jobs run, each once.
TEST(unread_jobs, two_nodes_that_cannot_read_hand_over_rarely)
{
    auto& first = begin(3);
    start_long_running(3);
    faulty["n2"] = {hosted::job_prefix, 1, 1200ms};
    faulty["n3"] = faulty["n2"];
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
    faulty.clear();
    CHECK(all_end("a", 4, 8s));
    LONGS_EQUAL(0, c.hosts.expired_runs);
    LONGS_EQUAL(7, c.hosts.starts);
    STRCMP_EQUAL("", c.breaches().c_str());
}

namespace
{

/// A link that carries one answer after the other.
struct slow_link
{
    double bytes_per_second = 250'000;
    core::mono_time free_at;

    /// Calls \p deliver once the link has carried the answer.
    void carry(const hosted::context& n, std::size_t bytes, std::function<void()> deliver)
    {
        const auto now = n.time.now();
        const std::chrono::duration<double> time{static_cast<double>(bytes) / bytes_per_second};
        free_at = std::max(free_at, now) + std::chrono::ceil<core::micros>(time);
        n.time.after(std::chrono::ceil<core::millis>(free_at - now), std::move(deliver));
    }
};

} // namespace

// Pattern: a coordinator with a link of 2 Mbit/s takes over jobs of more than a megabyte. Guards
// against pages that hold up the renewals of its lease for longer than the lease lasts: no
// coordinator would ever read the jobs.
TEST(unread_jobs, renewals_pass_between_small_parts_on_a_slow_link)
{
    constexpr int jobs = 400;
    constexpr std::size_t job_bytes = 5000;
    const auto id_of = [](int i)
    {
        return std::to_string(i % 10) + "a" + std::to_string(i);
    };
    c.settings.link_mbps = 2;
    c.add_node();
    CHECK(c.has_leader());
    auto link = std::make_shared<slow_link>();
    for (int i = 0; i < jobs; ++i)
    {
        c.put_job(c.make_job(id_of(i), 1));
    }
    c.time.run_for(500ms);
    c.customize_node = [&](node& n)
    {
        n.ctx.store.range = [&n, link, real = n.ctx.store.range](
                                const auto& prefix, const auto& after, const page_answer& done)
        {
            real(prefix,
                after,
                [&n, link, done](const ports::page_read& page) {
                    link->carry(n.ctx, page.items.size() * job_bytes, [done, page] { done(page); });
                });
        };
        n.ctx.store.keep_alive = [&n, link, real = n.ctx.store.keep_alive](
                                     ports::lease_id id, const auto& done)
        {
            real(id,
                [&n, link, done](const ports::kv_lease& it)
                { link->carry(n.ctx, 200, [done, it] { done(it); }); });
        };
    };
    end_all();
    c.hosts.add("p");
    c.add_node();
    const auto all_done = [&]
    {
        int n = 0;
        for (int i = 0; i < jobs; ++i)
        {
            n += c.state_of(id_of(i)) == job_state::completed ? 1 : 0;
        }
        return n == jobs;
    };
    CHECK(c.time.run_until(all_done, 60s));
    LONGS_EQUAL(0, lines("leadership_lost"));
    STRCMP_EQUAL("", c.breaches().c_str());
}
