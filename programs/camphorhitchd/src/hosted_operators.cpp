#include "hosted_operators.hpp"

#include "hosted/range_reader.hpp"
#include "hosted_tables.hpp"
#include "statement_results.hpp"
#include "workflow/documents.hpp"

#include <utility>

namespace camphorhitch::daemon
{

namespace
{

constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
/// Deadline of a command. Operators wait longer than callers: their client gives up after 10 s.
constexpr core::millis operator_timeout{5000};
constexpr const char* unsupported_statement =
    "on a hosting platform this is its own operators' to change; here: show jobs, hosts, pools, "
    "config; why job; submit job; cancel job";

using result_callback = std::function<void(statement_result)>;

statement_result shown(
    const language::show_statement& s, const language::table& all, const std::string& document)
{
    const auto rows = language::evaluate(s, all, document);
    if (const auto* findings = std::get_if<core::findings>(&rows))
    {
        return error_result(*findings);
    }
    const auto& t = std::get<language::table>(rows);
    return {true, {}, language::to_text(t), language::to_json(t)};
}

statement_result submitted(const std::string& id, hosted::submit_outcome it)
{
    switch (it)
    {
    case hosted::submit_outcome::accepted:
        return success_result("job " + id + ": accepted\n");
    case hosted::submit_outcome::not_accepted:
        return error_result(
            core::error_code::unavailable, "job " + id + ": certainly not accepted");
    case hosted::submit_outcome::id_taken:
        return error_result(
            core::error_code::conflict, "job " + id + ": the id belongs to a job of a workspace");
    case hosted::submit_outcome::overloaded:
        return error_result(core::error_code::unavailable,
            "job " + id + ": not accepted, as its pool can't complete it in time");
    case hosted::submit_outcome::cancelled:
        return error_result(core::error_code::conflict,
            "job " + id + ": not accepted, as it was cancelled before it was stored");
    case hosted::submit_outcome::unknown:
        break;
    }
    return error_result(
        core::error_code::unknown_effect, "job " + id + ": it may have been accepted");
}

statement_result cancelled(const std::string& id, hosted::cancel_outcome it)
{
    switch (it)
    {
    case hosted::cancel_outcome::cancelled:
        return success_result("job " + id + ": cancelled, or it had ended\n");
    case hosted::cancel_outcome::no_such_job:
        return error_result(core::error_code::not_found, "no job named " + id);
    case hosted::cancel_outcome::not_cancelled:
        return error_result(
            core::error_code::unavailable, "job " + id + ": certainly not cancelled");
    case hosted::cancel_outcome::unknown:
        break;
    }
    return error_result(
        core::error_code::unknown_effect, "job " + id + ": it may have been cancelled");
}

} // namespace

struct hosted_operators_impl : std::enable_shared_from_this<hosted_operators_impl>
{
    hosted_sources from;
    std::string token;

    hosted_operators_impl(hosted_sources s, std::string t) : from(std::move(s)), token(std::move(t))
    {
    }

    /// The statements of one call, which run in order.
    struct work
    {
        statement_batch batch;
        language::parse_result parsed;
        std::size_t index = 0;
        std::vector<statement_result> results;
        std::function<void(std::vector<statement_result>)> done;
    };

    std::int64_t unix_ms() const
    {
        return core::to_unix_ms(from.ctx.time.wall_now());
    }

    core::mono_time deadline() const
    {
        return from.ctx.time.now() + operator_timeout;
    }

    void run_next(const std::shared_ptr<work>& w);
    void run_one(const language::show_statement& s,
        const std::string& document,
        const result_callback& done);
    void run_one(
        const language::why_statement& s, const std::string& document, const result_callback& done);
    void run_one(const language::submit_job_statement& s,
        const std::string& document,
        const result_callback& done);
    void run_one(const language::cancel_job_statement& s,
        const std::string& document,
        const result_callback& done);
    template <class Other>
    void run_one(const Other& s, const std::string& document, const result_callback& done);
    void show_jobs(const language::show_statement& s,
        const std::string& document,
        const result_callback& done);
    void show_hosts(const language::show_statement& s,
        const std::string& document,
        const result_callback& done);
    void add_host(const ports::stored_item& it, std::vector<coordinator::host_listing>& all) const;
    void handle(
        const ports::http_request& r, const std::function<void(ports::http_response)>& answer);
};

void hosted_operators_impl::run_next(const std::shared_ptr<work>& w)
{
    const bool failed = !w->results.empty() && !w->results.back().ok;
    if (failed || w->index == w->parsed.statements.size())
    {
        w->done(w->results);
        return;
    }
    const auto& what = w->parsed.statements[w->index++].body;
    if (!language::is_query(what))
    {
        from.ctx.tel.log(ports::log_level::info,
            "command",
            {{"command", w->batch.command}, {"text", language::to_text(what)}});
    }
    const auto on_result = [self = shared_from_this(), w](statement_result it)
    {
        w->results.push_back(std::move(it));
        self->run_next(w);
    };
    std::visit([&](const auto& s) { run_one(s, w->batch.name, on_result); }, what);
}

template <class Other>
void hosted_operators_impl::run_one(const Other&, const std::string&, const result_callback& done)
{
    done(error_result(core::error_code::invalid, unsupported_statement));
}

void hosted_operators_impl::run_one(
    const language::show_statement& s, const std::string& document, const result_callback& done)
{
    if (s.table == language::table_kind::jobs)
    {
        show_jobs(s, document, done);
        return;
    }
    if (s.table == language::table_kind::hosts)
    {
        show_hosts(s, document, done);
        return;
    }
    const bool of_config =
        s.table == language::table_kind::pools || s.table == language::table_kind::config;
    if (!of_config)
    {
        done(error_result(core::error_code::invalid, unsupported_statement));
        return;
    }
    const auto* const config = from.config();
    if (config == nullptr)
    {
        done(error_result(core::error_code::unavailable, "no configuration is known yet"));
        return;
    }
    const bool pools = s.table == language::table_kind::pools;
    const auto age = from.ctx.time.now() - from.config_confirmed_at();
    done(shown(s, pools ? pool_table(*config) : config_table(*config, age), document));
}

void hosted_operators_impl::show_jobs(
    const language::show_statement& s, const std::string& document, const result_callback& done)
{
    hosted::list_jobs(from.ctx,
        [self = shared_from_this(), s, document, done](
            const core::result<std::vector<hosted::stored_job>>& all)
        {
            if (!core::is_ok(all))
            {
                done(error_result(core::failure(all).code, core::failure(all).message));
                return;
            }
            done(shown(s, job_table(core::value(all), self->unix_ms()), document));
        });
}

void hosted_operators_impl::add_host(
    const ports::stored_item& it, std::vector<coordinator::host_listing>& all) const
{
    const auto id = it.key.substr(from.formats.runner_prefix.size());
    const auto read = from.formats.read_runner(id, it.value);
    if (core::is_ok(read))
    {
        all.push_back(core::value(read));
        return;
    }
    from.ctx.tel.log(ports::log_level::error,
        "runner_entry_damaged",
        {{"host", id}, {"reason", core::failure(read).message}});
}

void hosted_operators_impl::show_hosts(
    const language::show_statement& s, const std::string& document, const result_callback& done)
{
    const auto all = std::make_shared<std::vector<coordinator::host_listing>>();
    hosted::read_range(
        from.ctx,
        from.formats.runner_prefix,
        [self = shared_from_this(), all](const ports::stored_item& it)
        { self->add_host(it, *all); },
        [s, document, done, all](bool whole)
        {
            done(whole
                     ? shown(s, host_table(*all), document)
                     : error_result(core::error_code::unavailable, "the store can't be read now"));
        });
}

void hosted_operators_impl::run_one(
    const language::why_statement& s, const std::string&, const result_callback& done)
{
    if (s.kind != language::subject_kind::job)
    {
        done(error_result(core::error_code::invalid, unsupported_statement));
        return;
    }
    hosted::find_job(from.ctx,
        s.id.text,
        [self = shared_from_this(), done](const core::result<hosted::stored_job>& found)
        {
            if (!core::is_ok(found))
            {
                done(error_result(core::failure(found).code, core::failure(found).message));
                return;
            }
            const auto& j = core::value(found);
            const auto steps = self->from.driver.explain_job(j.id);
            const auto leader = self->from.lead.leader();
            done(success_result(explain(j, steps, leader, self->from.ctx.member, self->unix_ms())));
        });
}

void hosted_operators_impl::run_one(const language::submit_job_statement& s,
    const std::string& document,
    const result_callback& done)
{
    auto read = workflow::read_request(s.json, document);
    if (const auto* findings = std::get_if<core::findings>(&read))
    {
        done(error_result(*findings));
        return;
    }
    auto& request = std::get<workflow::job_request>(read);
    if (const auto reason = from.formats.check_job_id(request.id); !reason.empty())
    {
        done(error_result(core::findings{{{document, "/id", 0, 0}, reason, {}}}));
        return;
    }
    const auto* const config = from.config();
    const auto* const q =
        config == nullptr ? nullptr : hosted::find_queue_named(*config, request.queue);
    if (q == nullptr)
    {
        done(config == nullptr
                 ? error_result(core::error_code::unavailable, "no configuration is known yet")
                 : error_result(core::error_code::not_found, "no queue named " + request.queue));
        return;
    }
    workflow::job j;
    j.id = request.id;
    j.payload = std::move(request.payload);
    j.steps = std::move(request.steps);
    j.timing = request.timing;
    hosted::apply_queue_settings(j, *q, unix_ms());
    from.job_requests.submit(
        j, deadline(), [done, id = j.id](hosted::submit_outcome it) { done(submitted(id, it)); });
}

void hosted_operators_impl::run_one(
    const language::cancel_job_statement& s, const std::string&, const result_callback& done)
{
    from.job_requests.cancel({s.id.text, {}},
        deadline(),
        [done, id = s.id.text](hosted::cancel_outcome it) { done(cancelled(id, it)); });
}

void hosted_operators_impl::handle(
    const ports::http_request& r, const std::function<void(ports::http_response)>& answer)
{
    if (!is_authorized(r, token))
    {
        from.ctx.tel.log(ports::log_level::warning, "operator_refused", {{"path", r.path}});
        answer(answer_text(status_unauthorized, "a token is needed"));
        return;
    }
    if (r.path != "/v1/execute" || r.method != "POST")
    {
        answer(answer_text(status_not_found, "here only statements are run: POST /v1/execute"));
        return;
    }
    const auto batch = read_batch(r.body);
    if (!batch)
    {
        answer(answer_text(
            status_bad_request, "the body must be an object with the texts 'text' and 'command'"));
        return;
    }
    const answer_metadata heading{from.ctx.member, true, true, true};
    if (batch->check_only)
    {
        answer(answer_results(heading, {}));
        return;
    }
    auto w = std::make_shared<work>();
    w->batch = *batch;
    w->parsed = language::parse(batch->text, batch->name);
    w->done = [heading, answer](const std::vector<statement_result>& all)
    {
        answer(answer_results(heading, all));
    };
    if (!w->parsed.findings.empty())
    {
        w->done({error_result(w->parsed.findings)});
        return;
    }
    run_next(w);
}

hosted_operators::hosted_operators(hosted_sources from, std::string token)
    : state_(std::make_shared<hosted_operators_impl>(std::move(from), std::move(token)))
{
}

hosted_operators::~hosted_operators() = default;

ports::http_events hosted_operators::events(
    const std::function<const ports::http_server&()>& server)
{
    ports::http_events out;
    out.on_request = [state = state_, server](ports::exchange_id id, const ports::http_request& r)
    {
        state->handle(
            r, [server, id](ports::http_response it) { server().respond(id, std::move(it)); });
    };
    out.on_gone = [](ports::exchange_id) {
    };
    return out;
}

} // namespace camphorhitch::daemon
