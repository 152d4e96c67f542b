#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

/// What a node decides from another's state that is older than it looks.
TEST_GROUP(aged_state)
{
    cluster c;

    std::string wave_status() const
    {
        const auto* const it = c.store.find("wave-status/1");
        return it == nullptr ? "" : it->value;
    }
};

// Operators ask for a wave over two machines, one of which is new. The service that lists machines
// refuses the owner for a while, so its list is from before the new one. The other machine's
// maintenance begins; taken for one that has left, the new one is not waited for, and the operators
// read that the wave is completed.
TEST(aged_state, a_machine_is_not_gone_by_a_list_older_than_its_wave)
{
    bool refused = false;
    c.plant = [&](node& n)
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
