#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

/// Decisions of a node that are based on outdated state.
TEST_GROUP(outdated_state)
{
    std::map<std::string, double> reported; ///< by node; the nodes report at their end as well
    cluster c;

    std::string wave_status() const
    {
        const auto* const it = c.store.find("wave-status/1");
        return it == nullptr ? "" : it->value;
    }

    /// \return a rate of pool p in the coordinator's demand record.
    double recorded_rate(const char* rate) const
    {
        const auto* const it = c.store.find(hosted::demand_key);
        return it == nullptr
                   ? 0
                   : nlohmann::json::parse(it->value).at("pools").at("p").at(rate).get<double>();
    }

    void put_jobs(const std::string& name, int n)
    {
        for (int i = 0; i < n; ++i)
        {
            c.put_job(c.make_job(name + std::to_string(i), 1));
        }
    }
};

// Operators request a wave for two machines, one of which is new. The service that lists the
// machines refuses the coordinator's calls for a while, so the coordinator's list is older than the
// new machine. The maintenance of the other machine begins. If the coordinator treated the new
// machine as gone, it would not wait for it and would report the wave as completed.
TEST(outdated_state, a_list_older_than_the_wave_does_not_show_a_machine_gone)
{
    bool list_refused = false;
    c.customize_node = [&](node& n)
    {
        n.ctx.machines.list = [&, real = n.ctx.machines.list](const auto& done)
        {
            const bool refused_now = list_refused;
            real([refused_now, done](const ports::machine_list& it)
                { done(refused_now ? ports::machine_list{} : it); });
        };
    };
    c.hosts.add("p");
    auto& n = c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(3s);
    list_refused = true;
    c.hosts.add("p");
    const auto incarnation = c.hosts.machines.at("m2").runner;
    n.driver->set_waves({{1, {"m1", "m2"}, 60s, 2}});
    c.time.run_for(8s);
    STRCMP_EQUAL("running", wave_status().c_str());
    list_refused = false;
    CHECK(c.time.run_until([this] { return wave_status() == "completed"; }, 20s));
    const auto& m2 = c.hosts.machines.at("m2");
    CHECK(!m2.up || m2.runner != incarnation); // the maintenance of m2 has begun
}

// The coordinator's wall clock is 20 s ahead, and the coordinator dies during a busy period. Its
// demand record therefore claims to include arrivals up to a time in the future. A successor that
// relied on that time would treat each job accepted until then as included, see no demand, and send
// the pool's hosts to standby.
TEST(outdated_state, jobs_after_a_record_from_the_future_count_as_demand)
{
    const node* ahead = nullptr;
    c.customize_node = [&](node& n)
    {
        n.ctx.time.wall_now = [&, real = n.ctx.time.wall_now]
        {
            return real() + (ahead == &n ? 20s : 0s);
        };
    };
    c.hosts.behaviour.run_time = 3s;
    c.hosts.add("p");
    c.hosts.add("p");
    c.add_node();
    c.add_node();
    CHECK(c.has_leader());
    auto* const previous = c.leader();
    ahead = previous;
    put_jobs("a", 4);
    c.time.run_for(2s);
    previous->process.dead = true;
    CHECK(c.time.run_until([&] { return c.leader() != nullptr && c.leader() != previous; }, 8s));
    c.time.run_for(3s);
    put_jobs("b", 8);
    c.time.run_for(700ms);
    // There are 8 jobs, and the time constant of the rate is 800 ms.
    CHECK(recorded_rate("jobs") > 3);
}

// The coordinator's view of the jobs lags, as during a long burst, but its records are fresh and
// contain the time of their writing. The coordinator dies. A successor that relied on that time
// would treat the jobs that the coordinator had not seen as included, because they were accepted
// before the record, and most of the burst's demand would be lost.
TEST(outdated_state, jobs_unseen_by_the_previous_coordinator_count_as_demand)
{
    const node* not_watching = nullptr;
    c.customize_node = [&](node& n)
    {
        n.ctx.store.watch = [&, real = n.ctx.store.watch](
                                const std::string& prefix, auto after, auto wait, const auto& done)
        {
            if (not_watching != &n || prefix != hosted::job_prefix)
            {
                real(prefix, after, wait, done);
            }
        };
    };
    c.hosts.behaviour.run_time = 20s;
    c.hosts.add("p");
    c.hosts.add("p");
    c.add_node();
    c.add_node();
    CHECK(c.has_leader());
    put_jobs("a", 1);
    c.time.run_for(2s);
    auto* const previous = c.leader();
    not_watching = previous;
    put_jobs("b", 1); // ends the open watch
    c.time.run_for(1200ms);
    const auto before = recorded_rate("slow");
    put_jobs("c", 8);
    c.time.run_for(3s);
    CHECK(recorded_rate("slow") < before);
    previous->process.dead = true;
    CHECK(c.time.run_until([&] { return c.leader() != nullptr && c.leader() != previous; }, 8s));
    c.time.run_for(1s);
    CHECK(recorded_rate("slow") > 3 * before);
    CHECK(recorded_rate("slow") < 5 * before); // no job is counted twice
}

// One entry in the list of runners is damaged, and the coordinator's metric of such entries reports
// it. The coordinator loses the lease, and the entry is repaired. If the metric of the previous
// coordinator kept its value, the alert on the metric would never clear.
TEST(outdated_state, a_previous_coordinator_reports_no_damaged_entries)
{
    c.customize_node = [&](node& n)
    {
        n.ctx.tel.gauge = [&](const std::string& name, const ports::metric_labels&, double v)
        {
            if (name == "camphorhitch_runner_entries_unusable")
            {
                reported[n.ctx.member] = v;
            }
        };
    };
    c.hosts.add("p");
    c.add_node();
    c.add_node();
    c.store.put("runner/broken", "{");
    CHECK(c.has_leader());
    c.time.run_for(1s);
    auto* const previous = c.leader();
    DOUBLES_EQUAL(1, reported[previous->ctx.member], 0);
    for (int i = 0; i < 20 && c.leader() == previous; ++i)
    {
        c.store.revoke(hosted::leader_key); // either node may become the coordinator
        c.time.run_for(3s);
    }
    CHECK(c.leader() != nullptr && c.leader() != previous);
    c.store.remove("runner/broken");
    c.time.run_for(1s);
    for (const auto& [member, n] : reported)
    {
        DOUBLES_EQUAL_TEXT(0, n, 0, member.c_str());
    }
}
