#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

namespace
{

// The store takes the owner's key away, and the answers that would tell the owner so are lost: it
// hears of it by its next watches. A cut between the zones leaves the first runner to the former
// owner, and all others to its successor.
struct revoked_world
{
    cluster c;
    node* former = nullptr;
    core::millis watches_late{0}; ///< of the former owner, from now on

    bool is_cut_off(const node& n, const ports::runner_ref& to) const
    {
        const bool first = to.address == c.hosts.machines.at("m1").address;
        return former != nullptr && first != (&n == former);
    }

    template <class Call, class Silence>
    void cut(node& n, Call& call, Silence silence)
    {
        call = [this, &n, silence, real = call](const auto& to, const auto& order, const auto& done)
        {
            if (is_cut_off(n, to))
            {
                n.ctx.time.after(700ms, [done, silence] { done(silence); });
                return;
            }
            real(to, order, done);
        };
    }

    void customize_node()
    {
        c.customize_node = [this](node& n)
        {
            const ports::runner_answer silence{ports::runner_verdict::unknown, -1};
            cut(n, n.ctx.runners.start, silence);
            cut(n, n.ctx.runners.stop, silence);
            cut(n, n.ctx.runners.poll, ports::poll_answer{silence, {}, {}});
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
                        const auto late = &n == former ? watches_late : 0ms;
                        n.ctx.time.after(late, [done, read] { done(read); });
                    });
            };
        };
    }

    /// \return the promises that were broken when the key was taken away \p at into a job.
    std::string play(core::millis at, core::millis late)
    {
        customize_node();
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
        former = c.leader();
        watches_late = late;
        c.store.revoke(hosted::leader_key);
        c.time.run_for(15s);
        return c.breaches();
    }
};

} // namespace

TEST_GROUP(revoked_key){};

// A former owner that goes on granting leases for longer than its successor reckons with: the task
// on the runner that only the former reaches ran twice.
TEST(revoked_key, a_former_owner_that_hears_late_of_its_end_grants_no_lease_unseen)
{
    for (auto at = 500ms; at <= 1000ms; at += 50ms)
    {
        for (const auto late : {900ms, 2400ms, 5000ms})
        {
            STRCMP_EQUAL("", revoked_world().play(at, late).c_str());
        }
    }
}
