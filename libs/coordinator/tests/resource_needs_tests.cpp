#include "coordinator/rebalance.hpp"
#include "coordinator/resource_needs.hpp"
#include "fleet_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

namespace
{

using workflow::resources;

constexpr resources usual_host{32'000, 131'072, 0};
constexpr resources small_host{16'000, 65'536, 0};
constexpr resources gpu_host{32'000, 131'072, 4};

pool_need make_need(std::vector<task_group> long_running, std::vector<task_group> batch)
{
    pool_need out;
    out.long_running_tasks = std::move(long_running);
    out.batch_tasks = std::move(batch);
    for (const auto& it : out.long_running_tasks)
    {
        out.long_running += it.each * static_cast<std::int64_t>(it.tasks);
    }
    for (const auto& it : out.batch_tasks)
    {
        out.batch += it.each * static_cast<std::int64_t>(it.tasks);
    }
    return out;
}

resources capacity(std::int64_t cpu, std::int64_t memory_mb)
{
    return {cpu, memory_mb, 0};
}

} // namespace

TEST_GROUP(resource_needs)
{
    fleet_fixture w;
    coordinator::demand d;

    void setup() override
    {
        d.settings.margin = 1;
        d.settings.needs = need_rule::vector;
    }

    void add_host(const std::string& id, const std::string& pool, const resources& capacity)
    {
        w.add_host(id);
        w.f.hosts[id].pool = pool;
        w.f.hosts[id].capacity = capacity;
    }

    /// \return the number of hosts that pool p needs.
    int wanted()
    {
        return hosts_needed(
            pool_needs(w.f, d, w.now).at("p"), shapes_of_pool(collect_shapes(w.f), "p"));
    }
};

// Guards against a pool that is too small for work that another resource than cores bounds, so that
// tasks wait beside idle cores, and against a need without bound for tasks that no host can run.
TEST(resource_needs, hosts_are_counted_by_the_resource_that_binds)
{
    struct row
    {
        const char* name;
        pool_need need;
        host_shapes shapes;
        int hosts;
        resource_kind bound_by;
    };
    using enum resource_kind;
    const host_shapes usual{{{usual_host, 10}}, {usual_host}};
    const host_shapes with_gpus{{{gpu_host, 10}}, {gpu_host}};
    const host_shapes mixed{{{small_host, 4}, {usual_host, 4}}, {usual_host}};
    const host_shapes unknown = shapes_of_pool({}, "p");
    const row rows[] = {
        {"nothing", make_need({}, {}), usual, 0, cores},
        {"batch work bound by cores", make_need({}, {{{1000, 1024, 0}, 64}}), usual, 2, cores},
        {"batch work bound by memory", make_need({}, {{{1000, 8192, 0}, 64}}), usual, 4, memory},
        {"batch work bound by accelerators",
            make_need({}, {{{1000, 1024, 1}, 24}}),
            with_gpus,
            6,
            resource_kind::gpus},
        {"more than the pool has", make_need({}, {{{1000, 8192, 0}, 640}}), usual, 40, memory},
        {"memory in proportion to cores, no task known",
            []
            {
                pool_need n;
                n.batch = {64'000, 262'144, 0};
                return n;
            }(),
            usual,
            2,
            cores},
        {"long-running tasks bound by memory",
            make_need({{{2000, 30'000, 0}, 8}}, {}),
            usual,
            2,
            memory},
        {"long-running tasks larger than half a host",
            make_need({{{2000, 70'000, 0}, 6}}, {}),
            usual,
            6,
            memory},
        {"batch tasks larger than half a host",
            make_need({}, {{{17'000, 1024, 0}, 6}}),
            usual,
            6,
            cores},
        {"small tasks beside large ones",
            make_need({{{2000, 70'000, 0}, 4}}, {{{1000, 2048, 0}, 100}}),
            usual,
            4,
            memory},
        {"no memory beside large tasks",
            make_need({{{2000, 131'072, 0}, 2}}, {{{1000, 2048, 0}, 32}}),
            usual,
            3,
            memory},
        {"large tasks in two resources share hosts",
            make_need({{{20'000, 20'000, 0}, 4}, {{4000, 100'000, 0}, 4}}, {}),
            usual,
            4,
            memory},
        {"spread", make_need({{{1000, 1024, 0}, 7, 2}}, {}), usual, 4, cores},
        {"two spread steps share hosts",
            make_need({{{1000, 1024, 0}, 3, 1}, {{1000, 1024, 0}, 4, 1}}, {}),
            usual,
            4,
            cores},
        {"long-running tasks that fit on no host",
            make_need({{{1000, 200'000, 0}, 500, 1}}, {}),
            usual,
            0,
            cores},
        {"batch tasks that fit on no host",
            make_need({}, {{{1000, 1024, 1}, 5000}, {{1000, 1024, 0}, 32}}),
            usual,
            1,
            cores},
        {"hosts of different sizes, the small ones first",
            make_need({}, {{{1000, 1024, 0}, 80}}),
            mixed,
            5,
            cores},
        {"hosts of different sizes, tasks that fit on the large ones only",
            make_need({{{20'000, 1024, 0}, 3}}, {}),
            mixed,
            3,
            cores},
        {"no known capacity", make_need({}, {{{1000, 500'000, 9}, 64}}), unknown, 2, cores},
        {"no known capacity, long-running",
            make_need({{{20'000, 500'000, 0}, 3}}, {}),
            unknown,
            3,
            cores},
    };
    for (const auto& it : rows)
    {
        LONGS_EQUAL_TEXT(it.hosts, hosts_needed(it.need, it.shapes), it.name);
        CHECK_TEXT(it.bound_by == summarize_need(it.need, it.shapes).bound_by, it.name);
    }
}

// Guards against hosts that are counted for less than they can run, and tasks that are counted
// twice: a small number of hosts that suffices is found for any mix.
TEST(resource_needs, equal_tasks_are_counted_like_single_ones)
{
    const host_shapes usual{{{small_host, 3}, {usual_host, 5}}, {usual_host}};
    const resources sizes[] = {{9000, 20'000, 0}, {3000, 50'000, 0}, {1000, 1000, 0}};
    for (int tasks = 1; tasks < 40; ++tasks)
    {
        std::vector<task_group> grouped;
        std::vector<task_group> single;
        for (const auto& it : sizes)
        {
            grouped.push_back({it, static_cast<double>(tasks), 0});
            single.insert(single.end(), static_cast<std::size_t>(tasks), {it, 1, 0});
        }
        LONGS_EQUAL(hosts_needed(make_need(single, {}), usual),
            hosts_needed(make_need(grouped, {}), usual));
    }
}

TEST(resource_needs, the_batch_part_has_the_ratio_of_its_tasks)
{
    add_host("h1", "p", usual_host);
    auto s = make_step(8, 1000);
    s.need.memory_mb = 8192;
    s.need.gpus = 1;
    s.estimated_run_time = d.settings.horizon;
    w.accept_job(make_job("a", {s}));
    auto need = pool_needs(w.f, d, w.now).at("p");
    CHECK((need.batch == resources{8000, 65'536, 8}));
    d.settings.margin = 1.5;
    need = pool_needs(w.f, d, w.now).at("p");
    CHECK((need.batch == resources{12'000, 98'304, 12}));
    CHECK((need.batch_tasks == std::vector<task_group>{{s.need, 12, 0}}));
}

// Guards against a pool whose expected work has no memory because no task has arrived yet.
TEST(resource_needs, without_tasks_the_batch_part_has_the_ratio_of_the_hosts)
{
    add_host("h1", "p", usual_host);
    add_host("h2", "p", usual_host);
    record_arrival(d, "p", 100, w.now);
    const auto need = pool_needs(w.f, d, w.now).at("p");
    CHECK(need.batch.cpu > 0);
    DOUBLES_EQUAL(static_cast<double>(need.batch.cpu) * 131'072 / 32'000,
        static_cast<double>(need.batch.memory_mb),
        1);
}

TEST(resource_needs, long_running_tasks_are_counted_by_step)
{
    add_host("h1", "p", usual_host);
    auto s = make_step(4, 2000);
    s.need.memory_mb = 70'000;
    s.long_running = true;
    auto spread = make_step(5, 1000);
    spread.long_running = true;
    spread.max_per_host = 1;
    w.accept_job(make_job("a", {s, s, spread}));
    const auto need = pool_needs(w.f, d, w.now).at("p");
    CHECK((need.long_running == resources{21'000, 560'000, 0}));
    CHECK((need.batch == resources{}));
    CHECK(
        (need.long_running_tasks == std::vector<task_group>{{s.need, 8, 0}, {spread.need, 5, 1}}));
    LONGS_EQUAL(8, wanted());
}

// Guards against capacities of hosts that run no task of the pool, and against a fleet whose first
// host decides for all.
TEST(resource_needs, shapes_follow_the_hosts)
{
    struct row
    {
        const char* name;
        void (*change)(fleet&);
        int wanted;
    };
    const row rows[] = {
        {"equal hosts", [](fleet&) {}, 3},
        {"a host that comes back with another capacity",
            [](fleet& f) { f.hosts["h1"].capacity = small_host; },
            4},
        {"unknown capacity", [](fleet& f) { f.hosts["h1"].capacity = {}; }, 3},
        {"a small host that drains",
            [](fleet& f)
            {
                f.hosts["h1"].capacity = small_host;
                f.hosts["h1"].draining = true;
            },
            3},
        {"a small host that moves away",
            [](fleet& f)
            {
                f.hosts["h1"].capacity = small_host;
                f.hosts["h1"].availability = host_availability::closed_for_move;
            },
            3},
        {"no host of the pool is known, the median of the fleet is assumed",
            [](fleet& f)
            {
                for (auto& [id, h] : f.hosts)
                {
                    h.pool = "q";
                }
                f.hosts["h1"].capacity = capacity(1000, 100);
            },
            3},
        {"no capacity is known, memory does not bind",
            [](fleet& f)
            {
                for (auto& [id, h] : f.hosts)
                {
                    h.capacity = {};
                }
            },
            2},
    };
    for (const auto& it : rows)
    {
        fleet_fixture each;
        for (const auto* const id : {"h1", "h2", "h3", "h4"})
        {
            each.add_host(id);
            each.f.hosts[id].capacity = usual_host;
        }
        auto s = make_step(40, 1000);
        s.need.memory_mb = 9000; // 14 tasks on a host with 131,072 MB
        s.estimated_run_time = d.settings.horizon;
        each.accept_job(make_job("a", {s}));
        it.change(each.f);
        const auto need = pool_needs(each.f, d, each.now).at("p");
        LONGS_EQUAL_TEXT(
            it.wanted, hosts_needed(need, shapes_of_pool(collect_shapes(each.f), "p")), it.name);
    }
}

// The same load under both rules: with cores the pool gets two hosts, and most tasks wait for
// memory.
TEST(resource_needs, the_rule_determines_the_moves)
{
    for (const bool vector : {false, true})
    {
        fleet_fixture each;
        rebalancer r;
        r.settings.spare_hosts = 0;
        machine_table list;
        list.known = true;
        for (const auto* const id : {"1", "2"})
        {
            each.add_host(id);
            each.f.hosts[id].capacity = usual_host;
            list.machines[id] = {id, "p", "z", id, ports::machine_state::up};
        }
        for (const auto* const id : {"3", "4", "5", "6", "7", "8"})
        {
            list.machines[id] = {id, "off", "z", "", ports::machine_state::up};
        }
        auto s = make_step(40, 1000);
        s.need.memory_mb = 16'384;
        s.estimated_run_time = d.settings.horizon;
        each.accept_job(make_job("a", {s}));
        d.settings.needs = vector ? need_rule::vector : need_rule::cores;
        const auto moves = plan_moves(
            each.f, r, d, list, {{"p", false}, {"off", true}}, {}, each.now, each.events);
        LONGS_EQUAL(vector ? 3 : 0, moves.size());
        LONGS_EQUAL(655'360, r.needs.at("p").total.memory_mb);
        const std::string expected =
            vector ? "wanted=5 have=2 retained=2 cores=40 memory_mb=655360 gpus=0 bound_by=memory"
                   : "wanted=2 have=2 retained=2 cores=40 memory_mb=655360 gpus=0 bound_by=cores";
        STRCMP_EQUAL(expected.c_str(), each.events.front().reason.c_str());
    }
}
