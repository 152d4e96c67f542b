#include "services.hpp"

#include "model/keys.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::daemon
{

namespace
{

/// Allowance for the time from a claim's grant to the permit request.
constexpr core::millis permit_slack{5000};

/// Combines the daemon's claim settings with those of the operators' configuration.
claims::claim_settings claim_settings_for(claims::claim_settings out, const model::configuration& c)
{
    out.key_memory = c.key_memory;
    out.keys_per_slot = static_cast<std::size_t>(c.keys_per_slot);
    out.answer_kept_bytes = static_cast<std::size_t>(c.answer_kept_bytes);
    for (const auto& pool : c.pools)
    {
        out.max_request_time = std::max(out.max_request_time, pool.long_running.longest);
    }
    // A claim's grant must outlast the wait for a permit; otherwise requests with a long wait would
    // never be sent.
    out.permit_ttl = out.max_request_time + permit_slack;
    return out;
}

} // namespace

services::services(context& c, service_settings s) : ctx(c), settings(std::move(s))
{
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
    members = std::make_unique<membership_service>(ctx,
        settings.freshness,
        membership_events{[this] { on_roster(); },
            [this](const std::string& text, bool fresh) { config->on_offer(text, fresh); },
            [this](const model::member_record& who)
            {
                permits->on_process_gone(who);
            }});
    config = std::make_unique<config_service>(ctx, *members);
    permits = std::make_unique<permit_service>(ctx, *members, settings.dispatcher);
    claims =
        std::make_unique<claim_service>(ctx, *members, claim_settings_for(settings.claims, {}));
    requests = std::make_unique<request_service>(ctx, *members, *permits, *claims, settings.sender);
    fleet = std::make_unique<fleet_service>(ctx, *members, *permits);
    jobs = std::make_unique<job_service>(ctx, *members, *permits, *fleet, settings.jobs);
    intake = std::make_unique<job_intake>(ctx, *fleet, settings.jobs);
    experiments = std::make_unique<experiment_service>(ctx, *members, *fleet, *jobs);
    operators = std::make_unique<operator_service>(ctx,
        service_refs{
            *members, *config, *permits, *claims, *requests, *fleet, *jobs, *intake, *experiments},
        settings.operator_token,
        settings.metrics);
    stopping = std::make_unique<stop_sequence>(ctx, *members, *claims, *requests);
    handlers_ = make_handlers();
    permits->set_held([this](const ports::held_query& it) { return requests->held_permits(it); });
    config->set_listener([this](const model::configuration& it) { on_config(it); });
    fleet->set_job_hooks({[this](const std::string& pool, const std::string& host)
        { return jobs->tasks_on(pool, host); },
        [this](const std::string& pool, const std::string& host, core::millis left)
        {
            jobs->move_off(pool, host, left);
        }});
}

services::~services() = default;

const ports::peer_handlers& services::handlers() const
{
    return handlers_;
}

ports::peer_handlers services::make_handlers()
{
    ports::peer_handlers h;
    h.beat = [this](const auto& it, const auto& reply)
    {
        reply(members->on_heartbeat(it));
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
        reply(requests->held_permits(it));
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

ports::http_events services::caller_events()
{
    return {[this](ports::exchange_id id, ports::http_request r)
        { requests->on_request(id, std::move(r)); },
        [this](ports::exchange_id id)
        {
            requests->on_disconnected(id);
        }};
}

ports::http_events services::operator_events()
{
    return {[this](ports::exchange_id id, ports::http_request r)
        { operators->on_request(id, std::move(r)); },
        [this](ports::exchange_id id)
        {
            operators->on_disconnected(id);
        }};
}

void services::start()
{
    documents->start();
    members->start();
    fleet->start();
    jobs->start();
    experiments->start();
}

void services::on_document(const ports::kv_entry& entry)
{
    members->on_document(entry);
    config->on_document(entry);
    fleet->on_document(entry);
    jobs->on_document(entry);
    experiments->on_document(entry);
}

void services::on_roster()
{
    permits->on_roster();
    claims->on_roster();
    requests->on_roster();
    fleet->on_roster();
    jobs->on_roster();
}

void services::on_config(const model::configuration& c)
{
    const auto claim_config = claim_settings_for(settings.claims, c);
    claims->on_settings(claim_config);
    requests->on_claim_settings(claim_config.permit_ttl, claim_config.key_memory);
    fleet->on_config(c);
    requests->on_config(c);
    permits->on_config(c);
}

} // namespace camphorhitch::daemon
