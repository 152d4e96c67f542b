#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

namespace
{

// The store removes the leader key, and the answers that would tell the coordinator are lost: the
// coordinator learns of it from its next watches. A network cut between the zones leaves the first
// runner reachable only from the previous coordinator, and all others only from its successor.
struct revoked_key_simulation
{
    cluster c;
    node* previous = nullptr;
    /// Delay of the previous coordinator's watches, from the removal on.
    core::millis watch_delay{0};

    bool is_unreachable(const node& n, const ports::runner_ref& to) const
    {
        const bool first = to.address == c.hosts.machines.at("m1").address;
        return previous != nullptr && first != (&n == previous);
    }

    template <class Call, class NoAnswer>
    void cut(node& n, Call& call, NoAnswer no_answer)
    {
        call = [this, &n, no_answer, real = call](
                   const auto& to, const auto& order, const auto& done)
        {
            if (is_unreachable(n, to))
            {
                n.ctx.time.after(700ms, [done, no_answer] { done(no_answer); });
                return;
            }
            real(to, order, done);
        };
    }

    void plant_faults()
    {
        c.customize_node = [this](node& n)
        {
            const ports::runner_answer no_answer{ports::runner_verdict::unknown, -1};
            cut(n, n.ctx.runners.start, no_answer);
            cut(n, n.ctx.runners.stop, no_answer);
            cut(n, n.ctx.runners.poll, ports::poll_answer{no_answer, {}, {}});
            n.ctx.store.watch = [this, &n, real = n.ctx.store.watch](const std::string& prefix,
                                    auto after,
                                    auto wait,
                                    const std::function<void(ports::changes_read)>& done)
            {
                real(prefix,
                    after,
                    wait,
                    [this, &n, done](const ports::changes_read& read)
                    {
                        const auto delay = &n == previous ? watch_delay : 0ms;
                        n.ctx.time.after(delay, [done, read] { done(read); });
                    });
            };
        };
    }

    /// \return the guarantees that were broken if the key is removed \p at after a job's
    /// submission.
    std::string simulate(core::millis at, core::millis delay)
    {
        plant_faults();
        c.hosts.behaviour.run_time = 10s;
        for (int i = 0; i < 3; ++i)
        {
            c.hosts.add("p");
        }
        c.add_node();
        c.has_leader();
        c.add_node();
        c.time.run_for(1s);
        c.put_job(c.make_job_on_each("a", 2));
        c.time.run_for(at);
        LONGS_EQUAL(1, c.hosts.machines.at("m1").runs.size());
        previous = c.leader();
        watch_delay = delay;
        c.store.revoke(hosted::leader_key);
        c.time.run_for(15s);
        return c.breaches();
    }
};

} // namespace

TEST_GROUP(revoked_key){};

// A previous coordinator must not grant leases for longer than its successor accounts for:
// otherwise the task on the runner that only the previous coordinator reaches runs twice.
TEST(revoked_key, a_previous_coordinator_that_learns_late_of_its_end_grants_no_uncounted_lease)
{
    for (auto at = 500ms; at <= 1000ms; at += 50ms)
    {
        for (const auto delay : {900ms, 2400ms, 5000ms})
        {
            STRCMP_EQUAL("", revoked_key_simulation().simulate(at, delay).c_str());
        }
    }
}
