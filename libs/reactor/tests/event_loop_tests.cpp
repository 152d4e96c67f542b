#include "reactor/event_loop.hpp"

#include <array>
#include <csignal>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <tuple>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace std::chrono_literals;

namespace
{

constexpr auto give_up = 10s;

/// \return whether \p holds came true before the test gives up.
bool run_until(reactor::event_loop& loop, const std::function<bool()>& holds)
{
    const auto time = loop.scheduler();
    const auto end = time.now() + give_up;
    while (!holds() && time.now() < end)
    {
        loop.run_once(50ms);
    }
    return holds();
}

/// Both reactors that a process may end up with.
constexpr std::array both_kinds = {false, true};

struct socket_pair
{
    socket_pair()
    {
        ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends);
    }
    ~socket_pair()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    int ends[2] = {-1, -1};
};

} // namespace

TEST_GROUP(event_loop){};

TEST(event_loop, timers_fire_in_order_and_cancelled_ones_never)
{
    for (const bool select : both_kinds)
    {
        auto loop = reactor::event_loop::builder().use_select(select).build();
        const auto time = loop.scheduler();
        std::string seen;
        const auto start = time.now();
        time.after(30ms, [&] { seen += "c"; });
        time.after(10ms, [&] { seen += "a"; });
        const auto second = time.after(20ms, [&] { seen += "b"; });
        time.after(15ms,
            [&]
            {
                seen += "x";
                time.cancel(second);
            });
        CHECK(run_until(loop, [&] { return seen.size() == 3; }));
        STRCMP_EQUAL("axc", seen.c_str());
        CHECK(time.now() - start >= 30ms);
        time.cancel(second);
    }
}

TEST(event_loop, posts_of_other_threads_all_run_on_the_loop)
{
    constexpr int threads = 4;
    constexpr int each = 2000;
    for (const bool select : both_kinds)
    {
        auto loop = reactor::event_loop::builder().use_select(select).build();
        const auto time = loop.scheduler();
        const auto own = std::this_thread::get_id();
        int ran = 0;
        int elsewhere = 0;
        const auto body = [&]
        {
            for (int i = 0; i < each; ++i)
            {
                time.post(
                    [&]
                    {
                        ++ran;
                        elsewhere += std::this_thread::get_id() == own ? 0 : 1;
                    });
            }
        };
        std::vector<std::thread> workers;
        workers.reserve(threads);
        for (int i = 0; i < threads; ++i)
        {
            workers.emplace_back(body);
        }
        CHECK(run_until(loop, [&] { return ran == threads * each; }));
        for (auto& it : workers)
        {
            it.join();
        }
        LONGS_EQUAL(0, elsewhere);
    }
}

TEST(event_loop, stop_ends_run_from_another_thread_and_before_it)
{
    auto loop = reactor::event_loop::builder().build();
    loop.stop();
    loop.run();
    std::thread other([&] { loop.stop(); });
    loop.run();
    other.join();
}

TEST(event_loop, a_watched_descriptor_reports_what_was_asked_for)
{
    for (const bool select : both_kinds)
    {
        socket_pair pair;
        auto loop = reactor::event_loop::builder().use_select(select).build();
        int reads = 0;
        int writes = 0;
        const auto seen = [&](reactor::fd_events it)
        {
            reads += it.readable ? 1 : 0;
            writes += it.writable ? 1 : 0;
        };
        loop.watch_fd(pair.ends[0], false, true, seen);
        CHECK(run_until(loop, [&] { return writes > 1; }));
        LONGS_EQUAL(0, reads);
        loop.watch_fd(pair.ends[0], true, false, seen);
        writes = 0;
        LONGS_EQUAL(1, ::write(pair.ends[1], "x", 1));
        CHECK(run_until(loop, [&] { return reads > 1; }));
        LONGS_EQUAL(0, writes);
        loop.watch_fd(pair.ends[0], false, false, {});
        reads = 0;
        loop.run_once(5ms);
        loop.run_once(5ms);
        LONGS_EQUAL(0, reads);
    }
}

// A descriptor is closed and its number comes back for another connection inside one callback, as
// curl does when it reconnects. Events of the new one must reach the new callback.
TEST(event_loop, a_descriptor_number_can_be_reused_inside_its_own_callback)
{
    for (const bool select : both_kinds)
    {
        auto loop = reactor::event_loop::builder().use_select(select).build();
        socket_pair first;
        socket_pair second;
        const int number = first.ends[0];
        std::string seen;
        const auto on_second = [&](reactor::fd_events)
        {
            char c = 0;
            seen += ::read(number, &c, 1) == 1 ? c : '?';
        };
        const auto on_first = [&](reactor::fd_events)
        {
            seen += "first ";
            loop.watch_fd(number, false, false, {});
            ::dup2(second.ends[0], number);
            loop.watch_fd(number, true, false, on_second);
        };
        loop.watch_fd(number, true, false, on_first);
        LONGS_EQUAL(1, ::write(first.ends[1], "1", 1));
        CHECK(run_until(loop, [&] { return !seen.empty(); }));
        LONGS_EQUAL(2, ::write(second.ends[1], "23", 2));
        CHECK(run_until(loop, [&] { return seen.size() > 7; }));
        STRCMP_EQUAL("first 23", seen.c_str());
        loop.watch_fd(number, false, false, {});
    }
}

// The other end hangs up while nobody waits to read. The callback learns of it once, and the loop
// must not spin on a descriptor that stays in error.
TEST(event_loop, a_hang_up_is_reported)
{
    int ends[2] = {-1, -1};
    LONGS_EQUAL(0, ::pipe(ends));
    auto loop = reactor::event_loop::builder().build();
    int failures = 0;
    loop.watch_fd(ends[0], true, false, [&](reactor::fd_events it) { failures += it.failed; });
    ::close(ends[1]);
    CHECK(run_until(loop, [&] { return failures == 1; }));
    loop.run_once(5ms);
    LONGS_EQUAL(1, failures);
    ::close(ends[0]);
}

TEST(event_loop, signals_become_callbacks_on_the_loop)
{
    for (const bool select : both_kinds)
    {
        auto loop = reactor::event_loop::builder().use_select(select).build();
        std::vector<int> seen;
        loop.on_signals({SIGTERM, SIGINT}, [&](int number) { seen.push_back(number); });
        ::raise(SIGTERM);
        ::raise(SIGINT);
        CHECK(seen.empty());
        CHECK(run_until(loop, [&] { return seen.size() == 2; }));
        CHECK(seen == std::vector<int>({SIGTERM, SIGINT}));
    }
}

// More descriptors are ready than the loop takes at once: who asks for a turn behind them gets it
// after the last of them, and a second one in the same turn.
TEST(event_loop, a_turn_behind_descriptors_comes_after_those_that_are_ready)
{
    constexpr std::size_t many = 150;
    for (const bool select : both_kinds)
    {
        auto loop = reactor::event_loop::builder().use_select(select).build();
        std::array<socket_pair, many> pairs;
        std::size_t read = 0;
        for (auto& it : pairs)
        {
            loop.watch_fd(it.ends[0],
                true,
                false,
                [&read, fd = it.ends[0]](reactor::fd_events)
                {
                    char byte = 0;
                    read += ::read(fd, &byte, 1) == 1 ? 1 : 0;
                });
            LONGS_EQUAL(1, ::write(it.ends[1], "x", 1));
        }
        int turns = 0;
        loop.post_behind_descriptors(
            [&]
            {
                LONGS_EQUAL(many, read);
                ++turns;
            });
        loop.post_behind_descriptors([&] { ++turns; });
        CHECK(run_until(loop, [&] { return turns == 2; }));
        loop.post_behind_descriptors([&] { ++turns; });
        CHECK(run_until(loop, [&] { return turns == 3; }));
        for (auto& it : pairs)
        {
            loop.watch_fd(it.ends[0], false, false, {});
        }
    }
}

// A crowd of descriptors is ready in each turn, more than a turn can serve, as when a coordinator
// has hundreds of runners. A lease's renewal or a caller's cancel comes in beside them. The process
// must see it in the next turn: behind the crowd it waited for seconds, and was too late.
TEST(event_loop, an_urgent_descriptor_does_not_wait_behind_a_crowd)
{
    constexpr int crowd = 200;
    constexpr int few = crowd / 2;
    for (const bool select : both_kinds)
    {
        auto loop = reactor::event_loop::builder().use_select(select).build();
        std::array<socket_pair, crowd> pairs;
        int served = 0;
        for (auto& it : pairs)
        {
            std::ignore = ::write(it.ends[1], "x", 1); // nobody reads it: ready in each turn
            loop.watch_fd(it.ends[0], true, false, [&](reactor::fd_events) { ++served; });
        }
        socket_pair lease;
        int served_before = -1;
        loop.watch_fd(
            lease.ends[0],
            true,
            false,
            [&](reactor::fd_events) { served_before = served; },
            reactor::urgency::urgent);
        loop.run_once(10ms);
        const int served_until_sent = served;
        std::ignore = ::write(lease.ends[1], "x", 1);
        CHECK(run_until(loop, [&] { return served_before >= 0; }));
        CHECK(served_before - served_until_sent < few);
        loop.watch_fd(lease.ends[0], false, false, {}, reactor::urgency::urgent);
        for (auto& it : pairs)
        {
            loop.watch_fd(it.ends[0], false, false, {});
        }
    }
}
