#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

namespace
{

/// Seen on 349 hosts with a quarter to half a core; this is as much for each host.
constexpr int hosts_of_the_fleet = 60;
constexpr double small_share = 0.05;

/// A fleet whose owner has a share of a core. Nothing fails but its own pace.
struct busy_world
{
    cluster c;
    std::vector<std::string> jobs;

    explicit busy_world(double share, int hosts = hosts_of_the_fleet)
    {
        c.share = share;
        c.hosts.told_counts_after = 100ms;
        for (int i = 0; i < hosts; ++i)
        {
            c.hosts.add("p");
        }
        c.add_node();
        c.add_node();
        c.has_leader();
        c.time.run_for(3s);
    }

    /// Hands in \p jobs_more jobs at once.
    void wave(int jobs_more, int tasks, int steps)
    {
        for (int i = 0; i < jobs_more; ++i)
        {
            jobs.push_back("a" + std::to_string(jobs.size()));
            c.put_job(c.make_job(jobs.back(), tasks, steps));
        }
    }

    std::size_t unfinished() const
    {
        return static_cast<std::size_t>(std::count_if(jobs.begin(),
            jobs.end(),
            [this](const auto& it) { return !workflow::is_final(c.state_of(it)); }));
    }

    int said(const std::string& what) const
    {
        int n = 0;
        for (const auto& it : c.nodes)
        {
            for (const auto& line : it.log.lines)
            {
                n += line.find(what) != std::string::npos ? 1 : 0;
            }
        }
        return n;
    }
};

} // namespace

TEST_GROUP(lagging_owner){};

// Callers hand in more work than the owner's share of a core can start. All runners are well and
// answer at once. Renewals of the owner's own lease and polls wait behind hundreds of starts, and
// answers that lie unread count as silence: ownership changes again and again, no owner extends the
// runners' leases in time, and their runs end.
TEST(lagging_owner, a_wave_of_work_lapses_no_lease)
{
    busy_world w(small_share);
    w.c.hosts.behaviour.run_time = 3s;
    for (int i = 0; i < 5; ++i)
    {
        w.wave(12, 40, 1);
        w.c.time.run_for(1s);
    }
    w.c.time.run_until([&] { return w.unfinished() == 0; }, 60s);
    STRCMP_EQUAL("", w.c.breaches().c_str());
    LONGS_EQUAL(0, w.said("leadership_lost"));
    LONGS_EQUAL(0, w.c.hosts.lapsed);
    LONGS_EQUAL(0, w.unfinished());
}

// Writes of progress get no answer for seconds, so ends pile up unacknowledged at the runners, more
// than one answer lists. A run whose end is beyond the list is neither among the running nor among
// the ended: taken for one that never was, its task starts again, and its end counts later.
TEST(lagging_owner, ends_beyond_the_list_are_not_taken_for_missing_runs)
{
    cluster c;
    c.hosts.behaviour.run_time = 20ms;
    c.hosts.add("p");
    c.hosts.add("p");
    c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(1s);
    c.store.answers_to_lose = 1000;
    for (int i = 0; i < 40; ++i)
    {
        c.put_job(c.make_job("a" + std::to_string(i), 100));
    }
    c.time.run_for(6s);
    c.store.answers_to_lose = 0;
    for (int i = 0; i < 40; ++i)
    {
        CHECK(c.ends("a" + std::to_string(i), job_state::completed, 20s));
    }
    STRCMP_EQUAL("", c.breaches().substr(0, 300).c_str());
    LONGS_EQUAL(4000, c.hosts.starts);
}
