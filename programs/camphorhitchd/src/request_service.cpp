#include "request_service.hpp"

#include "membership/owners.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::daemon
{

namespace
{

constexpr core::millis tick_interval{5}; ///< interval between checks of the flows' timers
/// Number of ended requests that `why request` can explain.
constexpr std::size_t max_recorded_requests = 2000;
constexpr int status_not_found = 404;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;
const std::string call_prefix = "/call/";

/// Header fields that belong to one connection and are not forwarded.
const char* const hop_fields[] = {"Connection",
    "Keep-Alive",
    "Transfer-Encoding",
    "Content-Length",
    "TE",
    "Trailer",
    "Upgrade",
    "Proxy-Authorization",
    "Proxy-Authenticate",
    "Proxy-Connection",
    "Expect",
    "Host"};

bool is_hop_field(const std::string& name)
{
    const ports::http_fields one{{name, ""}};
    return std::any_of(std::begin(hop_fields),
        std::end(hop_fields),
        [&](const char* it) { return ports::find_field(one, it) != nullptr; });
}

void set_field(ports::http_fields& fields, const std::string& name, const std::string& text)
{
    fields.erase(std::remove_if(fields.begin(),
                     fields.end(),
                     [&](const auto& it) {
                         return ports::find_field({{it.first, ""}}, name) != nullptr;
                     }),
        fields.end());
    fields.emplace_back(name, text);
}

ports::http_fields without_hop_fields(const ports::http_fields& all)
{
    ports::http_fields kept;
    for (const auto& it : all)
    {
        if (!is_hop_field(it.first))
        {
            kept.push_back(it);
        }
    }
    return kept;
}

/// Splits "/call/<service>/<path>".
bool split_path(const std::string& path, std::string& service, std::string& rest)
{
    if (path.compare(0, call_prefix.size(), call_prefix) != 0)
    {
        return false;
    }
    const auto slash = path.find('/', call_prefix.size());
    service = path.substr(call_prefix.size(), slash - call_prefix.size());
    rest = slash == std::string::npos ? "/" : path.substr(slash);
    return !service.empty();
}

} // namespace

request_service::request_service(context& c,
    membership_service& members,
    permit_service& permits,
    claim_service& claims,
    dispatch::sender_settings settings)
    : context_(c), members_(members), permits_(permits), claims_(claims)
{
    sender_.member = c.self.id;
    sender_.incarnation = c.self.incarnation;
    sender_.zone = c.self.zone;
    sender_.settings = settings;
    context_.run_every(tick_interval, [this] { tick(); });
}

void request_service::set_server(ports::http_server server)
{
    server_ = std::move(server);
}

void request_service::on_config(const model::configuration& config)
{
    config_ = config;
    sender_.settings.answer_kept_bytes = static_cast<std::size_t>(config.answer_kept_bytes);
}

void request_service::on_claim_settings(core::millis permit_ttl, core::millis key_memory)
{
    sender_.settings.claims.permit_ttl = permit_ttl;
    sender_.settings.claims.key_memory = key_memory;
}

/// Only requests whose pool has a new owner request a permit again; the others would lose their
/// place in the queue.
void request_service::on_roster()
{
    sender_.epoch = members_.roster().epoch;
    std::map<std::string, std::string> owners;
    for (const auto& pool : config_.pools)
    {
        const auto* it = membership::owner_of_pool(members_.roster(), pool.name);
        owners[pool.name] = it == nullptr ? std::string{} : membership::process_name(*it);
    }
    std::swap(owners, owners_);
    std::vector<request_id> moved;
    for (const auto& [id, r] : open_)
    {
        if (owners[r.flow.request.pool] != owners_[r.flow.request.pool])
        {
            moved.push_back(id);
        }
    }
    for (const auto id : moved)
    {
        const auto it = open_.find(id);
        if (it != open_.end())
        {
            execute_actions(
                id, dispatch::on_owner_changed(it->second.flow, sender_, context_.scheduler.now()));
        }
    }
}

bool request_service::ready() const
{
    return !stopping_ && members_.fresh() && members_.in_roster() && config_.version > 0;
}

std::size_t request_service::open_requests() const
{
    return open_.size();
}

void request_service::stop(std::function<void()> done)
{
    stopping_ = true;
    on_stopped_ = std::move(done);
    remove_if_ended(0);
}

void request_service::drain_connections(std::function<void()> done)
{
    drainer_.emplace(context_.scheduler, server_);
    drainer_->begin(std::move(done));
}

void request_service::refuse(ports::exchange_id exchange, const refusal& why)
{
    context_.telemetry.count("camphorhitch_refused_total", {{"reason", why.reason}}, 1);
    server_.respond(exchange, make_response(why));
}

void request_service::on_request(ports::exchange_id exchange, ports::http_request request)
{
    if (request.path == "/-/live" || request.path == "/-/ready")
    {
        const bool good = request.path == "/-/live" || ready();
        server_.respond(exchange, {good ? 200 : status_unavailable, {}, good ? "yes\n" : "no\n"});
        return;
    }
    std::string service;
    std::string rest;
    if (!split_path(request.path, service, rest))
    {
        refuse(
            exchange, {status_not_found, "no_such_path", "use /call/<service>/<path>", 0, false});
        return;
    }
    const bool keyed = !idempotency_key_of(request).empty();
    if (!ready())
    {
        const char* why = stopping_ ? "stopping" : "not_ready";
        refuse(
            exchange, {status_unavailable, why, "this entry host takes no requests now", 1, keyed});
        return;
    }
    const auto* pool = model::find_pool_of_service(config_, service);
    if (pool == nullptr)
    {
        refuse(
            exchange, {status_not_found, "no_such_service", "no pool serves " + service, 0, keyed});
        return;
    }
    const auto id = next_id_++;
    auto& r = open_[id];
    by_exchange_[exchange] = id;
    r.exchange = exchange;
    r.service = service;
    r.started_at = context_.scheduler.now();
    r.http = std::move(request);
    r.http.path = rest;
    start_request(id, *pool);
}

void request_service::start_request(request_id id, const model::pool_config& pool)
{
    auto& r = open_.at(id);
    auto parsed = dispatch::read_caller_request(r.http, pool);
    if (const auto* findings = std::get_if<core::findings>(&parsed))
    {
        refuse(r.exchange, {status_bad_request, "bad_request", core::to_text(*findings), 0, false});
        by_exchange_.erase(r.exchange);
        open_.erase(id);
        return;
    }
    const auto* parent = ports::find_field(r.http.fields, "traceparent");
    r.span = context_.telemetry.start_span("request", parent == nullptr ? "" : *parent);
    r.span.tag("service", r.service);
    record_step(r, "began pool=" + pool.name);
    const auto now = context_.scheduler.now();
    execute_actions(
        id, dispatch::start_flow(r.flow, sender_, std::get<dispatch::caller_request>(parsed), now));
}

void request_service::execute_actions(request_id id, const dispatch::flow_actions& actions)
{
    for (const auto& action : actions)
    {
        std::visit(
            [&](const auto& it)
            {
                if (open_.count(id) > 0)
                {
                    execute(id, it);
                }
            },
            action);
    }
    remove_if_ended(id);
}

void request_service::execute(request_id id, const dispatch::request_claim& it)
{
    record_step(open_.at(id), "asks claim key=" + it.message.key);
    claims_.request_claim(it.message,
        [this, id](ports::peer_status status, const ports::claim_reply& reply)
        {
            const auto found = open_.find(id);
            if (found == open_.end())
            {
                return;
            }
            record_step(
                found->second, "claim verdict=" + std::to_string(static_cast<int>(reply.verdict)));
            execute_actions(id,
                dispatch::on_claim(
                    found->second.flow, sender_, status, reply, context_.scheduler.now()));
        });
}

void request_service::execute(request_id id, const dispatch::request_permit& it)
{
    record_step(open_.at(id), "asks permit pool=" + it.message.pool);
    permits_.request_permit(it.message,
        [this, id, ask = it.message.request, pool = it.message.pool](
            ports::peer_status status, const ports::permit_reply& reply)
        {
            const auto found = open_.find(id);
            if (found == open_.end())
            {
                // The flow abandoned the permit request before the answer arrived. The flow's
                // return message names the permit request, which is sufficient for the owner.
                return;
            }
            record_step(found->second, "permit host=" + reply.host + " rule=" + reply.reason);
            // Freshness is checked right before the send: a permit that arrives after a pause of
            // this process must not be used unless the member is still fresh.
            const bool fresh = members_.fresh();
            execute_actions(id,
                dispatch::on_permit(found->second.flow,
                    sender_,
                    ask,
                    status,
                    reply,
                    fresh,
                    context_.scheduler.now()));
        });
}

void request_service::execute(request_id id, const dispatch::send_request& it)
{
    auto& r = open_.at(id);
    record_step(r, "sends host=" + it.host + " address=" + it.address);
    ports::http_call call;
    call.address = it.address;
    call.request = r.http;
    call.request.fields = without_hop_fields(r.http.fields);
    for (const auto& [name, text] : it.fields)
    {
        set_field(call.request.fields, name, text);
    }
    r.send_span = context_.telemetry.start_span("send", r.span.traceparent);
    r.send_span.tag("host", it.host);
    set_field(call.request.fields, "traceparent", r.send_span.traceparent);
    call.connect_timeout = it.connect_timeout;
    call.total_timeout = it.total_timeout;
    call.fresh_connection = it.fresh_connection;
    r.call = context_.http.send(
        std::move(call), [this, id](const ports::http_outcome& o) { on_outcome(id, o); });
}

void request_service::on_outcome(request_id id, const ports::http_outcome& outcome)
{
    const auto found = open_.find(id);
    if (found == open_.end())
    {
        return;
    }
    auto& r = found->second;
    r.call = 0;
    record_step(
        r, "send ended status=" + std::to_string(outcome.response.status) + " " + outcome.detail);
    r.send_span.tag("status", std::to_string(outcome.response.status));
    r.send_span.finish();
    context_.telemetry.count(
        "camphorhitch_sends_total", {{"connection", outcome.new_connection ? "new" : "kept"}}, 1);
    auto cleaned = outcome;
    cleaned.response.fields = without_hop_fields(outcome.response.fields);
    execute_actions(id, dispatch::on_outcome(r.flow, sender_, cleaned, context_.scheduler.now()));
}

void request_service::execute(request_id id, const dispatch::cancel_send& /*it*/)
{
    auto& r = open_.at(id);
    if (r.call != 0)
    {
        context_.http.cancel(std::exchange(r.call, 0));
        r.send_span.tag("cancelled", "true");
        r.send_span.finish();
    }
}

void request_service::execute(request_id /*id*/, const dispatch::return_permit& it)
{
    permits_.return_permit(it.message);
}

void request_service::execute(request_id id, const dispatch::finish_claim& it)
{
    claims_.finish_claim(it.message,
        [this, id](ports::peer_status status, const ports::ack& ack)
        {
            const auto found = open_.find(id);
            if (found != open_.end())
            {
                execute_actions(id,
                    dispatch::on_finish_ack(
                        found->second.flow, sender_, status, ack, context_.scheduler.now()));
            }
        });
}

void request_service::execute(request_id id, const dispatch::answer_caller& it)
{
    auto& r = open_.at(id);
    const auto outcome = std::string(core::name_of(dispatch::caller_outcome_names, it.outcome));
    const std::chrono::duration<double> took = context_.scheduler.now() - r.started_at;
    const auto klass =
        std::string(core::name_of(dispatch::request_class_names, r.flow.request.klass));
    context_.telemetry.count("camphorhitch_requests_total",
        {{"service", r.service}, {"class", klass}, {"outcome", outcome}},
        1);
    context_.telemetry.observe("camphorhitch_request_seconds", {{"class", klass}}, took.count());
    record_step(r, "answers outcome=" + outcome + " rule=" + it.reason);
    r.span.tag("outcome", outcome);
    r.span.tag("rule", it.reason);
    r.span.finish();
    by_exchange_.erase(r.exchange);
    server_.respond(r.exchange, it.response);
}

void request_service::record_step(open_request& r, std::string text)
{
    const auto ms =
        std::chrono::duration_cast<core::micros>(context_.scheduler.now() - r.started_at);
    r.steps.push_back("+" + std::to_string(ms.count()) + "us " + std::move(text));
}

void request_service::remove_if_ended(request_id id)
{
    const auto it = open_.find(id);
    if (it != open_.end() && dispatch::has_ended(it->second.flow))
    {
        auto& r = it->second;
        by_exchange_.erase(r.exchange);
        const auto* own = ports::find_field(r.http.fields, "Request-Id");
        ended_.push_back(
            {own == nullptr ? "" : *own, idempotency_key_of(r.http), std::move(r.steps)});
        open_.erase(it);
        if (ended_.size() > max_recorded_requests)
        {
            ended_.pop_front();
        }
    }
    if (stopping_ && open_.empty() && on_stopped_)
    {
        std::exchange(on_stopped_, nullptr)();
    }
}

void request_service::on_disconnected(ports::exchange_id exchange)
{
    const auto it = by_exchange_.find(exchange);
    if (it == by_exchange_.end())
    {
        return;
    }
    const auto id = it->second;
    record_step(open_.at(id), "caller went away");
    execute_actions(
        id, dispatch::on_caller_disconnected(open_.at(id).flow, sender_, context_.scheduler.now()));
}

ports::held_reply request_service::held_permits(const ports::held_query& query)
{
    ports::held_reply reply;
    reply.epoch = members_.roster().epoch;
    reply.member = context_.self.id;
    reply.incarnation = context_.self.incarnation;
    if (reply.epoch < query.epoch)
    {
        return reply; // the owner queries again until this member has adopted its epoch
    }
    dispatch::on_held_query(sender_, query);
    for (const auto& [id, r] : open_)
    {
        for (auto& one : dispatch::held_permits(r.flow, context_.scheduler.now()))
        {
            if (std::find(query.pools.begin(), query.pools.end(), one.pool) != query.pools.end())
            {
                reply.permits.push_back(std::move(one));
            }
        }
    }
    return reply;
}

void request_service::tick()
{
    const auto now = context_.scheduler.now();
    std::vector<request_id> due;
    for (const auto& [id, r] : open_)
    {
        if (dispatch::next_timer(r.flow) <= now)
        {
            due.push_back(id);
        }
    }
    for (const auto id : due)
    {
        const auto it = open_.find(id);
        if (it != open_.end())
        {
            execute_actions(id, dispatch::on_timer(it->second.flow, sender_, now));
        }
    }
}

std::vector<std::string> request_service::explain(const std::string& id) const
{
    const auto it = std::find_if(ended_.rbegin(),
        ended_.rend(),
        [&](const auto& one) { return one.id == id || (!one.key.empty() && one.key == id); });
    return it == ended_.rend() ? std::vector<std::string>{} : it->steps;
}

} // namespace camphorhitch::daemon
