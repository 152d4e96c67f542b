#include "world.hpp"

#include <CppUTest/TestHarness.h>
#include <map>
#include <random>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

namespace
{

/// A runner whose clock runs at its own rate, and the owner that hears of it late and out of order.
struct distant_clock
{
    world w;
    std::mt19937_64 random;
    double rate;
    std::int64_t lease_until = 0; ///< at the runner
    bool deaf = false;            ///< no answer comes back
    std::multimap<core::mono_time, std::int64_t> answers;
    std::multimap<core::mono_time, std::int64_t> grants;

    distant_clock(std::uint64_t seed, double its_rate) : random(seed), rate(its_rate)
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

    core::millis some_time(int most)
    {
        return core::millis{std::uniform_int_distribution<int>(0, most)(random)};
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(random) < share;
    }

    /// A call that grants a lease leaves; it is carried out, and answered, with any delay.
    void call()
    {
        constexpr int longest_way = 3000;
        const auto until = lease_end_for(w.f, host(), w.now);
        note_lease(host(), until);
        grants.emplace(w.now + some_time(longest_way), until);
    }

    void pass(core::millis time)
    {
        w.now += time;
        while (!grants.empty() && grants.begin()->first <= w.now)
        {
            lease_until = std::max(lease_until, grants.begin()->second);
            grants.erase(grants.begin());
            answers.emplace(w.now + some_time(900), clock());
        }
        while (!answers.empty() && answers.begin()->first <= w.now)
        {
            if (!deaf)
            {
                hear(answers.begin()->second);
            }
            answers.erase(answers.begin());
        }
    }

    void hear(std::int64_t told)
    {
        contact_answered(w.f, "h1", {ports::runner_verdict::done, told}, w.now, w.events);
    }

    void fall_silent()
    {
        deaf = true;
        contact_answered(w.f, "h1", {ports::runner_verdict::unknown, -1}, w.now, w.events);
    }

    /// \return whether a lease is in force, or may come into force by a call on its way.
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

// Answers overtake each other and calls are carried out seconds late: an older clock taken for the
// newest must not end a lease before the runner does.
TEST(lease_clock, no_lease_counts_as_ended_while_its_runner_may_hold_it)
{
    constexpr double rates[] = {0.98, 0.99, 1, 1.02};
    constexpr int steps = 20000;
    int lapsed = 0;
    for (const auto rate : rates)
    {
        distant_clock it(static_cast<std::uint64_t>(rate * 100), rate);
        for (int i = 0; i < steps; ++i)
        {
            it.pass(it.some_time(120));
            if (it.host().reachable && it.chance(0.3))
            {
                it.call();
            }
            if (it.chance(0.02))
            {
                it.fall_silent();
            }
            if (has_lapsed(it.w.f, it.host(), it.w.now))
            {
                ++lapsed;
                CHECK_FALSE(it.may_run());
                it.deaf = false;
                it.hear(it.clock());
            }
        }
    }
    CHECK(lapsed > 50);
}
