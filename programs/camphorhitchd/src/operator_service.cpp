#include "operator_service.hpp"

#include "jobs/codec.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace camphorhitch::daemon
{

namespace
{

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr const char* json_type = "application/json";
constexpr const char* text_type = "text/plain; version=0.0.4";
const std::string jobs_path = "/v1/jobs";

std::string dump(const json& it)
{
    return it.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

operator_service::operator_service(
    context& c, service_refs services, std::string token, std::function<std::string()> metrics)
    : context_(c), services_(services), token_(std::move(token)), metrics_(std::move(metrics)),
      setup_(c, services), runner_(c, services)
{
}

void operator_service::set_server(ports::http_server server)
{
    server_ = std::move(server);
}

void operator_service::on_disconnected(ports::exchange_id exchange)
{
    open_.erase(exchange);
}

void operator_service::answer(
    ports::exchange_id exchange, int status, std::string body, const char* type)
{
    answer(exchange, {status, {{"Content-Type", type}}, std::move(body)});
}

void operator_service::answer(ports::exchange_id exchange, ports::http_response it)
{
    if (open_.erase(exchange) > 0)
    {
        server_.respond(exchange, std::move(it));
    }
}

void operator_service::on_request(ports::exchange_id exchange, ports::http_request request)
{
    open_.insert(exchange);
    if (!is_authorized(request, token_))
    {
        context_.log(ports::log_level::warning, "operator_refused", {{"path", request.path}});
        answer(exchange, answer_text(status_unauthorized, "a token is needed"));
    }
    else if (request.path == "/metrics")
    {
        answer(exchange, status_ok, metrics_(), text_type);
    }
    else if (request.path == "/v1/status")
    {
        answer(exchange, status_ok, status(), json_type);
    }
    else if (request.path == "/v1/execute" && request.method == "POST")
    {
        execute(exchange, request);
    }
    else if (request.path == "/v1/apply" && request.method == "PUT")
    {
        apply(exchange, request);
    }
    else if (request.path == jobs_path && request.method == "POST")
    {
        submit_jobs(exchange, request);
    }
    else if (request.path.compare(0, jobs_path.size() + 1, jobs_path + "/") == 0)
    {
        show_job(exchange, request.path.substr(jobs_path.size() + 1));
    }
    else
    {
        answer(exchange, answer_text(status_not_found, "no such path"));
    }
}

std::string operator_service::status() const
{
    const auto& claims = services_.claims.table();
    return dump({{"member", context_.self.id},
        {"incarnation", context_.self.incarnation},
        {"fresh", services_.members.fresh()},
        {"store_reachable", services_.members.store_reachable()},
        {"epoch", services_.members.roster().epoch},
        {"members", services_.members.roster().members.size()},
        {"in_roster", services_.members.in_roster()},
        {"ready", services_.requests.ready()},
        {"config_version", services_.config.current().version},
        {"open_requests", services_.requests.open_requests()},
        {"pools_owned", services_.permits.dispatchers().size()},
        {"keys_remembered", claims::stored_key_count(claims)},
        {"slots_waiting", claims::waiting_slot_count(claims)}});
}

void operator_service::answer_results(
    ports::exchange_id exchange, const std::vector<statement_result>& all, bool settled)
{
    const answer_metadata heading{
        context_.self.id, services_.members.fresh(), services_.members.store_reachable(), settled};
    answer(exchange, daemon::answer_results(heading, all));
}

void operator_service::execute(ports::exchange_id exchange, const ports::http_request& request)
{
    const auto batch = read_batch(request.body);
    if (!batch)
    {
        answer(exchange,
            answer_text(status_bad_request,
                "the body must be an object with the texts 'text' and 'command'"));
        return;
    }
    if (batch->check_only)
    {
        answer_results(exchange, {}, runner_.is_settled(*batch));
        return;
    }
    runner_.run(*batch,
        [this, exchange, batch](const std::vector<statement_result>& all)
        { answer_results(exchange, all, runner_.is_settled(*batch)); });
}

void operator_service::apply(ports::exchange_id exchange, const ports::http_request& request)
{
    const auto* id = ports::find_field(request.fields, "Camphorhitch-Command");
    if (id == nullptr || id->empty())
    {
        answer(exchange,
            answer_text(
                status_bad_request, "the field Camphorhitch-Command must name the command"));
        return;
    }
    setup_.apply(request.body,
        *id,
        [this, exchange](const std::vector<statement_result>& all)
        { answer_results(exchange, all, true); });
}

void operator_service::submit_jobs(ports::exchange_id exchange, const ports::http_request& request)
{
    const std::string prefix = "pool=";
    const auto pool = request.query.compare(0, prefix.size(), prefix) == 0
                          ? request.query.substr(prefix.size())
                          : std::string{};
    auto decoded = jobs::decode_submissions(request.body, "submission");
    if (const auto* findings = std::get_if<core::findings>(&decoded))
    {
        answer_results(
            exchange, {{false, core::error_code::invalid, core::to_text(*findings), "null"}}, true);
        return;
    }
    if (services_.fleet.find_pool(pool) == nullptr)
    {
        const auto text = "no pool '" + pool + "'; use " + jobs_path + "?pool=NAME\n";
        answer_results(exchange, {{false, core::error_code::not_found, text, "null"}}, true);
        return;
    }
    services_.intake.submit(pool,
        std::get<std::vector<jobs::submission>>(decoded),
        [this, exchange](const std::vector<intake_outcome>& all)
        {
            std::vector<statement_result> results;
            for (const auto& it : all)
            {
                const json data = {{"id", it.id}, {"accepted", it.accepted}, {"text", it.text}};
                results.push_back(
                    {it.accepted, it.code, it.id + ": " + it.text + '\n', dump(data)});
            }
            answer_results(exchange, results, true);
        });
}

void operator_service::show_job(ports::exchange_id exchange, const std::string& id)
{
    std::string pool;
    const auto* job = services_.jobs.find(id, pool);
    if (job == nullptr)
    {
        answer(exchange, answer_text(status_not_found, "no such job"));
        return;
    }
    auto data = json::parse(jobs::encode(*job), nullptr, false);
    data["pool"] = pool;
    answer(exchange, status_ok, dump(data), json_type);
}

} // namespace camphorhitch::daemon
