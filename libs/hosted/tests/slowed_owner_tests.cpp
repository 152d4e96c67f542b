#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

namespace
{

/// As much of a core as a small entry host has.
constexpr double share_of_a_node = 0.25;
constexpr double times_slower = 5;

/// Nodes that have a share of a core each, and callers that hand in jobs at a steady pace.
struct slowed_world
{
    struct handed_in
    {
        std::string id;
        core::mono_time at;
    };

    cluster c;
    std::vector<handed_in> waiting;
    int count = 0;
    core::millis longest{0}; ///< from a job's acceptance to its end

    explicit slowed_world(int nodes)
    {
        c.share = share_of_a_node;
        c.hosts.behaviour.run_time = 300ms;
        for (int i = 0; i < 80; ++i)
        {
            c.hosts.add("p");
        }
        for (int i = 0; i < nodes; ++i)
        {
            c.add_node();
        }
        c.has_leader();
        c.time.run_for(3s);
    }

    void look()
    {
        const auto now = c.time.now();
        const auto is_done = [&](const handed_in& it)
        {
            const bool done = workflow::is_final(c.state_of(it.id));
            longest = std::max(longest, std::chrono::ceil<core::millis>(now - it.at));
            return done;
        };
        std::erase_if(waiting, is_done);
    }

    /// Each tenth of a second a job of ten tasks.
    void serve(core::millis how_long)
    {
        constexpr core::millis each{100};
        const auto until = c.time.now() + how_long;
        while (c.time.now() < until)
        {
            waiting.push_back({"a" + std::to_string(++count), c.time.now()});
            c.put_job(c.make_job(waiting.back().id, 10));
            c.time.run_for(each);
            look();
        }
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

TEST_GROUP(slowed_owner){};

// The machine of the node that coordinates turns five times slower, and the other nodes are well.
// Its lease is renewed before all else, so it keeps the lead: it reads jobs seconds after their
// acceptance, orders a fraction of the starts, and callers wait beside nodes that could serve them.
TEST(slowed_owner, jobs_do_not_wait_for_a_slowed_node_beside_sound_ones)
{
    slowed_world w(5);
    w.serve(3s);
    CHECK(w.longest < 1s);
    w.c.leader()->cpu->share = share_of_a_node / times_slower;
    w.serve(4s); // until the delay is told from a passing one, and a successor has read the jobs
    w.longest = 0ms;
    w.serve(8s);
    CHECK(w.longest < 3s);
    LONGS_EQUAL(0, w.c.hosts.lapsed);
    STRCMP_EQUAL("", w.c.breaches().c_str());
}
