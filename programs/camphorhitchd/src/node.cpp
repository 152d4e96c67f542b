#include "node.hpp"

#include "context.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "peer/network.hpp"
#include "platform/platform_client.hpp"
#include "reactor/event_loop.hpp"
#include "services.hpp"
#include "store/etcd_store.hpp"
#include "telemetry/telemetry.hpp"
#include "wire_metrics.hpp"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <csignal>
#include <optional>
#include <random>

namespace camphorhitch::daemon
{

namespace
{

/// A target accepts 64 connections from all entry hosts together, and there are at most 9 entry
/// hosts.
constexpr std::size_t connections_per_target = 7;
/// Network devices on the path may drop the state of an idle connection, and a request on such a
/// connection would be lost; a new connection is cheaper than this risk.
constexpr core::millis max_idle_time{5000};

service_settings service_settings_of(const settings::daemon_settings& s)
{
    service_settings out;
    out.freshness.freshness = s.timing.freshness;
    out.freshness.margin = s.timing.take_over_margin;
    out.freshness.outage_grace = s.timing.outage_grace;
    out.dispatcher.permit_ttl = s.timing.permit_ttl;
    out.sender.permit_ttl = s.timing.permit_ttl;
    out.claims.stop_bound = s.timing.outage_grace + s.timing.take_over_margin;
    out.operator_token = s.operator_token;
    return out;
}

core::error cannot_open(const std::string& address, const core::error& why)
{
    return {why.code, address + ": " + why.message};
}

} // namespace

struct node::parts
{
    settings::daemon_settings settings;
    reactor::event_loop loop;
    telemetry::hub tel;
    // The network's listening socket closes when it is destroyed, which proves to the peers that
    // this process has ended. The network is therefore destroyed after all
    // objects that may still send to a target.
    std::unique_ptr<peer::network> network;
    std::optional<http::client> client; ///< client for the store and the platform
    /// Client for targets, which limit the number of connections.
    std::optional<http::client> target_client;
    std::optional<store::etcd_store> store;
    std::optional<platform::platform_client> platform;
    context ctx;
    std::unique_ptr<services> daemon_services;
    std::unique_ptr<wire_metrics> wire_counters;
    std::optional<http::server> callers;
    std::optional<http::server> operator_server;

    explicit parts(const settings::daemon_settings& s)
        : settings(s), loop(reactor::event_loop::builder().build()),
          tel(telemetry::builder()
                  .level(s.log.level)
                  .sample(s.trace.sample)
                  .field("member", s.member)
                  .build())
    {
    }

    core::result<core::done> open_adapters();
    core::result<core::done> open_network();
    core::result<http::server> open_server(const std::string& address, ports::http_events events);
    core::result<core::done> open_servers();
    void make_services();
    std::string metrics();
};

core::result<core::done> node::parts::open_adapters()
{
    client = http::client::builder().loop(loop).build();
    http::client_limits limits;
    limits.max_connections_per_host = connections_per_target;
    limits.max_idle_time = max_idle_time;
    target_client = http::client::builder().loop(loop).limits(limits).build();
    auto made = store::etcd_store::builder()
                    .client(*client)
                    .address(settings.store.addresses.front())
                    .extra_fields({{"Camphorhitch-Member", settings.member}})
                    .token(settings.store.token)
                    .timeout(settings.store.timeout)
                    .build();
    if (!core::is_ok(made))
    {
        return core::failure(made);
    }
    store = std::move(core::value(made));
    auto opened = platform::platform_client::builder()
                      .http(client->port())
                      .live_list(settings.platform.live_list)
                      .workers(settings.platform.workers)
                      .token(settings.platform.token)
                      .build();
    if (!core::is_ok(opened))
    {
        return core::failure(opened);
    }
    platform = std::move(core::value(opened));
    return core::done{};
}

core::result<core::done> node::parts::open_network()
{
    // The handlers look the services up when a call arrives, which is after all services were made.
    ports::peer_handlers handlers;
    const auto forward = [this](auto member)
    {
        return [this, member](auto message, auto reply)
        {
            (daemon_services->handlers().*member)(std::move(message), std::move(reply));
        };
    };
    handlers.beat = forward(&ports::peer_handlers::beat);
    handlers.request_permit = forward(&ports::peer_handlers::request_permit);
    handlers.return_permits = forward(&ports::peer_handlers::return_permits);
    handlers.query_held = forward(&ports::peer_handlers::query_held);
    handlers.claim = forward(&ports::peer_handlers::claim);
    handlers.finish_claim = forward(&ports::peer_handlers::finish_claim);
    handlers.copy_claim = forward(&ports::peer_handlers::copy_claim);
    handlers.pull_slots = forward(&ports::peer_handlers::pull_slots);
    handlers.explain = forward(&ports::peer_handlers::explain);
    auto made = peer::network::builder()
                    .listen(settings.peer_address)
                    .token(settings.peer_token)
                    .scheduler(loop.scheduler())
                    .handlers(std::move(handlers))
                    .build();
    if (!core::is_ok(made))
    {
        return cannot_open(settings.peer_address, core::failure(made));
    }
    network = std::move(core::value(made));
    return core::done{};
}

void node::parts::make_services()
{
    ctx.self = {settings.member,
        boost::uuids::to_string(boost::uuids::random_generator()()),
        settings.peer_address.substr(0, settings.peer_address.rfind(':') + 1) +
            std::to_string(network->port()),
        settings.zone};
    ctx.timing.heartbeat_interval = settings.timing.beat_interval;
    ctx.timing.lease_ttl = settings.store.lease_ttl;
    ctx.timing.live_list_interval = settings.platform.poll;
    ctx.timing.max_live_list_age = settings.platform.list_lag;
    ctx.timing.max_stop_time = settings.timing.drain_stop;
    ctx.scheduler = loop.scheduler();
    ctx.store = store->port();
    ctx.http = target_client->port();
    ctx.peers = network->client();
    ctx.platform = platform->port();
    ctx.telemetry = tel.port();
    ctx.random.seed(std::random_device{}());
    auto service_config = service_settings_of(settings);
    service_config.metrics = [this]
    {
        return metrics();
    };
    wire_counters = std::make_unique<wire_metrics>(ctx.telemetry);
    daemon_services = std::make_unique<services>(ctx, std::move(service_config));
}

std::string node::parts::metrics()
{
    wire_counters->update(*store, network->counters(), platform->counts());
    return tel.render();
}

core::result<http::server> node::parts::open_server(
    const std::string& address, ports::http_events events)
{
    http::server_limits limits;
    limits.max_body_size = settings.limits.body_bytes;
    limits.max_header_size = settings.limits.header_bytes;
    limits.max_connections = settings.limits.connections;
    limits.max_exchanges = settings.limits.open_requests;
    auto made = http::server::builder()
                    .loop(loop)
                    .address(address)
                    .limits(limits)
                    .events(std::move(events))
                    .build();
    if (!core::is_ok(made))
    {
        return cannot_open(address, core::failure(made));
    }
    return made;
}

core::result<core::done> node::parts::open_servers()
{
    auto first = open_server(settings.caller_address, daemon_services->caller_events());
    if (!core::is_ok(first))
    {
        return core::failure(first);
    }
    callers.emplace(std::move(core::value(first)));
    daemon_services->requests->set_server(callers->port());
    auto second = open_server(settings.operator_address, daemon_services->operator_events());
    if (!core::is_ok(second))
    {
        return core::failure(second);
    }
    operator_server.emplace(std::move(core::value(second)));
    daemon_services->operators->set_server(operator_server->port());
    return core::done{};
}

node::node(std::unique_ptr<parts> p) : parts_(std::move(p))
{
}

node::~node() = default;

core::result<std::unique_ptr<node>> node::open(const settings::daemon_settings& s)
{
    auto p = std::make_unique<parts>(s);
    auto adapters = p->open_adapters();
    if (!core::is_ok(adapters))
    {
        return core::failure(adapters);
    }
    auto network = p->open_network();
    if (!core::is_ok(network))
    {
        return core::failure(network);
    }
    p->make_services();
    auto servers = p->open_servers();
    if (!core::is_ok(servers))
    {
        return core::failure(servers);
    }
    return std::unique_ptr<node>(new node(std::move(p)));
}

int node::run()
{
    auto& p = *parts_;
    p.ctx.log(ports::log_level::info,
        "started",
        {{"incarnation", p.ctx.self.incarnation},
            {"callers", std::to_string(p.callers->port().port)},
            {"operators", std::to_string(p.operator_server->port().port)},
            {"peers", std::to_string(p.network->port())}});
    p.loop.on_signals({SIGTERM, SIGINT},
        [&p](int number)
        {
            p.ctx.log(ports::log_level::info, "stopping", {{"signal", std::to_string(number)}});
            p.daemon_services->stopping->begin([&p] { p.loop.stop(); });
        });
    p.daemon_services->start();
    p.loop.run();
    p.ctx.log(ports::log_level::info, "stopped", {});
    return 0;
}

} // namespace camphorhitch::daemon
