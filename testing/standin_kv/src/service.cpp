#include "service.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorhitch::standin_kv
{

using nlohmann::json;
using standin_support::exchange_ptr;
using standin_support::json_response;
using standin_support::path_parts;

namespace
{

constexpr core::millis tick_interval{20};
constexpr int grpc_not_found = 5;
constexpr int grpc_exhausted = 8;
constexpr int grpc_out_of_range = 11;

std::string line(const json& result)
{
    return json{{"result", result}}.dump() + "\n";
}

std::int64_t to_seconds(core::millis ms)
{
    return std::chrono::duration_cast<std::chrono::seconds>(ms).count();
}

/// \return whether the transaction has no write. Base64 text contains no underscore, so these names
/// can only be names of members.
bool is_check(call_kind kind, const std::string& body)
{
    return kind == call_kind::transaction && body.find("request_put") == std::string::npos &&
           body.find("request_delete_range") == std::string::npos;
}

/// \return the parsed request, or nullptr if it is invalid; it has then been answered.
template <class T>
const T* valid_request(const exchange_ptr& pending, const parsed<T>& request)
{
    if (const auto* const wrong = std::get_if<core::findings>(&request))
    {
        pending->respond(gateway_error(*wrong));
        return nullptr;
    }
    return &std::get<T>(request);
}

ports::http_response no_lease()
{
    return gateway_error(404, grpc_not_found, "etcdserver: requested lease not found");
}

} // namespace

service::service(standin_support::standin& s, service_settings settings)
    : standin_(s), settings_(settings), gate_(s,
                                            [this]
                                            {
                                                extend_all(store_, standin_.loop.now());
                                                send_all_changes();
                                            }),
      random_(s.settings.seed)
{
    store_.max_kept_bytes = settings.history_bytes;
    limiter_.limits = settings.limits;
    port_ = &gate_.listen(standin_support::make_router(s.settings.token,
        {
            counted(call_kind::range, "/v3/kv/range", &service::on_range),
            counted(call_kind::transaction, "/v3/kv/txn", &service::on_transaction),
            counted(call_kind::grant, "/v3/lease/grant", &service::on_grant),
            counted(call_kind::keep_alive, "/v3/lease/keepalive", &service::on_keep_alive),
            counted(call_kind::revoke, "/v3/lease/revoke", &service::on_revoke),
            counted(call_kind::watch, "/v3/watch", &service::on_watch),
        }));
    control_port_ = &s.server.listen(s.settings.control_port,
        standin_support::make_router(s.settings.token,
            {
                standin_support::simple_route(
                    "POST", "/control", [this](const auto& r) { return on_control(r); }),
                standin_support::simple_route(
                    "GET", "/control/stats", [this](const auto&) { return stats(); }),
                standin_support::simple_route(
                    "GET", "/control/history", [this](const auto& r) { return history(r); }),
            }));
    s.loop.every(tick_interval, [this] { tick(); });
}

standin_support::route service::counted(
    call_kind kind, std::string path, void (service::*handler)(const exchange_ptr&))
{
    const auto serve = [this, path_kind = kind, handler](
                           const exchange_ptr& pending, const path_parts&)
    {
        const auto kind = is_check(path_kind, pending->request.body) ? call_kind::check : path_kind;
        const auto now = standin_.loop.now();
        count_call(counts_, kind, pending->request.body.size(), now);
        if (!admit(limiter_, kind, now))
        {
            ++counts_.limited;
            pending->respond(gateway_error(429, grpc_exhausted, "etcdserver: too many requests"));
            return;
        }
        // Expired leases must not be visible to this call, even before the next tick.
        expire(store_, now, standin_support::unix_ms());
        (this->*handler)(pending);
        send_all_changes();
    };
    return {"POST", std::move(path), serve};
}

std::int64_t service::read_revision()
{
    if (!random_.chance(stale_reads_))
    {
        return store_.revision;
    }
    ++counts_.stale;
    const auto oldest =
        std::max({store_.compacted + 1, store_.revision - stale_revisions_, std::int64_t{1}});
    return random_.between(std::min(oldest, store_.revision), store_.revision);
}

void service::on_range(const exchange_ptr& pending)
{
    const auto request = parse_range(pending->request.body);
    const auto* const parameters = valid_request(pending, request);
    if (parameters == nullptr)
    {
        return;
    }
    const auto& r = *parameters;
    if (r.revision != 0 && (r.revision <= store_.compacted || r.revision > store_.revision))
    {
        pending->respond(gateway_error(
            400, grpc_out_of_range, "etcdserver: mvcc: required revision is not available"));
        return;
    }
    const auto revision = read_revision();
    const auto found = read(store_,
        r.range,
        r.revision != 0 ? r.revision : revision,
        static_cast<std::size_t>(r.limit));
    const auto answer = json_response(200, range_json(revision, found, r.keys_only));
    count_answer(counts_, call_kind::range, answer.body.size());
    pending->respond(answer);
}

ports::http_response service::transaction_answer(const transaction& t, verdict v)
{
    const auto header = header_json(store_.revision);
    json all = {{"header", header}};
    if (v == verdict::conflict)
    {
        ++counts_.conflicts;
        if (t.reads_on_failure)
        {
            const auto found = read(store_, {t.key, ""});
            all["responses"] = {
                {{"response_range", range_json(store_.revision, found, t.reads_keys_only)}}};
        }
        return json_response(200, all);
    }
    all["succeeded"] = true;
    if (t.does == effect::none)
    {
        return json_response(200, all);
    }
    json done = {{"header", header}};
    if (t.does == effect::remove && t.expected != 0)
    {
        done["deleted"] = "1";
    }
    const auto* const name = t.does == effect::remove ? "response_delete_range" : "response_put";
    all["responses"] = {{{name, done}}};
    return json_response(200, all);
}

void service::on_transaction(const exchange_ptr& pending)
{
    const auto request = parse_transaction(pending->request.body, settings_.max_value_bytes);
    const auto* const parameters = valid_request(pending, request);
    if (parameters == nullptr)
    {
        return;
    }
    const auto& t = *parameters;
    const auto v = apply(store_, t, standin_support::unix_ms());
    const auto answer = v == verdict::no_lease ? no_lease() : transaction_answer(t, v);
    if (t.does == effect::none)
    {
        count_answer(counts_, call_kind::check, answer.body.size());
        pending->respond(answer);
        return;
    }
    count_answer(counts_, call_kind::transaction, answer.body.size());
    gate_.answer_write(pending, t.key, answer);
}

void service::on_grant(const exchange_ptr& pending)
{
    const auto request = parse_grant(pending->request.body);
    const auto* const parameters = valid_request(pending, request);
    if (parameters == nullptr)
    {
        return;
    }
    const auto ttl = *parameters;
    const auto id = grant(store_, ttl, standin_.loop.now());
    const auto answer = json_response(200,
        {{"header", header_json(store_.revision)},
            {"ID", std::to_string(id)},
            {"TTL", std::to_string(to_seconds(ttl))}});
    count_answer(counts_, call_kind::grant, answer.body.size());
    gate_.answer_write(pending, "", answer);
}

void service::on_keep_alive(const exchange_ptr& pending)
{
    const auto request = parse_lease_id(pending->request.body);
    const auto* const parameters = valid_request(pending, request);
    if (parameters == nullptr)
    {
        return;
    }
    const auto id = *parameters;
    const auto ttl = keep_alive(store_, id, standin_.loop.now());
    json result = {{"header", header_json(store_.revision)}, {"ID", std::to_string(id)}};
    if (ttl)
    {
        result["TTL"] = std::to_string(to_seconds(*ttl));
    }
    const auto answer = json_response(200, {{"result", result}});
    count_answer(counts_, call_kind::keep_alive, answer.body.size());
    pending->respond(answer);
}

void service::on_revoke(const exchange_ptr& pending)
{
    const auto request = parse_lease_id(pending->request.body);
    const auto* const parameters = valid_request(pending, request);
    if (parameters == nullptr)
    {
        return;
    }
    const auto known = revoke(store_, *parameters, standin_support::unix_ms());
    const auto answer =
        known ? json_response(200, {{"header", header_json(store_.revision)}}) : no_lease();
    count_answer(counts_, call_kind::revoke, answer.body.size());
    gate_.answer_write(pending, "", answer);
}

void service::on_watch(const exchange_ptr& pending)
{
    const auto request = parse_watch(pending->request.body);
    const auto* const parameters = valid_request(pending, request);
    if (parameters == nullptr)
    {
        return;
    }
    const auto start =
        parameters->start_revision == 0 ? store_.revision + 1 : parameters->start_revision;
    auto it = std::make_shared<watch>();
    it->request = pending->request;
    it->range = parameters->range;
    it->next = position_of(store_, start);
    it->stream = pending->stream(200, "application/json");
    json created = {{"header", header_json(store_.revision)}, {"created", true}};
    it->stream->write(line(created));
    if (start <= store_.compacted)
    {
        created.erase("created");
        created["canceled"] = true;
        created["compact_revision"] = std::to_string(store_.compacted);
        it->stream->write(line(created));
        it->stream->finish();
        return;
    }
    const std::weak_ptr<watch> weak = it;
    it->stream->on_end = [this, weak]
    {
        std::erase_if(
            watches_, [ended_watch = weak.lock()](const auto& w) { return w == ended_watch; });
    };
    watches_.push_back(it);
    counts_.max_watches = std::max(counts_.max_watches, watches_.size());
}

void service::tick()
{
    if (!gate_.has_outage())
    {
        expire(store_, standin_.loop.now(), standin_support::unix_ms());
        send_all_changes();
    }
}

void service::send_all_changes()
{
    // Iterates over a copy: a write to a stream whose caller has closed it removes the watch from
    // the list.
    const auto all = watches_;
    for (const auto& it : all)
    {
        if (it->next < store_.history.size() && !gate_.is_partitioned(it->request))
        {
            send_changes(*it);
        }
    }
}

void service::send_changes(watch& w)
{
    const auto newest = standin_support::unix_ms() - watch_lag_.count();
    json events;
    std::int64_t revision = 0;
    for (; w.next < store_.history.size(); ++w.next)
    {
        const auto& it = store_.history[w.next];
        if (it.at_ms > newest)
        {
            break;
        }
        if (contains(w.range, it.now.key))
        {
            events.push_back(event_json(it));
            revision = it.now.mod_revision;
        }
    }
    if (!events.empty())
    {
        const auto text = line({{"header", header_json(revision)}, {"events", events}});
        count_answer(counts_, call_kind::watch, text.size());
        w.stream->write(text);
    }
}

void service::end_partitioned_watches()
{
    const auto all = watches_;
    for (const auto& it : all)
    {
        if (gate_.is_partitioned(it->request) && !gate_.partition_hangs())
        {
            it->stream->cut();
        }
    }
}

} // namespace camphorhitch::standin_kv
