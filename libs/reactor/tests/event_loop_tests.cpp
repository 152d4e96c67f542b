#include "reactor/event_loop.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <tuple>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace std::chrono_literals;

namespace
{

constexpr auto time_limit = 10s;

/// \return whether \p holds became true within the time limit.
bool run_until(reactor::event_loop& loop, const std::function<bool()>& holds)
{
    const auto time = loop.scheduler();
    const auto end = time.now() + time_limit;
    while (!holds() && time.now() < end)
    {
        loop.run_once(50ms);
    }
    return holds();
}

/// Values of use_select() for both kinds of reactor that a process may use.
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
        int ran_on_other_threads = 0;
        const auto body = [&]
        {
            for (int i = 0; i < each; ++i)
            {
                time.post(
                    [&]
                    {
                        ++ran;
                        ran_on_other_threads += std::this_thread::get_id() == own ? 0 : 1;
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
        LONGS_EQUAL(0, ran_on_other_threads);
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

// Inside one callback, a descriptor is closed and its number is reused for another connection, as
// curl does when it reconnects. Events of the new connection must reach the new callback.
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

// The other end hangs up. The callback must be called once, and the loop must not spin on a
// descriptor that stays in an error state.
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

// In each iteration more descriptors are ready than one iteration handles, as when a coordinator
// has hundreds of runners. The answer to a lease renewal or a caller's cancel arrives among them.
// The process must handle it in the next iteration. If it had to wait for all other descriptors, it
// would be handled seconds later, and too late.
TEST(event_loop, an_urgent_descriptor_does_not_wait_for_many_normal_ones)
{
    constexpr int ready_descriptors = 200;
    constexpr int max_handled_before = ready_descriptors / 2;
    for (const bool select : both_kinds)
    {
        auto loop = reactor::event_loop::builder().use_select(select).build();
        std::array<socket_pair, ready_descriptors> pairs;
        int handled = 0;
        for (auto& it : pairs)
        {
            std::ignore = ::write(it.ends[1], "x", 1); // never read: ready in each iteration
            loop.watch_fd(it.ends[0], true, false, [&](reactor::fd_events) { ++handled; });
        }
        socket_pair lease;
        int handled_before = -1;
        loop.watch_fd(
            lease.ends[0],
            true,
            false,
            [&](reactor::fd_events) { handled_before = handled; },
            reactor::urgency::urgent);
        loop.run_once(10ms);
        const int handled_until_sent = handled;
        std::ignore = ::write(lease.ends[1], "x", 1);
        CHECK(run_until(loop, [&] { return handled_before >= 0; }));
        CHECK(handled_before - handled_until_sent < max_handled_before);
        loop.watch_fd(lease.ends[0], false, false, {}, reactor::urgency::urgent);
        for (auto& it : pairs)
        {
            loop.watch_fd(it.ends[0], false, false, {});
        }
    }
}

// More descriptors are ready than the loop handles in one iteration. A function that is posted
// behind them must run after the last of them, and a second such function in the same iteration.
TEST(event_loop, functions_posted_behind_descriptors_run_after_those_that_are_ready)
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
        int calls = 0;
        loop.post_behind_descriptors(
            [&]
            {
                LONGS_EQUAL(many, read);
                ++calls;
            });
        loop.post_behind_descriptors([&] { ++calls; });
        CHECK(run_until(loop, [&] { return calls == 2; }));
        loop.post_behind_descriptors([&] { ++calls; });
        CHECK(run_until(loop, [&] { return calls == 3; }));
        for (auto& it : pairs)
        {
            loop.watch_fd(it.ends[0], false, false, {});
        }
    }
}

// Guards against a process whose limit of descriptors is low falling back to select(2).
TEST(event_loop, a_low_limit_of_descriptors_does_not_disable_epoll)
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    constexpr rlim_t many = 1 << 20;
    const auto n = static_cast<std::size_t>(std::min(limit.rlim_max, many)) + 1;
    const auto loop = reactor::event_loop::builder().max_descriptors(n).build();
    CHECK(loop.uses_epoll());
    CHECK(!reactor::event_loop::builder().use_select(true).build().uses_epoll());
}
