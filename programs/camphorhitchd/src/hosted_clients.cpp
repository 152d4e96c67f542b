#include "hosted_clients.hpp"

#include "company/advice_client.hpp"
#include "company/machine_client.hpp"
#include "company/runner_client.hpp"
#include "company/store_client.hpp"

#include <ctime>
#include <sys/resource.h>

namespace camphorhitch::daemon
{

namespace
{

/// Connections per runner for the orders of a burst; each costs a handshake.
constexpr std::size_t connections_per_runner = 3;
/// Connections per runner for the long poll and a concurrent renewal. If orders shared these
/// connections, a burst of orders would delay a poll, its runner would count as unresponsive, and
/// the runner's leases would expire.
constexpr std::size_t poll_connections_per_runner = 3;
constexpr std::size_t connections_to_store = 24;
/// The leader lease is renewed over separate connections: when a burst of writes holds all other
/// connections, a renewal would wait until the lease has expired.
constexpr std::size_t connections_for_lease = 4;
/// Idle connections kept open to all runners together. With a limit below the number of runners
/// times the connections to each, every returned connection closes another idle one, after a search
/// of all of them. The sum of both limits stays below the 4,100 descriptors of the smallest hosts,
/// with room for callers.
constexpr std::size_t max_idle_runner_connections = 2000;
constexpr std::size_t max_idle_poll_connections = 1200;
/// Network devices on the path may drop the state of an idle connection, and a request on such a
/// connection would be lost; a new connection is cheaper than this risk.
constexpr core::millis max_idle_time{8000};

/// Limits of a client's connections.
struct connection_limits
{
    std::size_t per_host;
    std::size_t idle;
    reactor::urgency urgency;
};

http::client open_client(reactor::event_loop& loop, const connection_limits& it)
{
    http::client_limits limits;
    limits.max_idle_time = max_idle_time;
    limits.max_connections_per_host = it.per_host;
    limits.max_idle_connections = it.idle;
    limits.urgency = it.urgency;
    return http::client::builder().loop(loop).limits(limits).build();
}

// Store calls such as a job's cancellation or a new leader's key must not wait behind many answers
// from runners.
constexpr connection_limits store_limits{
    connections_to_store, connections_to_store, reactor::urgency::urgent};
constexpr connection_limits lease_limits{
    connections_for_lease, connections_for_lease, reactor::urgency::urgent};
constexpr connection_limits order_limits{
    connections_per_runner, max_idle_runner_connections, reactor::urgency::normal};
constexpr connection_limits poll_limits{
    poll_connections_per_runner, max_idle_poll_connections, reactor::urgency::normal};

core::micros processor_time()
{
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto whole = std::chrono::seconds{used.ru_utime.tv_sec + used.ru_stime.tv_sec};
    return whole + core::micros{used.ru_utime.tv_usec + used.ru_stime.tv_usec};
}

/// Measures this process's share of a core by half a millisecond of work, which takes 20 ms on a
/// fortieth of a core.
double measure_processor_share()
{
    constexpr core::micros min_processor_time{500};
    constexpr core::micros max_duration{40000};
    const auto started_at = boot_now();
    const auto used_before = processor_time();
    core::micros used{0};
    core::micros duration{0};
    while (used < min_processor_time && duration < max_duration)
    {
        used = processor_time() - used_before;
        duration = boot_now() - started_at;
    }
    return static_cast<double>(used.count()) /
           static_cast<double>(std::max(duration.count(), core::micros::rep{1}));
}

} // namespace

hosted_clients::hosted_clients(reactor::event_loop& loop)
    : store_http(open_client(loop, store_limits)), lease_http(open_client(loop, lease_limits)),
      runner_http(open_client(loop, order_limits)), poll_http(open_client(loop, poll_limits)),
      store(store_http.port()), lease(lease_http.port()), orders(runner_http.port()),
      polls(poll_http.port())
{
}

core::mono_time boot_now()
{
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    constexpr std::int64_t us_per_s = 1000000;
    constexpr std::int64_t ns_per_us = 1000;
    return core::mono_time{core::micros{t.tv_sec * us_per_s + t.tv_nsec / ns_per_us}};
}

hosted::context make_context(hosted_clients& c,
    const settings::hosted_settings& s,
    reactor::event_loop& loop,
    const ports::telemetry& log)
{
    hosted::context ctx;
    ctx.member = s.member;
    ctx.time = loop.scheduler();
    ctx.tel = log;
    ctx.boot_now = boot_now;
    ctx.processor_time = processor_time;
    ctx.measure_processor_share = measure_processor_share;
    ctx.post_behind_descriptors = [&loop](std::function<void()> fn)
    {
        loop.post_behind_descriptors(std::move(fn));
    };
    company::store_client_settings store;
    store.address = s.services.store;
    ctx.store = company::make_store_client(c.store, log, store);
    const auto leases = company::make_store_client(c.lease, log, store);
    ctx.store.grant_lease = leases.grant_lease;
    ctx.store.keep_alive = leases.keep_alive;
    ctx.store.end_lease = leases.end_lease;
    c.runners = company::make_runner_client(c.orders, c.polls, log, {});
    ctx.runners = c.runners;
    if (!s.services.advice.empty())
    {
        company::advice_client_settings advice;
        advice.address = s.services.advice;
        ctx.advice = company::make_advice_client(c.store, log, advice);
    }
    company::machine_client_settings machines;
    machines.address = s.services.machines;
    machines.holder = s.member;
    ctx.machines = company::make_machine_client(c.store, log, machines);
    return ctx;
}

} // namespace camphorhitch::daemon
