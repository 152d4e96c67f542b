#include "wire.hpp"

#include "core/base64.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace camphorhitch::store
{

namespace
{

using json = nlohmann::json;

constexpr int http_ok = 200;
constexpr int http_unauthorized = 401;
constexpr int http_too_many = 429;

/// gRPC codes that etcd returns before it proposes a write. All other codes, including
/// Unavailable (14), can also mean "request timed out", after which the write may still happen.
enum grpc_code : int
{
    grpc_invalid_argument = 3,
    grpc_not_found = 5,
    grpc_already_exists = 6,
    grpc_permission_denied = 7,
    grpc_resource_exhausted = 8,
    grpc_failed_precondition = 9,
    grpc_out_of_range = 11,
    grpc_unimplemented = 12,
    grpc_unauthenticated = 16
};

constexpr std::array refusal_codes = {grpc_invalid_argument,
    grpc_not_found,
    grpc_already_exists,
    grpc_permission_denied,
    grpc_resource_exhausted,
    grpc_failed_precondition,
    grpc_out_of_range,
    grpc_unimplemented,
    grpc_unauthenticated};

constexpr unsigned char max_byte = 0xff;
const std::string first_key(1, '\0'); ///< as a range_end: up to the last key

/// \return the first key after all keys that start with \p prefix.
std::string prefix_end(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == max_byte)
    {
        prefix.pop_back();
    }
    if (prefix.empty())
    {
        return first_key;
    }
    ++prefix.back();
    return prefix;
}

json range_json(const std::string& prefix)
{
    return {{"key", core::to_base64(prefix.empty() ? first_key : prefix)},
        {"range_end", core::to_base64(prefix_end(prefix))}};
}

json comparison_json(const std::string& key, ports::revision expected)
{
    return {{"key", core::to_base64(key)},
        {"target", "MOD"},
        {"result", "EQUAL"},
        {"mod_revision", std::to_string(expected)}};
}

/// \return a transaction with one comparison, one effect, and a read of the current entry when the
/// comparison fails.
json transaction_json(const std::string& key, ports::revision expected, json effect)
{
    const json read = {{"request_range", {{"key", core::to_base64(key)}}}};
    return {{"compare", json::array({comparison_json(key, expected)})},
        {"success", json::array({std::move(effect)})},
        {"failure", json::array({read})}};
}

json parse(const std::string& text)
{
    return json::parse(text, nullptr, false);
}

/// \return the member; null when it does not exist.
const json& member(const json& object, const char* name)
{
    static const json none;
    if (!object.is_object())
    {
        return none;
    }
    const auto it = object.find(name);
    return it == object.end() ? none : *it;
}

/// \return the number; 0 when the member is omitted; nothing when it is not a number.
std::optional<std::int64_t> number_at(const json& object, const char* name)
{
    const auto& it = member(object, name);
    if (it.is_null())
    {
        return 0;
    }
    if (it.is_number_integer())
    {
        return it.get<std::int64_t>();
    }
    if (!it.is_string())
    {
        return std::nullopt;
    }
    const auto& text = it.get_ref<const std::string&>();
    std::int64_t n = 0;
    const auto* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, n);
    return ec == std::errc{} && stop == end ? std::optional(n) : std::nullopt;
}

/// \return the bytes; empty when the member is omitted; nothing when it is not base64.
std::optional<std::string> bytes_at(const json& object, const char* name)
{
    const auto& it = member(object, name);
    if (it.is_null())
    {
        return std::string();
    }
    return it.is_string() ? core::from_base64(it.get_ref<const std::string&>()) : std::nullopt;
}

bool is_true(const json& object, const char* name)
{
    const auto& it = member(object, name);
    return it.is_boolean() && it.get<bool>();
}

std::optional<ports::kv_entry> read_entry(const json& kv)
{
    const auto key = bytes_at(kv, "key");
    const auto value = bytes_at(kv, "value");
    const auto modified = number_at(kv, "mod_revision");
    const auto lease = number_at(kv, "lease");
    if (!key || !value || !modified || !lease || *modified <= 0)
    {
        return std::nullopt;
    }
    return ports::kv_entry{*key, *value, *modified, *lease};
}

/// \return the store's revision, which every valid answer contains; nothing when it is missing.
std::optional<ports::revision> revision_of(const json& answer)
{
    const auto n = number_at(member(answer, "header"), "revision");
    return n.value_or(0) > 0 ? n : std::nullopt;
}

std::optional<std::vector<ports::kv_entry>> read_entries(const json& kvs)
{
    std::vector<ports::kv_entry> out;
    for (const auto& kv : kvs)
    {
        auto it = read_entry(kv);
        if (!it)
        {
            return std::nullopt;
        }
        out.push_back(std::move(*it));
    }
    return out;
}

std::optional<ports::kv_write> read_conflict(const json& answer)
{
    const auto& responses = member(answer, "responses");
    if (!responses.is_array() || responses.size() != 1)
    {
        return std::nullopt;
    }
    const auto& range = member(responses[0], "response_range");
    const auto found = read_entries(member(range, "kvs"));
    if (!range.is_object() || !found)
    {
        return std::nullopt;
    }
    ports::kv_write out;
    out.status = ports::kv_status::conflict;
    if (!found->empty())
    {
        out.current = found->front();
        out.modified = out.current.modified;
    }
    return out;
}

std::optional<ports::kv_lease> read_lease(const json& it)
{
    const auto id = number_at(it, "ID");
    const auto ttl_seconds = number_at(it, "TTL");
    if (id.value_or(0) == 0 || !ttl_seconds)
    {
        return std::nullopt;
    }
    ports::kv_lease out;
    out.status = ports::kv_status::ok;
    out.id = *id;
    out.ttl = std::chrono::seconds{std::max<std::int64_t>(*ttl_seconds, 0)};
    return out;
}

std::optional<ports::kv_event> read_event(const json& event)
{
    const auto& type = member(event, "type");
    auto entry = read_entry(member(event, "kv"));
    if (!entry)
    {
        return std::nullopt;
    }
    return ports::kv_event{type.is_string() && type == "DELETE", std::move(*entry)};
}

int grpc_code_of(const ports::http_outcome& outcome)
{
    return static_cast<int>(number_at(parse(outcome.response.body), "code").value_or(0));
}

bool is_certain_refusal(const ports::http_outcome& outcome)
{
    const int status = outcome.response.status;
    if (status == http_unauthorized || status == http_too_many)
    {
        return true;
    }
    const int code = grpc_code_of(outcome);
    return std::any_of(
        refusal_codes.begin(), refusal_codes.end(), [&](int it) { return it == code; });
}

} // namespace

std::string key_body(const std::string& key)
{
    return json{{"key", core::to_base64(key)}}.dump();
}

std::string prefix_body(const std::string& prefix)
{
    return range_json(prefix).dump();
}

std::string put_body(const std::string& key,
    const std::string& value,
    ports::revision expected,
    ports::lease_id lease)
{
    json put = {{"key", core::to_base64(key)}, {"value", core::to_base64(value)}};
    if (lease != 0)
    {
        put["lease"] = std::to_string(lease);
    }
    return transaction_json(key, expected, {{"request_put", put}}).dump();
}

std::string delete_body(const std::string& key, ports::revision expected)
{
    const json remove = {{"request_delete_range", {{"key", core::to_base64(key)}}}};
    return transaction_json(key, expected, remove).dump();
}

std::string check_body(const std::string& key, ports::revision expected)
{
    return json{{"compare", json::array({comparison_json(key, expected)})}}.dump();
}

std::string grant_body(core::millis ttl)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(ttl).count();
    return json{{"TTL", std::to_string(seconds)}}.dump();
}

std::string lease_body(ports::lease_id id)
{
    return json{{"ID", std::to_string(id)}}.dump();
}

std::string watch_body(const std::string& prefix, ports::revision from)
{
    json create = range_json(prefix);
    create["start_revision"] = std::to_string(from);
    return json{{"create_request", create}}.dump();
}

ports::kv_status invalid_answer_status(effect what)
{
    return what == effect::write ? ports::kv_status::unknown : ports::kv_status::unavailable;
}

ports::kv_status status_of(const ports::http_outcome& outcome, effect what)
{
    if (outcome.end == ports::call_end::not_sent)
    {
        return ports::kv_status::unavailable;
    }
    if (outcome.end != ports::call_end::answered)
    {
        return invalid_answer_status(what);
    }
    if (outcome.response.status == http_ok)
    {
        return ports::kv_status::ok;
    }
    return is_certain_refusal(outcome) ? ports::kv_status::rejected : invalid_answer_status(what);
}

bool is_lease_not_found(const ports::http_outcome& outcome)
{
    return outcome.end == ports::call_end::answered && outcome.response.status != http_ok &&
           grpc_code_of(outcome) == grpc_not_found;
}

std::optional<ports::kv_read> read_range(const std::string& text)
{
    const auto answer = parse(text);
    const auto revision = revision_of(answer);
    auto entries = read_entries(member(answer, "kvs"));
    if (!revision || !entries)
    {
        return std::nullopt;
    }
    return ports::kv_read{ports::kv_status::ok, std::move(*entries), *revision};
}

std::optional<ports::kv_write> read_transaction(const std::string& text)
{
    const auto answer = parse(text);
    const auto revision = revision_of(answer);
    if (!revision)
    {
        return std::nullopt;
    }
    if (!is_true(answer, "succeeded"))
    {
        return read_conflict(answer);
    }
    ports::kv_write out;
    out.status = ports::kv_status::ok;
    out.modified = *revision;
    return out;
}

std::optional<ports::kv_write> read_check(const std::string& text)
{
    const auto answer = parse(text);
    if (!revision_of(answer))
    {
        return std::nullopt;
    }
    ports::kv_write out;
    out.status = is_true(answer, "succeeded") ? ports::kv_status::ok : ports::kv_status::conflict;
    return out;
}

std::optional<ports::kv_lease> read_grant(const std::string& text)
{
    return read_lease(parse(text));
}

std::optional<ports::kv_lease> read_keep_alive(const std::string& text)
{
    return read_lease(member(parse(text), "result"));
}

watch_message read_watch_line(const std::string& line)
{
    const auto parsed = parse(line);
    const auto& result = member(parsed, "result");
    watch_message out;
    if (!result.is_object() || is_true(result, "canceled") ||
        number_at(result, "compact_revision") != 0)
    {
        out.ended = true;
        return out;
    }
    for (const auto& it : member(result, "events"))
    {
        auto event = read_event(it);
        if (!event)
        {
            out.ended = true;
            return out;
        }
        out.events.push_back(std::move(*event));
    }
    return out;
}

} // namespace camphorhitch::store
