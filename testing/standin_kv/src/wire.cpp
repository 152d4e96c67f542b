#include "wire.hpp"

#include "core/base64.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace camphorhitch::standin_kv
{

using nlohmann::json;
using standin_support::object_reader;

namespace
{

constexpr int grpc_invalid_argument = 3;

template <class T>
parsed<T> finished(object_reader& reader, T value)
{
    auto wrong = reader.finish();
    if (!wrong.empty())
    {
        return wrong;
    }
    return value;
}

void put_number(json& to, const char* name, std::int64_t n)
{
    if (n != 0)
    {
        to[name] = std::to_string(n);
    }
}

/// \return the one element of an array, or nothing and a finding.
std::optional<object_reader> only(object_reader& reader, const char* name)
{
    auto all = reader.objects(name);
    if (all.size() != 1)
    {
        reader.add_finding(name, "must have exactly one element");
        return std::nullopt;
    }
    return std::move(all.front());
}

void read_key(object_reader& reader, const std::string& key)
{
    std::string own;
    reader.read_base64("key", own);
    if (own != key)
    {
        reader.add_finding("key", "must be the compared key");
    }
}

void parse_compare(object_reader& reader, transaction& t)
{
    auto compare = only(reader, "compare");
    if (!compare)
    {
        return;
    }
    std::string target;
    std::string result = "EQUAL";
    compare->read_base64("key", t.key);
    compare->read("target", target);
    compare->read("result", result);
    compare->read("mod_revision", t.expected);
    if (t.key.empty() || target != "MOD" || result != "EQUAL")
    {
        compare->add_finding("", "must compare one key, target MOD, result EQUAL");
    }
}

void parse_success(object_reader& reader, transaction& t, std::size_t max_value_bytes)
{
    if (!reader.has("success"))
    {
        return;
    }
    auto success = only(reader, "success");
    if (!success)
    {
        return;
    }
    auto put = success->object("request_put");
    auto remove = success->object("request_delete_range");
    if (put.has_value() == remove.has_value())
    {
        success->add_finding("", "must be one request_put or one request_delete_range");
        return;
    }
    t.does = remove ? effect::remove : effect::put;
    if (remove)
    {
        read_key(*remove, t.key);
        return;
    }
    read_key(*put, t.key);
    put->read_base64("value", t.value);
    put->read("lease", t.lease);
    if (t.value.size() > max_value_bytes)
    {
        put->add_finding("value", "is too large");
    }
}

void parse_failure(object_reader& reader, transaction& t)
{
    if (!reader.has("failure"))
    {
        return;
    }
    auto all = reader.objects("failure");
    if (all.size() > 1)
    {
        reader.add_finding("failure", "must have at most one element");
    }
    for (auto& it : all)
    {
        auto range = it.object("request_range");
        if (!range)
        {
            it.add_finding("", "must be one request_range");
            continue;
        }
        read_key(*range, t.key);
        range->read("keys_only", t.reads_keys_only);
        t.reads_on_failure = true;
    }
}

void read_range(object_reader& reader, key_range& range)
{
    reader.read_base64("key", range.from);
    reader.read_base64("range_end", range.to);
    if (range.from.empty())
    {
        reader.add_finding("key", "is missing");
    }
}

} // namespace

parsed<range_request> parse_range(const std::string& body)
{
    object_reader reader(body);
    range_request r;
    bool serializable = false;
    read_range(reader, r.range);
    reader.read("revision", r.revision);
    reader.read("limit", r.limit);
    reader.read("keys_only", r.keys_only);
    reader.read("serializable", serializable);
    return finished(reader, std::move(r));
}

parsed<transaction> parse_transaction(const std::string& body, std::size_t max_value_bytes)
{
    object_reader reader(body);
    transaction t;
    parse_compare(reader, t);
    parse_success(reader, t, max_value_bytes);
    parse_failure(reader, t);
    return finished(reader, std::move(t));
}

parsed<watch_request> parse_watch(const std::string& body)
{
    object_reader reader(body);
    watch_request w;
    auto create = reader.object("create_request");
    if (create)
    {
        read_range(*create, w.range);
        create->read("start_revision", w.start_revision);
    }
    else
    {
        reader.add_finding("create_request", "is missing");
    }
    return finished(reader, std::move(w));
}

parsed<core::millis> parse_grant(const std::string& body)
{
    object_reader reader(body);
    std::int64_t ttl_seconds = 0;
    std::int64_t id = 0;
    reader.read("TTL", ttl_seconds);
    reader.read("ID", id);
    if (ttl_seconds <= 0)
    {
        reader.add_finding("TTL", "must be at least 1 (second)");
    }
    if (id != 0)
    {
        reader.add_finding("ID", "is chosen by the service");
    }
    return finished(reader, core::millis{std::chrono::seconds{ttl_seconds}});
}

parsed<std::int64_t> parse_lease_id(const std::string& body)
{
    object_reader reader(body);
    std::int64_t id = 0;
    reader.read("ID", id);
    return finished(reader, id);
}

json header_json(std::int64_t revision)
{
    return {{"cluster_id", "1"},
        {"member_id", "1"},
        {"revision", std::to_string(revision)},
        {"raft_term", "1"}};
}

json record_json(const record& r)
{
    json all = {{"key", core::to_base64(r.key)}};
    put_number(all, "create_revision", r.create_revision);
    put_number(all, "mod_revision", r.mod_revision);
    put_number(all, "version", r.version);
    put_number(all, "lease", r.lease);
    if (!r.value.empty())
    {
        all["value"] = core::to_base64(r.value);
    }
    return all;
}

json range_json(std::int64_t revision, const std::vector<record>& found, bool keys_only)
{
    json all = {{"header", header_json(revision)}};
    for (const auto& it : found)
    {
        auto one = record_json(it);
        if (keys_only)
        {
            one.erase("value");
        }
        all["kvs"].push_back(std::move(one));
    }
    put_number(all, "count", static_cast<std::int64_t>(found.size()));
    return all;
}

json event_json(const change& c)
{
    json all = {{"kv", record_json(c.now)}};
    if (c.deleted)
    {
        all["type"] = "DELETE";
    }
    return all;
}

ports::http_response gateway_error(int status, int code, const std::string& text)
{
    return standin_support::json_response(
        status, {{"error", text}, {"message", text}, {"code", code}});
}

ports::http_response gateway_error(const core::findings& wrong)
{
    return gateway_error(400, grpc_invalid_argument, core::to_text(wrong));
}

} // namespace camphorhitch::standin_kv
