#include "hosted_node.hpp"

#include "company/formats.hpp"
#include "company/http_api.hpp"
#include "hosted/config_follower.hpp"
#include "hosted/fleet_driver.hpp"
#include "hosted/job_request_handler.hpp"
#include "hosted/leadership.hpp"
#include "hosted/relay_registry.hpp"
#include "hosted/store_health_monitor.hpp"
#include "hosted_clients.hpp"
#include "hosted_operators.hpp"
#include "hosted_policy.hpp"
#include "http/server.hpp"
#include "reactor/event_loop.hpp"
#include "relay/pool.hpp"
#include "relay/server.hpp"
#include "telemetry/telemetry.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <optional>

namespace camphorhitch::daemon
{

namespace
{

/// Maximum age of the store's last answer for readiness: callers of a node that has not heard from
/// the store for longer are better served by another node.
constexpr core::millis max_store_answer_age{2800};
/// A coordinator that sent an order so long ago is still served by the store.
constexpr core::millis max_order_age{1000};
/// After the signal the load balancer needs two health checks, one second apart, before it stops
/// sending callers to this node.
constexpr core::millis balancer_delay{2300};
/// Part of the stop's time bound that is reserved for sending the last answers.
constexpr core::millis stop_reserve{400};
constexpr core::millis stop_check_interval{50};

/// A node with a small processor share falls behind sooner, so its limit of concurrent direct calls
/// is scaled by its share of a core.
relay::pool_settings relay_settings(double processor_share)
{
    constexpr double whole_core_calls = 500;
    constexpr std::size_t min_calls = 32;
    relay::pool_settings out;
    const auto by_share = static_cast<std::size_t>(whole_core_calls * processor_share);
    out.max_local_calls = std::max(min_calls, by_share);
    return out;
}

std::string read_file(const std::string& name)
{
    std::ifstream in(name);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

} // namespace

struct hosted_node::parts
{
    settings::hosted_settings settings;
    std::string file;
    reactor::event_loop loop;
    telemetry::hub tel;
    ports::telemetry log;
    std::unique_ptr<hosted_clients> clients;
    hosted::formats formats;
    hosted::context ctx;
    std::unique_ptr<hosted::store_health_monitor> store_health;
    std::unique_ptr<relay::pool> relays;
    std::unique_ptr<relay::server> relay_server;
    std::unique_ptr<hosted::relay_registry> registry;
    double best_other_share = 0; ///< by the registry's last update
    std::unique_ptr<hosted::leadership> leadership;
    std::unique_ptr<hosted::fleet_driver> driver;
    std::unique_ptr<hosted::job_request_handler> job_requests;
    std::unique_ptr<hosted::config_follower> config;
    std::unique_ptr<company::http_api> front;
    std::unique_ptr<hosted_operators> operators;
    std::optional<http::server> caller_server;
    std::optional<http::server> health_server;
    std::optional<http::server> metrics_server;
    std::optional<http::server> operator_server;
    ports::http_server callers;
    ports::http_server health;
    ports::http_server metrics;
    ports::http_server operator_port;
    bool was_ready = false;
    bool stopping = false;
    core::mono_time stop_at;

    explicit parts(const settings::hosted_settings& s, std::string from)
        : settings(s), file(std::move(from)), loop(reactor::event_loop::builder().build()),
          tel(telemetry::builder().level(s.log_level).field("member", s.member).build()),
          log(tel.port())
    {
    }

    void make_clients();
    void make_relays();
    void make_services();
    core::result<core::done> open_relay();
    core::result<core::done> open_servers();
    core::result<core::done> open_server(
        const std::string& address, ports::http_events events, std::optional<http::server>& to);
    void follow_config();
    bool is_ready();
    void stop();
    void check_stop();
    void reload();
};

void hosted_node::parts::make_clients()
{
    clients = std::make_unique<hosted_clients>(loop);
    ctx = make_context(*clients, settings, loop, log);
    ctx.best_other_share = [this]
    {
        return best_other_share;
    };
    if (settings::effective_policy(settings).watches_store)
    {
        store_health = std::make_unique<hosted::store_health_monitor>(
            ctx.store, ctx.time, log, hosted::store_health_settings{});
        ctx.store = store_health->port();
        ctx.store_unresponsive = [this]
        {
            return store_health->is_unresponsive();
        };
        ctx.store_failing = [this]
        {
            return store_health->is_failing();
        };
    }
}

void hosted_node::parts::make_relays()
{
    if (settings.listen.relay.empty())
    {
        return;
    }
    relays = std::make_unique<relay::pool>(relay::pool_parts{&loop,
                                               settings.member,
                                               clients->runners,
                                               log,
                                               [this]
                                               {
                                                   return leadership->holds_lease();
                                               }},
        relay_settings(settings.processor_share));
    ctx.runners = relays->port();
    registry = std::make_unique<hosted::relay_registry>(ctx,
        hosted::registry_settings{},
        [this](std::vector<ports::relay_endpoint> all)
        {
            best_other_share = hosted::max_other_share(all, settings.member);
            relays->set_relays(std::move(all));
        });
}

core::result<core::done> hosted_node::parts::open_relay()
{
    if (settings.listen.relay.empty())
    {
        return core::done{};
    }
    auto opened = relay::server::open(
        settings.listen.relay, {&loop, clients->runners, log, boot_now}, relay::server_limits{});
    if (!core::is_ok(opened))
    {
        return core::failure(opened);
    }
    relay_server = std::move(core::value(opened));
    return core::done{};
}

void hosted_node::parts::make_services()
{
    formats = company::make_formats();
    hosted::leadership_settings lease;
    lease.lease = settings.timing.leader_lease;
    lease.processor_share = settings.processor_share;
    hosted::leadership_events events;
    events.on_gained = [this](std::int64_t term, ports::revision token)
    {
        if (relays)
        {
            relays->begin(token);
            registry->follow();
        }
        driver->begin_term(term, token);
    };
    events.on_lost = [this](const std::string&)
    {
        driver->end_term();
        if (relays)
        {
            relays->end();
            registry->unfollow();
        }
    };
    leadership = std::make_unique<hosted::leadership>(ctx, lease, events);
    hosted::driver_settings drive;
    drive.rules.runner_lease = settings.timing.runner_lease;
    drive.rules.max_runner_lease = settings.timing.max_runner_lease;
    drive.rules.leader_lease = settings.timing.leader_lease;
    drive.processor_share = settings.processor_share;
    drive.rules.max_stop_time = settings.timing.max_stop_time;
    apply_policy(settings::effective_policy(settings), drive);
    drive.link_mbps = settings.link_mbps;
    drive.rebalance.orders_per_second = settings.machine_orders_per_second;
    drive.finished_job_retention = settings.timing.keep_finished;
    driver = std::make_unique<hosted::fleet_driver>(ctx, formats, drive, *leadership);
    hosted::job_request_settings requests;
    requests.rejects_hopeless = settings::effective_policy(settings).rejects_hopeless;
    job_requests = std::make_unique<hosted::job_request_handler>(ctx, requests);
    follow_config();
    company::http_api_sources sources;
    sources.config = [this]
    {
        return config->config();
    };
    sources.ready = [this]
    {
        return is_ready();
    };
    sources.only_this_node_is_cut = [this]
    {
        const auto at = relay_server ? relay_server->last_order_at() : std::nullopt;
        return hosted::is_store_failing(ctx) && at && boot_now() - *at < max_order_age;
    };
    sources.metrics = [this]
    {
        return tel.render();
    };
    company::http_api_settings api_settings;
    api_settings.zone = settings.zone;
    front =
        std::make_unique<company::http_api>(api_settings, sources, *job_requests, ctx.time, log);
    operators = std::make_unique<hosted_operators>(hosted_sources{ctx,
                                                       formats,
                                                       *job_requests,
                                                       *leadership,
                                                       *driver,
                                                       sources.config,
                                                       [this]
                                                       {
                                                           return config->last_answer_at();
                                                       }},
        settings.operators_token);
}

void hosted_node::parts::follow_config()
{
    hosted::config_events events;
    events.on_config = [this](const hosted::fleet_config& it)
    {
        driver->set_pools(it.pools);
        driver->set_workspaces(it.workspaces);
        is_ready(); // logs a change of readiness now instead of at the next health check
    };
    events.on_waves = [this](std::vector<hosted::wave_request> all)
    {
        driver->set_waves(std::move(all));
    };
    config = std::make_unique<hosted::config_follower>(ctx, formats, events);
}

bool hosted_node::parts::is_ready()
{
    const bool store_heard =
        ctx.time.now() - std::max(config->last_answer_at(), leadership->last_answer_at()) <
        max_store_answer_age;
    const auto* const in_force = config->config();
    const bool ready =
        in_force != nullptr && store_heard && !stopping && !hosted::is_store_failing(ctx);
    if (ready != was_ready)
    {
        was_ready = ready;
        log.log(ports::log_level::info,
            ready ? "ready" : "not_ready",
            {{"config", in_force != nullptr ? std::to_string(in_force->version) : "none"},
                {"store_heard", store_heard ? "yes" : "no"},
                {"stopping", stopping ? "yes" : "no"}});
    }
    return ready;
}

core::result<core::done> hosted_node::parts::open_server(
    const std::string& address, ports::http_events events, std::optional<http::server>& to)
{
    http::server_limits limits;
    limits.idle_timeout = core::millis{15000};
    auto made = http::server::builder()
                    .loop(loop)
                    .address(address)
                    .limits(limits)
                    .events(std::move(events))
                    .build();
    if (!core::is_ok(made))
    {
        return core::error{core::failure(made).code, address + ": " + core::failure(made).message};
    }
    to.emplace(std::move(core::value(made)));
    return core::done{};
}

core::result<core::done> hosted_node::parts::open_servers()
{
    const auto port_of = [](ports::http_server& it)
    {
        return [&it]() -> const ports::http_server&
        {
            return it;
        };
    };
    struct row
    {
        const std::string& address; ///< empty when not served
        ports::http_events events;
        std::optional<http::server>& server;
        ports::http_server& port;
    };
    const auto& at = settings.listen;
    row rows[] = {
        {at.callers, front->caller_events(port_of(callers)), caller_server, callers},
        {at.health, front->health_events(port_of(health)), health_server, health},
        {at.metrics, front->metrics_events(port_of(metrics)), metrics_server, metrics},
        {at.operators, operators->events(port_of(operator_port)), operator_server, operator_port},
    };
    for (auto& it : rows)
    {
        if (it.address.empty())
        {
            continue;
        }
        auto opened = open_server(it.address, std::move(it.events), it.server);
        if (!core::is_ok(opened))
        {
            return opened;
        }
        it.port = it.server->port();
    }
    return core::done{};
}

void hosted_node::parts::stop()
{
    if (stopping)
    {
        return;
    }
    stopping = true;
    stop_at = ctx.time.now();
    log.log(ports::log_level::info,
        "stopping",
        {{"open_exchanges", std::to_string(callers.open_exchanges())}});
    if (relay_server)
    {
        registry->withdraw();
        relay_server->leave();
    }
    job_requests->withdraw_reports();
    leadership->resign([this] { log.log(ports::log_level::info, "resigned", {}); });
    ctx.time.after(balancer_delay, [this] { check_stop(); });
}

void hosted_node::parts::check_stop()
{
    callers.stop_accepting();
    const auto bound = core::millis{static_cast<std::int64_t>(settings.timing.stop_bound_s * 1000)};
    const bool late = ctx.time.now() - stop_at > bound - stop_reserve;
    if (callers.open_exchanges() == 0 || late)
    {
        loop.stop();
        return;
    }
    ctx.time.after(stop_check_interval, [this] { check_stop(); });
}

void hosted_node::parts::reload()
{
    const auto read = settings::read_hosted_settings(read_file(file), file);
    if (const auto* const findings = std::get_if<core::findings>(&read))
    {
        log.log(ports::log_level::error,
            "reload_refused",
            {{"findings", core::to_text(*findings)}, {"in_force", "the settings before"}});
        return;
    }
    const auto& next = std::get<settings::hosted_settings>(read);
    const bool same_place = next.listen.callers == settings.listen.callers &&
                            next.services.store == settings.services.store;
    log.log(ports::log_level::info,
        "reloaded",
        {{"addresses", same_place ? "unchanged" : "need a restart"}});
}

hosted_node::hosted_node(std::unique_ptr<parts> p) : parts_(std::move(p))
{
}

hosted_node::~hosted_node() = default;

core::result<std::unique_ptr<hosted_node>> hosted_node::open(
    const settings::hosted_settings& s, const std::string& file)
{
    auto p = std::make_unique<parts>(s, file);
    p->make_clients();
    p->make_relays();
    p->make_services();
    const auto opened = p->open_servers();
    if (!core::is_ok(opened))
    {
        return core::failure(opened);
    }
    const auto relaying = p->open_relay();
    if (!core::is_ok(relaying))
    {
        return core::failure(relaying);
    }
    return std::unique_ptr<hosted_node>(new hosted_node(std::move(p)));
}

int hosted_node::run()
{
    auto& p = *parts_;
    p.log.log(ports::log_level::info,
        "started",
        {{"callers", p.settings.listen.callers},
            {"zone", p.settings.zone},
            {"store", p.settings.services.store},
            {"reactor", p.loop.uses_epoll() ? "epoll" : "select"}});
    p.loop.on_signals({SIGTERM, SIGINT, SIGHUP},
        [&p](int number)
        {
            p.log.log(ports::log_level::info, "signal", {{"number", std::to_string(number)}});
            if (number == SIGHUP)
            {
                p.reload();
            }
            else
            {
                p.stop();
            }
        });
    p.config->start();
    p.leadership->start();
    if (p.registry)
    {
        p.registry->advertise({p.settings.member,
            p.settings.listen.relay,
            p.settings.zone,
            p.settings.processor_share});
    }
    p.loop.run();
    p.log.log(ports::log_level::info, "stopped", {});
    return 0;
}

} // namespace camphorhitch::daemon
