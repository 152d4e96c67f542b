#include "disabled_safeguards.hpp"
#include "hosted_fakes/relays.hpp"
#include "random_simulation.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using namespace camphorhitch::hosted_tests;
using workflow::job_state;

namespace
{

/// Ways in which a coordinator's term ends or its orders fail.
enum class change
{
    none,
    dies,
    key_revoked, ///< the coordinator continues until it learns of the loss
    stalls,      ///< the node resumes beside its successor
    store_cut,
    hands_over,
    relay_stalls ///< another node stalls while it holds orders to relay
};

constexpr core::name_table<change, 7> change_names{{
    {change::none, "none"},
    {change::dies, "dies"},
    {change::key_revoked, "key revoked"},
    {change::stalls, "stands still"},
    {change::store_cut, "store cut"},
    {change::hands_over, "hands over"},
    {change::relay_stalls, "relay stands still"},
}};

struct change_plan
{
    core::millis unreachable_for{0}; ///< how long a runner is cut off after its task has started
    change first = change::none;
    core::millis first_change_at{0};
    change second = change::none;
    core::millis second_change_after{0};
    /// Number of delayed writes of the host record or of progress after the cut.
    int writes_late = 0;
    core::millis write_delay{0};
};

constexpr core::millis outage_time{3000};

/// A task runs on a runner that is cut off, and the coordinator changes during the runner's lease.
/// Orders are lost or late, and so are writes of the host record.
struct coordinator_change_simulation
{
    cluster c;

    coordinator_change_simulation(std::uint64_t seed, void (*prepare)(cluster&)) : c(seed)
    {
        if (prepare != nullptr)
        {
            prepare(c);
        }
        c.hosts.accepts_starts_under_any_lease = true;
        c.hosts.behaviour.run_time = 6s;
        for (int i = 0; i < 5; ++i)
        {
            c.hosts.add("p");
        }
        for (int i = 0; i < 4; ++i)
        {
            c.add_node();
        }
        c.has_leader();
        c.time.run_for(1s);
    }

    /// \return a machine with a running task, or any machine if all starts are late.
    std::string busy_machine() const
    {
        for (const auto& [name, h] : c.hosts.machines)
        {
            if (!h.runs.empty())
            {
                return name;
            }
        }
        return "m1";
    }

    void pause(node& n)
    {
        n.process.paused = true;
        c.time.after(outage_time, [this, &n] { c.time.resume(n.process); });
    }

    void end_term(change how)
    {
        auto* const n = c.leader();
        if (n == nullptr)
        {
            return;
        }
        switch (how)
        {
        case change::none:
            break;
        case change::dies:
            n->process.dead = true;
            break;
        case change::key_revoked:
            c.store.revoke(hosted::leader_key);
            break;
        case change::stalls:
            pause(*n);
            break;
        case change::store_cut:
            n->process.store_cut = true;
            c.time.after(outage_time, [n] { n->process.store_cut = false; });
            break;
        case change::hands_over:
            n->lead->hand_over("test");
            break;
        case change::relay_stalls:
            for (auto& it : c.nodes)
            {
                if (&it != n && !it.process.dead && !it.process.paused)
                {
                    pause(it);
                    break;
                }
            }
            break;
        }
    }

    std::string simulate(const change_plan& p)
    {
        c.hosts.late_order_share = 0.5;
        c.hosts.late_poll_share = 0.2;
        c.hosts.slow_answer_share = 0.2;
        c.put_job(c.make_job_on_each("a", 3)); // with capacity for each task to start elsewhere
        c.time.run_for(50ms);
        c.hosts.cut(busy_machine(), p.unreachable_for);
        c.time.after(p.first_change_at, [this, p] { end_term(p.first); });
        c.time.after(p.first_change_at + p.second_change_after, [this, p] { end_term(p.second); });
        c.store.writes_to_delay = p.writes_late;
        c.store.delayed_write_time = p.write_delay;
        c.time.run_for(6s);
        c.hosts.late_order_share = 0;
        c.hosts.late_poll_share = 0;
        c.hosts.slow_answer_share = 0;
        const bool ended = c.ends("a", job_state::completed, 60s);
        return c.breaches() + (ended ? "" : "the job did not end");
    }
};

std::string describe(const change_plan& p)
{
    return "runner unreachable for " + std::to_string(p.unreachable_for.count()) + " ms, " +
           std::string{core::name_of(change_names, p.first)} + " at " +
           std::to_string(p.first_change_at.count()) + " ms, " +
           std::string{core::name_of(change_names, p.second)} + " " +
           std::to_string(p.second_change_after.count()) + " ms later: ";
}

/// Simulates two changes of the coordinator for each combination of outage length, change times
/// within a lease, and kinds of change.
/// \return the first problem, or an empty string; \p simulations counts the runs.
std::string simulate_all(void (*prepare)(cluster&), int& simulations)
{
    const auto first_seed = read_number("CAMPHORHITCH_SEED", 1);
    for (const auto unreachable_for : {900ms, 2400ms, 3600ms, 5200ms})
    {
        for (auto at = 0ms; at <= 2800ms; at += 200ms)
        {
            for (const auto& first : change_names)
            {
                for (const auto& second : change_names)
                {
                    const change_plan p{unreachable_for,
                        first.value,
                        at,
                        second.value,
                        200ms * (1 + simulations % 9),
                        simulations % 4,
                        400ms * (1 + simulations % 7)};
                    coordinator_change_simulation w(
                        first_seed + static_cast<std::uint64_t>(simulations), prepare);
                    const auto problem = w.simulate(p);
                    ++simulations;
                    if (!problem.empty())
                    {
                        return describe(p) + problem;
                    }
                }
            }
        }
    }
    return {};
}

std::list<relayed_runners> relays;

void use_relays(cluster& c)
{
    relays.clear();
    c.customize_node = [&c](node& n)
    {
        n.ctx.runners = relays.emplace_back(c, n).port();
    };
}

} // namespace

TEST_GROUP(coordinator_changes){void teardown() override{relays.clear();
}
}
;

// Coordinators change within the lease of a runner that is cut off with a task, and the host record
// is written late. A successor that waited too briefly would run the task a second time.
TEST(coordinator_changes, no_task_runs_twice_beside_an_unreachable_runner)
{
    constexpr int min_simulations = 2000;
    int simulations = 0;
    const auto problem = simulate_all(nullptr, simulations);
    STRCMP_EQUAL("", problem.c_str());
    CHECK(simulations > min_simulations);
}

// The same with relays, which may stall with a coordinator's orders and carry them out under the
// next coordinator.
TEST(coordinator_changes, no_task_runs_twice_beside_an_unreachable_runner_with_relays)
{
    constexpr int min_simulations = 2000;
    int simulations = 0;
    const auto problem = simulate_all(use_relays, simulations);
    STRCMP_EQUAL("", problem.c_str());
    CHECK(simulations > min_simulations);
}

// With one safeguard removed, some pair of changes breaks a guarantee. This shows that the checks
// can fail.
TEST(coordinator_changes, a_removed_safeguard_is_detected)
{
    for (const auto prepare : {hide_runner_record, report_leases_as_ended, ignore_lease_and_tokens})
    {
        int simulations = 0;
        CHECK(!simulate_all(prepare, simulations).empty());
    }
}
