#include "coordinator/packing.hpp"
#include "fleet_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <random>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

namespace
{

using workflow::resources;

constexpr resources usual_host{32'000, 131'072, 0};

workflow::step make_task(const resources& need)
{
    auto s = make_step(1, 0);
    s.need = need;
    return s;
}

/// Result of placing a mix of tasks.
struct packed
{
    int started = 0;
    int stranded_hosts =
        0; ///< with at least a quarter of their cores idle and no memory for a task
};

/// Starts tasks with much and with little memory as they arrive, and ends none.
packed pack_mix(packing_rule rule, std::uint64_t seed, int per_host)
{
    constexpr int hosts = 20;
    constexpr std::int64_t smallest_memory = 2048;
    fleet_fixture w;
    w.f.settings.placement.packing = rule;
    w.f.settings.placement.jobs = job_order::first_come;
    for (int i = 0; i < hosts; ++i)
    {
        const auto id = "h" + std::to_string(i);
        w.add_host(id);
        w.f.hosts[id].capacity = usual_host;
    }
    std::mt19937_64 random(seed);
    packed out;
    for (int i = 0; i < per_host * hosts; ++i)
    {
        const bool large = random() % 3 == 0;
        const auto cpu = static_cast<std::int64_t>(1000 + random() % 3000);
        const auto memory = large ? static_cast<std::int64_t>(16'000 + random() % 16'000)
                                  : static_cast<std::int64_t>(smallest_memory + random() % 2048);
        auto j = make_job("j" + std::to_string(i), {make_task({cpu, memory, 0})});
        j.accepted_unix_ms += i;
        w.accept_job(std::move(j));
        out.started += static_cast<int>(w.plan_next(wall_ms + i).starts.size());
    }
    for (const auto& [id, h] : w.f.hosts)
    {
        CHECK(h.used.cpu <= h.capacity.cpu && h.used.memory_mb <= h.capacity.memory_mb);
        const bool idle_cores = h.used.cpu * 4 <= h.capacity.cpu * 3;
        const bool no_memory = h.capacity.memory_mb - h.used.memory_mb < smallest_memory;
        out.stranded_hosts += idle_cores && no_memory ? 1 : 0;
    }
    return out;
}

} // namespace

TEST_GROUP(packing){};

TEST(packing, the_rule_chooses_the_host)
{
    struct row
    {
        const char* name;
        resources used_1;
        resources used_2;
        resources need;
        bool long_running;
        const char* cores; ///< the chosen host by packing rule
        const char* dominant;
        const char* best_fit;
    };
    const row rows[] = {
        {"memory is the fullest resource of one host",
            {8000, 98'304, 0},
            {12'000, 16'384, 0},
            {1000, 4096, 0},
            false,
            "h2",
            "h1",
            "h2"},
        {"a task with much memory beside one with many cores",
            {8000, 98'304, 0},
            {20'000, 16'384, 0},
            {1000, 30'000, 0},
            false,
            "h2",
            "h1",
            "h2"},
        {"a task with many cores beside one with much memory",
            {4000, 98'304, 0},
            {20'000, 16'384, 0},
            {12'000, 4096, 0},
            false,
            "h2",
            "h2",
            "h1"},
        {"equally even, the fuller host",
            {8000, 32'768, 0},
            {16'000, 65'536, 0},
            {1000, 4096, 0},
            false,
            "h2",
            "h2",
            "h2"},
        {"a long-running task goes to the host with the smallest dominant share",
            {8000, 98'304, 0},
            {12'000, 16'384, 0},
            {1000, 4096, 0},
            true,
            "h1",
            "h2",
            "h2"},
        {"a host without the memory is never chosen",
            {8000, 130'000, 0},
            {0, 0, 0},
            {1000, 4096, 0},
            false,
            "h2",
            "h2",
            "h2"},
    };
    for (const auto& it : rows)
    {
        for (const auto& [rule, expected] : {std::pair{packing_rule::cores, it.cores},
                 std::pair{packing_rule::dominant, it.dominant},
                 std::pair{packing_rule::best_fit, it.best_fit}})
        {
            fleet_fixture w;
            w.f.settings.placement.packing = rule;
            w.add_host("h1");
            w.add_host("h2");
            w.f.hosts["h1"].capacity = usual_host;
            w.f.hosts["h2"].capacity = usual_host;
            w.f.hosts["h1"].used = it.used_1;
            w.f.hosts["h2"].used = it.used_2;
            auto s = make_task(it.need);
            s.long_running = it.long_running;
            w.accept_job(make_job("a", {s}));
            const auto starts = w.plan_next().starts;
            LONGS_EQUAL_TEXT(1, starts.size(), it.name);
            STRCMP_EQUAL_TEXT(expected, starts[0].host.id.c_str(), it.name);
        }
    }
}

// Guards against accelerators, or memory, of which a host has none and that make every host look
// uneven.
TEST(packing, a_resource_that_the_host_lacks_is_left_out)
{
    host_entry h;
    h.capacity = {1000, 1000, 0};
    h.used = {200, 300, 0};
    const resources need{100, 100, 0};
    const auto even = cost_of_host(h, need, true, packing_rule::best_fit);
    DOUBLES_EQUAL(0.1, even.first, 1e-9);
    DOUBLES_EQUAL(-0.4, even.second, 1e-9);
    h.capacity.gpus = 4;
    DOUBLES_EQUAL(0.4, cost_of_host(h, need, true, packing_rule::best_fit).first, 1e-9);
    h.capacity = {};
    DOUBLES_EQUAL(0, cost_of_host(h, need, true, packing_rule::dominant).first, 1e-9);
}

// Guards against hosts with idle cores and no memory, on which no task can start. With a mix that
// the hosts have capacity for, none is left so; with more, more tasks start.
TEST(packing, a_mix_of_tasks_with_much_and_little_memory)
{
    constexpr int below_capacity = 10; // tasks per host; about 13 use all cores
    constexpr int above_capacity = 13;
    int stranded_by_cores = 0;
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        stranded_by_cores += pack_mix(packing_rule::cores, seed, below_capacity).stranded_hosts;
        LONGS_EQUAL(0, pack_mix(packing_rule::best_fit, seed, below_capacity).stranded_hosts);
        const int by_cores = pack_mix(packing_rule::cores, seed, above_capacity).started;
        const int by_shares = pack_mix(packing_rule::dominant, seed, above_capacity).started;
        const int by_fit = pack_mix(packing_rule::best_fit, seed, above_capacity).started;
        CHECK(by_cores > 0);
        CHECK(std::max(by_shares, by_fit) >= by_cores);
    }
    CHECK(stranded_by_cores > 0); // the mix has the conflict that the rules resolve
}
