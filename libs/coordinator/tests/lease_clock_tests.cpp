#include "fleet_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <map>
#include <random>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

namespace
{

/// A runner whose clock runs at its own rate, and a coordinator that receives its answers late and
/// out of order.
struct remote_runner
{
    fleet_fixture w;
    std::mt19937_64 random;
    double rate;
    std::int64_t lease_until = 0; ///< end of the lease on the runner's clock
    bool answers_lost = false;    ///< no answer arrives at the coordinator
    std::multimap<core::mono_time, std::int64_t> answers;
    std::multimap<core::mono_time, std::int64_t> grants;

    remote_runner(std::uint64_t seed, double clock_rate) : random(seed), rate(clock_rate)
    {
        w.add_host("h1");
        host().clock_ms = clock();
    }

    host_entry& host()
    {
        return w.f.hosts.at("h1");
    }

    std::int64_t clock() const
    {
        const std::chrono::duration<double, std::milli> passed = w.now.time_since_epoch();
        return static_cast<std::int64_t>(passed.count() * rate);
    }

    core::millis random_time(int most)
    {
        return core::millis{std::uniform_int_distribution<int>(0, most)(random)};
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(random) < probability;
    }

    /// Sends a call that grants a lease; it is carried out, and answered, after random delays.
    void call()
    {
        constexpr int max_delay_ms = 3000;
        const auto until = lease_end_for(w.f, host(), w.now);
        record_lease(host(), until);
        grants.emplace(w.now + random_time(max_delay_ms), until);
    }

    void pass(core::millis time)
    {
        w.now += time;
        while (!grants.empty() && grants.begin()->first <= w.now)
        {
            lease_until = std::max(lease_until, grants.begin()->second);
            grants.erase(grants.begin());
            answers.emplace(w.now + random_time(900), clock());
        }
        while (!answers.empty() && answers.begin()->first <= w.now)
        {
            if (!answers_lost)
            {
                receive_answer(answers.begin()->second);
            }
            answers.erase(answers.begin());
        }
    }

    void receive_answer(std::int64_t clock_ms_read)
    {
        handle_renewal_answer(
            w.f, "h1", {ports::runner_verdict::done, clock_ms_read}, w.now, w.events);
    }

    void lose_answers()
    {
        answers_lost = true;
        handle_renewal_answer(w.f, "h1", {ports::runner_verdict::unknown, -1}, w.now, w.events);
    }

    /// \return whether a lease is in force, or may come into force by a call in flight.
    bool may_run() const
    {
        const auto it = std::max_element(grants.begin(),
            grants.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; });
        const auto last = it == grants.end() ? lease_until : std::max(lease_until, it->second);
        return clock() < last;
    }
};

} // namespace

TEST_GROUP(lease_clock){};

// Answers overtake each other and calls are carried out seconds late. An older clock reading that
// is mistaken for the newest must not make the coordinator treat a lease as expired before the
// runner does.
TEST(lease_clock, no_lease_counts_as_ended_while_its_runner_may_hold_it)
{
    constexpr double rates[] = {0.98, 0.99, 1, 1.02};
    constexpr int steps = 20000;
    int expired = 0;
    for (const auto rate : rates)
    {
        remote_runner it(static_cast<std::uint64_t>(rate * 100), rate);
        for (int i = 0; i < steps; ++i)
        {
            it.pass(it.random_time(120));
            if (it.host().reachable && it.chance(0.3))
            {
                it.call();
            }
            if (it.chance(0.02))
            {
                it.lose_answers();
            }
            if (leases_expired(it.w.f, it.host(), it.w.now))
            {
                ++expired;
                CHECK_FALSE(it.may_run());
                it.answers_lost = false;
                it.receive_answer(it.clock());
            }
        }
    }
    CHECK(expired > 50);
}
