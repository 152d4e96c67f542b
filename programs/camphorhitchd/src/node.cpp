#include "node.hpp"

#include "claim_service.hpp"
#include "config_service.hpp"
#include "context.hpp"
#include "experiment_service.hpp"
#include "fleet_service.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "job_intake.hpp"
#include "job_service.hpp"
#include "membership_service.hpp"
#include "model/keys.hpp"
#include "operator_service.hpp"
#include "peer/network.hpp"
#include "permit_service.hpp"
#include "platform/platform_client.hpp"
#include "reactor/event_loop.hpp"
#include "request_service.hpp"
#include "stop_sequence.hpp"
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

membership::freshness_settings freshness_of(const settings::daemon_settings& s)
{
    membership::freshness_settings out;
    out.freshness = s.timing.freshness;
    out.margin = s.timing.take_over_margin;
    out.outage_grace = s.timing.outage_grace;
    return out;
}

dispatch::dispatcher_settings dispatcher_of(const settings::daemon_settings& s)
{
    dispatch::dispatcher_settings out;
    out.permit_ttl = s.timing.permit_ttl;
    return out;
}

dispatch::sender_settings sender_of(const settings::daemon_settings& s)
{
    dispatch::sender_settings out;
    out.permit_ttl = s.timing.permit_ttl;
    return out;
}

claims::claim_settings claims_of(const settings::daemon_settings& s, const model::configuration& c)
{
    claims::claim_settings out;
    out.permit_ttl = s.timing.permit_ttl;
    out.stop_bound = s.timing.outage_grace + s.timing.take_over_margin;
    out.key_memory = c.key_memory;
    out.keys_per_slot = static_cast<std::size_t>(c.keys_per_slot);
    out.answer_kept_bytes = static_cast<std::size_t>(c.answer_kept_bytes);
    for (const auto& pool : c.pools)
    {
        out.longest_request = std::max(out.longest_request, pool.long_running.longest);
    }
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
    std::unique_ptr<peer::network> network;
    std::optional<http::client> client;
    std::optional<store::etcd_store> store;
    std::optional<platform::platform_client> platform;
    context ctx;
    std::unique_ptr<mirror> documents;
    std::unique_ptr<membership_service> members;
    std::unique_ptr<config_service> config;
    std::unique_ptr<permit_service> permits;
    std::unique_ptr<claim_service> claims;
    std::unique_ptr<request_service> requests;
    std::unique_ptr<fleet_service> fleet;
    std::unique_ptr<job_service> jobs;
    std::unique_ptr<job_intake> intake;
    std::unique_ptr<experiment_service> experiments;
    std::unique_ptr<operator_service> operators;
    std::unique_ptr<stop_sequence> stopping;
    std::unique_ptr<wire_metrics> wire;
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
    core::result<core::done> open_servers();
    void make_services();
    void connect_services();
    ports::peer_handlers handlers();
    void on_document(const ports::kv_entry& entry);
    void on_roster();
    void on_config(const model::configuration& c);
};

core::result<core::done> node::parts::open_adapters()
{
    client = http::client::builder().loop(loop).build();
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
    auto reached = platform::platform_client::builder()
                       .http(client->port())
                       .live_list(settings.platform.live_list)
                       .workers(settings.platform.workers)
                       .token(settings.platform.token)
                       .build();
    if (!core::is_ok(reached))
    {
        return core::failure(reached);
    }
    platform = std::move(core::value(reached));
    return core::done{};
}

core::result<core::done> node::parts::open_network()
{
    auto made = peer::network::builder()
                    .listen(settings.peer_address)
                    .token(settings.operator_token)
                    .scheduler(loop.scheduler())
                    .handlers(handlers())
                    .build();
    if (!core::is_ok(made))
    {
        return cannot_open(settings.peer_address, core::failure(made));
    }
    network = std::move(core::value(made));
    return core::done{};
}

/// The handlers look the services up when a call comes: all are made before the loop runs.
ports::peer_handlers node::parts::handlers()
{
    ports::peer_handlers h;
    h.beat = [this](const auto& it, const auto& reply)
    {
        reply(members->on_beat(it));
    };
    h.request_permit = [this](const auto& it, const auto& reply)
    {
        permits->on_request(it, reply);
    };
    h.return_permits = [this](const auto& it, const auto& reply)
    {
        permits->on_returns(it);
        reply({true});
    };
    h.query_held = [this](const auto& it, const auto& reply)
    {
        reply(requests->held(it));
    };
    h.claim = [this](const auto& it, const auto& reply)
    {
        claims->on_claim(it, reply);
    };
    h.finish_claim = [this](const auto& it, const auto& reply)
    {
        claims->on_finish(it, reply);
    };
    h.copy_claim = [this](const auto& it, const auto& reply)
    {
        reply(claims->on_copy(it));
    };
    h.pull_slots = [this](const auto& it, const auto& reply)
    {
        reply(claims->on_pull(it));
    };
    h.explain = [this](const auto& it, const auto& reply)
    {
        reply({requests->explain(it.id)});
    };
    return h;
}

void node::parts::make_services()
{
    ctx.self = {settings.member,
        boost::uuids::to_string(boost::uuids::random_generator()()),
        settings.peer_address.substr(0, settings.peer_address.rfind(':') + 1) +
            std::to_string(network->port()),
        settings.zone};
    ctx.rounds.beat = settings.timing.beat_interval;
    ctx.rounds.lease_ttl = settings.store.lease_ttl;
    ctx.rounds.live_list = settings.platform.poll;
    ctx.rounds.stop_bound = settings.timing.drain_stop;
    ctx.scheduler = loop.scheduler();
    ctx.store = store->port();
    ctx.http = client->port();
    ctx.peers = network->client();
    ctx.platform = platform->port();
    ctx.telemetry = tel.port();
    ctx.random.seed(std::random_device{}());
    mirror_settings watched;
    watched.prefix = model::keys::root;
    watched.seed = ctx.random();
    documents = std::make_unique<mirror>(watched,
        ctx.store,
        ctx.scheduler,
        ctx.telemetry,
        mirror_events{[this](const ports::kv_entry& it) { on_document(it); },
            [this](core::mono_time asked_at)
            {
                members->on_documents_read(asked_at);
            }});
    ctx.documents = documents.get();
    const jobs::settings job_rules;
    members = std::make_unique<membership_service>(ctx,
        freshness_of(settings),
        membership_events{[this] { on_roster(); },
            [this](const std::string& text, bool fresh) { config->on_offer(text, fresh); },
            [this](const model::member_record& who)
            {
                permits->on_process_gone(who);
            }});
    config = std::make_unique<config_service>(ctx, *members);
    permits = std::make_unique<permit_service>(ctx, *members, dispatcher_of(settings));
    claims = std::make_unique<claim_service>(ctx, *members, claims_of(settings, {}));
    requests =
        std::make_unique<request_service>(ctx, *members, *permits, *claims, sender_of(settings));
    fleet = std::make_unique<fleet_service>(ctx, *members, *permits);
    jobs = std::make_unique<job_service>(ctx, *members, *permits, *fleet, job_rules);
    intake = std::make_unique<job_intake>(ctx, *fleet, job_rules);
    experiments = std::make_unique<experiment_service>(ctx, *members, *fleet, *jobs);
    wire = std::make_unique<wire_metrics>(ctx.telemetry);
    operators = std::make_unique<operator_service>(ctx,
        operator_parts{
            *members, *config, *permits, *claims, *requests, *fleet, *jobs, *intake, *experiments},
        settings.operator_token,
        [this]
        {
            wire->update(*store, network->counters(), platform->counts());
            return tel.render();
        });
    stopping = std::make_unique<stop_sequence>(ctx, *members, *claims, *requests);
}

void node::parts::connect_services()
{
    permits->set_held([this](const ports::held_query& it) { return requests->held(it); });
    config->set_listener([this](const model::configuration& it) { on_config(it); });
    fleet->set_jobs({[this](const std::string& pool, const std::string& host)
        { return jobs->tasks_on(pool, host); },
        [this](const std::string& pool, const std::string& host, core::millis left)
        {
            jobs->move_off(pool, host, left);
        }});
}

core::result<core::done> node::parts::open_servers()
{
    http::server_limits limits;
    limits.largest_body = settings.limits.body_bytes;
    limits.largest_header = settings.limits.header_bytes;
    limits.most_connections = settings.limits.connections;
    limits.most_exchanges = settings.limits.open_requests;
    auto first = http::server::builder()
                     .loop(loop)
                     .address(settings.caller_address)
                     .limits(limits)
                     .events({[this](ports::exchange_id id, ports::http_request r)
                         { requests->on_request(id, std::move(r)); },
                         [this](ports::exchange_id id)
                         {
                             requests->on_gone(id);
                         }})
                     .build();
    if (!core::is_ok(first))
    {
        return cannot_open(settings.caller_address, core::failure(first));
    }
    callers.emplace(std::move(core::value(first)));
    requests->set_server(callers->port());
    auto second = http::server::builder()
                      .loop(loop)
                      .address(settings.operator_address)
                      .limits(limits)
                      .events({[this](ports::exchange_id id, ports::http_request r)
                          { operators->on_request(id, std::move(r)); },
                          [this](ports::exchange_id id)
                          {
                              operators->on_gone(id);
                          }})
                      .build();
    if (!core::is_ok(second))
    {
        return cannot_open(settings.operator_address, core::failure(second));
    }
    operator_server.emplace(std::move(core::value(second)));
    operators->set_server(operator_server->port());
    return core::done{};
}

void node::parts::on_document(const ports::kv_entry& entry)
{
    members->on_document(entry);
    config->on_document(entry);
    fleet->on_document(entry);
    jobs->on_document(entry);
    experiments->on_document(entry);
}

void node::parts::on_roster()
{
    permits->on_roster();
    claims->on_roster();
    requests->on_roster();
    fleet->on_roster();
    jobs->on_roster();
}

void node::parts::on_config(const model::configuration& c)
{
    claims->on_settings(claims_of(settings, c));
    fleet->on_config(c);
    requests->on_config(c);
    permits->on_config(c);
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
    p->connect_services();
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
        {{"member", p.ctx.self.id},
            {"incarnation", p.ctx.self.incarnation},
            {"callers", std::to_string(p.callers->port().port)},
            {"operators", std::to_string(p.operator_server->port().port)},
            {"peers", std::to_string(p.network->port())}});
    p.loop.on_signals({SIGTERM, SIGINT},
        [&p](int number)
        {
            p.ctx.log(ports::log_level::info, "stopping", {{"signal", std::to_string(number)}});
            p.stopping->begin([&p] { p.loop.stop(); });
        });
    p.documents->start();
    p.members->start();
    p.fleet->start();
    p.jobs->start();
    p.experiments->start();
    p.loop.run();
    p.ctx.log(ports::log_level::info, "stopped", {});
    return 0;
}

} // namespace camphorhitch::daemon
