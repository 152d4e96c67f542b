#include "statement_runner.hpp"

#include "explanations.hpp"
#include "fleet/pool_rules.hpp"
#include "fleet_tables.hpp"
#include "job_statements.hpp"
#include "language/settings.hpp"
#include "membership/owners.hpp"
#include "model/codec.hpp"
#include "model/keys.hpp"
#include "statement_checks.hpp"
#include "statement_results.hpp"
#include "wave_commands.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::daemon
{

namespace
{

std::string statement_command(const std::string& command, std::size_t index)
{
    return command + "/" + std::to_string(index);
}

core::error unreadable_document(const std::string& key, const core::findings& why)
{
    return {core::error_code::unavailable, key + ": " + core::to_text(why)};
}

} // namespace

struct statement_runner::work
{
    statement_batch batch;
    language::parse_result parsed;
    std::size_t index = 0;
    std::vector<statement_result> results;
    callback done;
};

statement_runner::statement_runner(context& c, service_refs services)
    : context_(c), services_(services)
{
}

void statement_runner::run(const statement_batch& batch, callback done)
{
    auto w = std::make_shared<work>();
    w->batch = batch;
    w->parsed = language::parse(batch.text, batch.name);
    w->done = std::move(done);
    if (const auto findings = check_statements(w->parsed, services_, batch.name); !findings.empty())
    {
        w->done({error_result(findings)});
        return;
    }
    run_next(w);
}

void statement_runner::run_next(const std::shared_ptr<work>& w)
{
    const bool failed = !w->results.empty() && !w->results.back().ok;
    if (failed || w->index == w->parsed.statements.size())
    {
        w->done(w->results);
        return;
    }
    const auto index = w->index++;
    const statement_context at{w->batch.name, statement_command(w->batch.command, index)};
    const auto& what = w->parsed.statements[index].body;
    if (!language::is_query(what))
    {
        context_.log(ports::log_level::info,
            "command",
            {{"command", at.command}, {"text", language::to_text(what)}});
    }
    std::visit(
        [&](const auto& s)
        {
            run_one(s,
                at,
                [this, w](statement_result it)
                {
                    w->results.push_back(std::move(it));
                    run_next(w);
                });
        },
        what);
}

bool statement_runner::is_settled(const statement_batch& batch) const
{
    const auto parsed = language::parse(batch.text, batch.name);
    for (std::size_t i = 0; i < parsed.statements.size(); ++i)
    {
        const auto command = statement_command(batch.command, i);
        const auto& what = parsed.statements[i].body;
        if (std::holds_alternative<language::set_statement>(what) &&
            (!services_.config.is_applied(command) ||
                !services_.config.in_force_everywhere(services_.config.current().version)))
        {
            return false;
        }
        const bool starts_wave = std::holds_alternative<language::start_wave_statement>(what) ||
                                 std::holds_alternative<language::drain_statement>(what);
        if (starts_wave && !wave_has_ended(command, services_.fleet))
        {
            return false;
        }
        if (!host_settled(what))
        {
            return false;
        }
    }
    return true;
}

bool statement_runner::host_settled(const language::statement& what) const
{
    if (const auto* moved = std::get_if<language::move_statement>(&what))
    {
        const auto owner = fleet::owner_of(moved->host.text, services_.fleet.pools());
        return owner.pool == moved->pool.text && !owner.in_transit;
    }
    const auto* drain = std::get_if<language::drain_statement>(&what);
    if (drain == nullptr || drain->scope != language::drain_scope::host)
    {
        return true;
    }
    const auto owner = fleet::owner_of(drain->scope_name.text, services_.fleet.pools());
    const auto* pool = services_.fleet.find_pool(owner.pool);
    const auto* host =
        pool == nullptr ? nullptr : model::find_host(pool->document, drain->scope_name.text);
    const bool under_way = host != nullptr && host->purpose != model::drain_purpose::none;
    const bool gone = host == nullptr || host->state == model::host_state::drained;
    return !under_way || (drain->leaving && gone);
}

void statement_runner::run_one(
    const language::show_statement& s, const statement_context& at, const result_callback& done)
{
    const auto shown = language::evaluate(s, make_table(s.table, services_), at.document);
    if (const auto* findings = std::get_if<core::findings>(&shown))
    {
        done(error_result(*findings));
        return;
    }
    const auto& t = std::get<language::table>(shown);
    done({true, {}, language::to_text(t), language::to_json(t)});
}

void statement_runner::run_one(
    const language::why_statement& s, const statement_context& /*at*/, result_callback done)
{
    if (s.kind == language::subject_kind::request)
    {
        query_peers(s, std::move(done));
        return;
    }
    const auto text = explain(s.kind, s.id.text, services_);
    const auto kind = std::string(core::name_of(language::subject_kind_names, s.kind));
    done(text ? success_result(*text)
              : error_result(core::error_code::not_found, "no " + kind + " named " + s.id.text));
}

/// The steps of a request are recorded by the entry host that handled it, so all members are
/// queried.
void statement_runner::query_peers(const language::why_statement& s, result_callback done)
{
    struct reply_collector
    {
        std::string text;
        std::size_t pending = 0;
        result_callback done;
    };
    auto all = std::make_shared<reply_collector>();
    all->text = explain(s.kind, s.id.text, services_).value_or("");
    all->done = std::move(done);
    const auto finish = [all, id = s.id.text]
    {
        all->done(all->text.empty() ? error_result(core::error_code::not_found,
                                          "no entry host remembers request " + id)
                                    : success_result(all->text));
    };
    const auto& members = services_.members.roster().members;
    all->pending = static_cast<std::size_t>(std::count_if(members.begin(),
        members.end(),
        [&](const auto& it) { return !membership::same_process(it, context_.self); }));
    if (all->pending == 0)
    {
        finish();
        return;
    }
    for (const auto& it : members)
    {
        if (membership::same_process(it, context_.self))
        {
            continue;
        }
        context_.peers.explain(it.address,
            {"request", s.id.text},
            [all, finish, id = it.id](ports::peer_status status, const ports::explain_reply& reply)
            {
                if (status == ports::peer_status::ok && !reply.lines.empty())
                {
                    all->text += "at " + id + "\n";
                    for (const auto& line : reply.lines)
                    {
                        all->text += "  " + line + "\n";
                    }
                }
                if (--all->pending == 0)
                {
                    finish();
                }
            });
    }
}

void statement_runner::run_one(
    const language::set_statement& s, const statement_context& at, result_callback done)
{
    if (const auto findings = language::check(s, at.document); !findings.empty())
    {
        done(error_result(findings));
        return;
    }
    services_.config.change(
        at.command,
        [s, document = at.document](model::configuration& c) -> core::result<core::done>
        {
            const auto findings = language::apply(s, c, document);
            return findings.empty()
                       ? core::result<core::done>{core::done{}}
                       : core::error{core::error_code::invalid, core::to_text(findings)};
        },
        [done = std::move(done)](const core::result<std::int64_t>& end)
        {
            done(core::is_ok(end)
                     ? success_result(
                           "configuration version " + std::to_string(core::value(end)) + "\n")
                     : error_result(core::failure(end).code, core::failure(end).message));
        });
}

void statement_runner::change_host(
    const std::string& host, fleet::pool_event event, result_callback done)
{
    const auto owner = fleet::owner_of(host, services_.fleet.pools());
    if (owner.pool.empty())
    {
        done(error_result(core::error_code::not_found, "no host named " + host));
        return;
    }
    const auto note = std::make_shared<std::string>();
    update_document(
        context_.document_updater(),
        model::keys::pools + owner.pool,
        [this, event = std::move(event), note, pool = owner.pool](
            const std::string* current) -> change_result
        {
            auto decoded = model::decode_pool(
                current == nullptr ? "{}" : *current, pool, model::strictness::lenient);
            if (const auto* findings = std::get_if<core::findings>(&decoded))
            {
                return unreadable_document(pool, *findings);
            }
            const auto changed = fleet::change(std::get<model::pool_document>(decoded),
                event,
                services_.config.current(),
                context_.scheduler.wall_now());
            if (!core::is_ok(changed))
            {
                return core::failure(changed);
            }
            *note = core::value(changed).outcome.note;
            return core::value(changed).outcome.changed
                       ? std::optional<std::string>{model::encode(core::value(changed).next)}
                       : std::optional<std::string>{};
        },
        [note, host, done = std::move(done)](const core::result<core::done>& end)
        { done(result_of(end, note->empty() ? "host " + host + ": done\n" : *note + "\n")); });
}

void statement_runner::run_one(
    const language::move_statement& s, const statement_context& at, result_callback done)
{
    change_host(
        s.host.text, fleet::move_request{s.host.text, s.pool.text, at.command}, std::move(done));
}

void statement_runner::run_one(
    const language::drain_statement& s, const statement_context& at, result_callback done)
{
    if (s.leaving && s.scope == language::drain_scope::host)
    {
        change_host(s.scope_name.text,
            fleet::leave_request{s.scope_name.text, at.command},
            std::move(done));
        return;
    }
    if (s.leaving)
    {
        done(error_result(core::error_code::invalid, "'for leaving' takes one host"));
        return;
    }
    if (s.scope == language::drain_scope::host && !s.wave)
    {
        change_host(s.scope_name.text,
            fleet::drain_request{s.scope_name.text, at.command},
            std::move(done));
        return;
    }
    start_wave(make_wave_start_request(s, at.command), std::move(done));
}

void statement_runner::run_one(
    const language::start_wave_statement& s, const statement_context& at, result_callback done)
{
    fleet::wave_start_request request{
        s.id.text, {}, s.policy ? s.policy->text : std::string{}, at.command};
    if (!s.where.empty())
    {
        const auto hosts = make_table(language::table_kind::hosts, services_);
        const auto rows = language::select_rows(hosts, s.where, at.document);
        if (const auto* findings = std::get_if<core::findings>(&rows))
        {
            done(error_result(*findings));
            return;
        }
        for (const auto n : std::get<std::vector<std::size_t>>(rows))
        {
            request.selection.hosts.push_back(std::get<std::string>(hosts.rows[n].front()));
        }
        if (request.selection.hosts.empty())
        {
            done(error_result(core::error_code::not_found, "no host matches the conditions"));
            return;
        }
    }
    start_wave(request, std::move(done));
}

void statement_runner::start_wave(const fleet::wave_start_request& request, result_callback done)
{
    write_wave_start(context_,
        services_.fleet,
        request,
        [id = request.id, done = std::move(done)](const core::result<std::string>& end) {
            done(result_of(
                end, core::is_ok(end) ? "wave " + id + ": " + core::value(end) + "\n" : ""));
        });
}

void statement_runner::run_one(
    const language::cancel_wave_statement& s, const statement_context& at, result_callback done)
{
    write_wave_change(context_,
        services_.fleet,
        s.id.text,
        wave_verb::cancel,
        at.command,
        [id = s.id.text, done = std::move(done)](const core::result<std::string>& end)
        { done(result_of(end, "wave " + id + " cancelled\n")); });
}

void statement_runner::run_one(
    const language::resume_wave_statement& s, const statement_context& at, result_callback done)
{
    write_wave_change(context_,
        services_.fleet,
        s.id.text,
        wave_verb::resume,
        at.command,
        [id = s.id.text, done = std::move(done)](const core::result<std::string>& end)
        { done(result_of(end, "wave " + id + " resumed\n")); });
}

void statement_runner::run_one(const language::start_experiment_statement& s,
    const statement_context& at,
    result_callback done)
{
    constexpr core::millis default_duration{14LL * 24 * 3600 * 1000};
    experiment::start_request request;
    request.id = s.id.text;
    request.command = at.command;
    for (const auto& it : s.arms)
    {
        request.arms.push_back({it.arm.text, it.policy.text});
    }
    for (const auto& it : s.pools)
    {
        request.pools.push_back(it.text);
    }
    request.duration = s.duration.value_or(default_duration);
    request.seed = static_cast<std::uint64_t>(s.seed.value_or(1));
    services_.experiments.start_experiment(request,
        [done = std::move(done)](const core::result<std::string>& end)
        { done(result_of(end, core::is_ok(end) ? core::value(end) : "")); });
}

void statement_runner::run_one(
    const language::stop_experiment_statement& s, const statement_context& at, result_callback done)
{
    services_.experiments.stop_experiment(s.id.text,
        at.command,
        [this, id = s.id.text, done = std::move(done)](const core::result<core::done>& end)
        {
            done(result_of(
                end, services_.experiments.report(id).value_or("experiment " + id + " stops\n")));
        });
}

void statement_runner::run_one(const language::cancel_job_statement& s,
    const statement_context& at,
    const result_callback& done)
{
    cancel_job(services_, s, at.command, done);
}

void statement_runner::run_one(const language::cancel_jobs_statement& s,
    const statement_context& at,
    const result_callback& done)
{
    cancel_jobs(services_, s, at.document, at.command, done);
}

void statement_runner::run_one(const language::submit_job_statement& s,
    const statement_context& at,
    const result_callback& done)
{
    submit_job(services_, s, at.document, done);
}

} // namespace camphorhitch::daemon
