#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

/// What a node decides from another's state that is older than it looks.
TEST_GROUP(aged_state)
{
    std::map<std::string, double> told; ///< by node; the nodes tell at their end, too
    cluster c;

    std::string wave_status() const
    {
        const auto* const it = c.store.find("wave-status/1");
        return it == nullptr ? "" : it->value;
    }

    /// \return a rate of pool p in the coordinator's record of the demand.
    double recorded(const char* rate) const
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

// Operators ask for a wave over two machines, one of which is new. The service that lists machines
// refuses the owner for a while, so its list is from before the new one. The other machine's
// maintenance begins; taken for one that has left, the new one is not waited for, and the operators
// read that the wave is completed.
TEST(aged_state, a_machine_is_not_gone_by_a_list_older_than_its_wave)
{
    bool refused = false;
    c.customize_node = [&](node& n)
    {
        n.ctx.machines.list = [&, real = n.ctx.machines.list](const auto& done)
        {
            const bool now_refused = refused;
            real([now_refused, done](const ports::machine_list& it)
                { done(now_refused ? ports::machine_list{} : it); });
        };
    };
    c.hosts.add("p");
    auto& n = c.add_node();
    CHECK(c.has_leader());
    c.time.run_for(3s);
    refused = true;
    c.hosts.add("p");
    const auto life = c.hosts.machines.at("m2").runner;
    n.driver->set_waves({{1, {"m1", "m2"}, 60s, 2}});
    c.time.run_for(8s);
    STRCMP_EQUAL("running", wave_status().c_str());
    refused = false;
    CHECK(c.time.run_until([this] { return wave_status() == "completed"; }, 20s));
    const auto& m2 = c.hosts.machines.at("m2");
    CHECK(!m2.up || m2.runner != life); // its maintenance has begun
}

// The coordinator's time of day is seconds ahead, and it dies amid a busy time. Its record of the
// demand so tells of arrivals until a time that is yet to come: its successor takes each job that
// is accepted until then for counted, sees no demand, and lets the pool's hosts go to rest.
TEST(aged_state, jobs_after_a_record_from_the_future_count_as_demand)
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
    auto* const old = c.leader();
    ahead = old;
    put_jobs("a", 4);
    c.time.run_for(2s);
    old->process.dead = true;
    CHECK(c.time.run_until([&] { return c.leader() != nullptr && c.leader() != old; }, 8s));
    c.time.run_for(3s);
    put_jobs("b", 8);
    c.time.run_for(700ms);
    // 8 jobs, and the time constant of the rate is 800 ms.
    CHECK(recorded("jobs") > 3);
}

// The coordinator's view of the jobs lags, as in a long burst; its records stay fresh, and name
// the time of their writing. It dies. To its successor the jobs that it had not seen would pass for
// counted, since they were accepted before the record: most of the burst's demand is lost.
TEST(aged_state, jobs_that_the_coordinator_before_had_not_seen_count_as_demand)
{
    const node* blind = nullptr;
    c.customize_node = [&](node& n)
    {
        n.ctx.store.watch = [&, real = n.ctx.store.watch](
                                const std::string& prefix, auto after, auto wait, const auto& done)
        {
            if (blind != &n || prefix != hosted::job_prefix)
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
    auto* const old = c.leader();
    blind = old;
    put_jobs("b", 1); // ends the watch that waits
    c.time.run_for(1200ms);
    const auto before = recorded("slow");
    put_jobs("c", 8);
    c.time.run_for(3s);
    CHECK(recorded("slow") < before);
    old->process.dead = true;
    CHECK(c.time.run_until([&] { return c.leader() != nullptr && c.leader() != old; }, 8s));
    c.time.run_for(1s);
    CHECK(recorded("slow") > 3 * before);
    CHECK(recorded("slow") < 5 * before); // none twice
}

// One entry in the list of runners is damaged, and the coordinator's measure of such entries says
// so. It loses the lease, and the entry is mended. The measure of the node that coordinates no more
// would stand at the old number for ever, and the alert on it with it.
TEST(aged_state, a_former_coordinator_tells_of_no_damaged_entries)
{
    c.customize_node = [&](node& n)
    {
        n.ctx.tel.gauge = [&](const std::string& name, const ports::metric_labels&, double v)
        {
            if (name == "camphorhitch_runner_entries_unusable")
            {
                told[n.ctx.member] = v;
            }
        };
    };
    c.hosts.add("p");
    c.add_node();
    c.add_node();
    c.store.put("runner/broken", "{");
    CHECK(c.has_leader());
    c.time.run_for(1s);
    auto* const old = c.leader();
    DOUBLES_EQUAL(1, told[old->ctx.member], 0);
    for (int i = 0; i < 20 && c.leader() == old; ++i)
    {
        c.store.revoke(hosted::leader_key); // either node may win then
        c.time.run_for(3s);
    }
    CHECK(c.leader() != nullptr && c.leader() != old);
    c.store.remove("runner/broken");
    c.time.run_for(1s);
    for (const auto& [member, n] : told)
    {
        DOUBLES_EQUAL_TEXT(0, n, 0, member.c_str());
    }
}
