#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

namespace
{

/// Three hosts with more work than they have capacity for.
struct overloaded_fixture
{
    cluster c;
    int jobs = 0;

    overloaded_fixture()
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

    void submit_jobs(core::millis how_long)
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

TEST_GROUP(changing_capacity){};

// Guards against starts beyond a capacity that was reduced below what runs on the host, also under
// a new coordinator, and against a host that stays idle after its capacity has grown again.
TEST(changing_capacity, no_start_exceeds_a_reduced_capacity)
{
    constexpr std::int64_t small = 2000;
    constexpr std::int64_t usual = 8000;
    for (const bool coordinator_dies : {false, true})
    {
        overloaded_fixture f;
        f.submit_jobs(1s);
        for (const auto* const it : {"m1", "m2", "m3"})
        {
            f.c.hosts.resize(it, small);
        }
        if (coordinator_dies)
        {
            f.c.leader()->process.dead = true;
        }
        f.submit_jobs(8s);
        CHECK(f.c.running() <= 3 * small / 1000);
        f.c.hosts.resize("m1", usual);
        const auto is_full = [&]
        {
            return f.c.running() == (usual + 2 * small) / 1000;
        };
        CHECK(f.c.time.run_until(is_full, 1s));
        CHECK(f.c.time.run_until([&] { return f.unfinished() == 0; }, 120s));
        STRCMP_EQUAL("", f.c.breaches().c_str());
    }
}
