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

/// For the orders of a burst; each costs a handshake.
constexpr std::size_t connections_per_runner = 3;
/// For the long poll, and a renewal beside it. With orders on the same connections a poll was not
/// sent in a burst, its runner counted as silent, and its leases ended.
constexpr std::size_t poll_connections_per_runner = 3;
constexpr std::size_t connections_to_store = 24;
/// The lease that lets this node coordinate is renewed over connections of its own: behind a burst
/// of writes that hold all of the others, a renewal would wait until the lease has ended.
constexpr std::size_t connections_for_lease = 4;
/// Kept open in all. With fewer than runners times the connections to each, an idle one is closed
/// for each that comes back, and all are searched for it. Both together stay below the 4,100
/// descriptors of the smallest hosts, with room for callers.
constexpr std::size_t most_idle_to_runners = 2000;
constexpr std::size_t most_idle_polls = 1200;
/// What lies between may forget an idle connection; an old one is not worth its risk.
constexpr core::millis longest_idle{8000};

/// What a client may keep open.
struct pool_bounds
{
    std::size_t per_host;
    std::size_t idle;
    reactor::urgency urgency;
};

http::client open_client(reactor::event_loop& loop, const pool_bounds& it)
{
    http::client_limits limits;
    limits.max_idle_time = longest_idle;
    limits.max_connections_per_host = it.per_host;
    limits.max_idle_connections = it.idle;
    limits.urgency = it.urgency;
    return http::client::builder().loop(loop).limits(limits).build();
}

// A cancelled job, a successor's key: they must not wait behind a crowd of runners' answers.
constexpr pool_bounds for_store{
    connections_to_store, connections_to_store, reactor::urgency::urgent};
constexpr pool_bounds for_lease{
    connections_for_lease, connections_for_lease, reactor::urgency::urgent};
constexpr pool_bounds for_orders{
    connections_per_runner, most_idle_to_runners, reactor::urgency::normal};
constexpr pool_bounds for_polls{
    poll_connections_per_runner, most_idle_polls, reactor::urgency::normal};

core::micros processor_time()
{
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto whole = std::chrono::seconds{used.ru_utime.tv_sec + used.ru_stime.tv_sec};
    return whole + core::micros{used.ru_utime.tv_usec + used.ru_stime.tv_usec};
}

/// By work of half a millisecond: on a fifth of an eighth of a core it takes 20 ms.
double try_processor()
{
    constexpr core::micros enough{500};
    constexpr core::micros longest{40000};
    const auto begun = boot_now();
    const auto before = processor_time();
    core::micros used{0};
    core::micros took{0};
    while (used < enough && took < longest)
    {
        used = processor_time() - before;
        took = boot_now() - begun;
    }
    return static_cast<double>(used.count()) /
           static_cast<double>(std::max(took.count(), core::micros::rep{1}));
}

} // namespace

hosted_clients::hosted_clients(reactor::event_loop& loop)
    : store_http(open_client(loop, for_store)), lease_http(open_client(loop, for_lease)),
      runner_http(open_client(loop, for_orders)), poll_http(open_client(loop, for_polls)),
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
    ctx.measure_processor_share = try_processor;
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
