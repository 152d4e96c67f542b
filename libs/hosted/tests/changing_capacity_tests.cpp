#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

namespace
{

/// Three hosts with more work than there is room for.
struct flooded_world
{
    cluster c;
    int jobs = 0;

    flooded_world()
    {
        for (int i = 0; i < 3; ++i)
        {
            c.hosts.add("p");
        }
        c.add_node();
        c.add_node();
        CHECK(c.has_leader());
        c.time.run_for(1s);
    }

    void flood(core::millis how_long)
    {
        const auto end = c.time.now() + how_long;
        while (c.time.now() < end)
        {
            c.put_job(c.make_job("a" + std::to_string(++jobs), 8));
            c.time.run_for(100ms);
        }
    }

    std::size_t unfinished() const
    {
        std::size_t n = 0;
        for (int i = 1; i <= jobs; ++i)
        {
            n += c.state_of("a" + std::to_string(i)) == job_state::completed ? 0 : 1;
        }
        return n;
    }
};

} // namespace

TEST_GROUP(changing_room){};

// Guards against starts beyond a room that has shrunk under what runs there, also under a new
// owner, and against a host that is left idle once its room has grown again.
TEST(changing_room, no_start_is_beyond_a_room_that_has_shrunk)
{
    constexpr std::int64_t small = 2000;
    constexpr std::int64_t usual = 8000;
    for (const bool owner_dies : {false, true})
    {
        flooded_world w;
        w.flood(1s);
        for (const auto* const it : {"m1", "m2", "m3"})
        {
            w.c.hosts.resize(it, small);
        }
        if (owner_dies)
        {
            w.c.leader()->process.dead = true;
        }
        w.flood(8s);
        CHECK(w.c.running() <= 3 * small / 1000);
        w.c.hosts.resize("m1", usual);
        const auto is_full = [&]
        {
            return w.c.running() == (usual + 2 * small) / 1000;
        };
        CHECK(w.c.time.run_until(is_full, 1s));
        CHECK(w.c.time.run_until([&] { return w.unfinished() == 0; }, 120s));
        STRCMP_EQUAL("", w.c.breaches().c_str());
    }
}
