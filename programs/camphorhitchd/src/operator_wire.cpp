#include "operator_wire.hpp"

#include <nlohmann/json.hpp>

namespace camphorhitch::daemon
{

namespace
{

using json = nlohmann::json;

constexpr int status_ok = 200;

constexpr core::name_table<core::error_code, 5> code_names{{
    {core::error_code::invalid, "refused"},
    {core::error_code::not_found, "refused"},
    {core::error_code::conflict, "conflict"},
    {core::error_code::unavailable, "unavailable"},
    {core::error_code::unknown_effect, "unknown_effect"},
}};

ports::http_response answer(int status, const json& body)
{
    return {status,
        {{"Content-Type", "application/json"}},
        body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

/// Compares in a time that does not depend on the difference, so that response times reveal nothing
/// about the token.
bool same_secret(const std::string& a, const std::string& b)
{
    unsigned char difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        const char other = b.empty() ? '\0' : b[i % b.size()];
        difference |= static_cast<unsigned char>(a[i] ^ other);
    }
    return difference == 0;
}

std::string text_of(const json& object, const char* name)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

} // namespace

bool is_authorized(const ports::http_request& request, const std::string& token)
{
    const auto* field = ports::find_field(request.fields, "Authorization");
    return field != nullptr && same_secret(*field, "Bearer " + token);
}

std::optional<statement_batch> read_batch(const std::string& body)
{
    const auto from = json::parse(body, nullptr, false);
    if (!from.is_object() || text_of(from, "text").empty() || text_of(from, "command").empty())
    {
        return {};
    }
    const auto check = from.find("check_only");
    const bool check_only = check != from.end() && check->is_boolean() && check->get<bool>();
    return statement_batch{
        text_of(from, "text"), text_of(from, "name"), text_of(from, "command"), check_only};
}

ports::http_response answer_results(
    const answer_metadata& h, const std::vector<statement_result>& all)
{
    json results = json::array();
    for (const auto& it : all)
    {
        results.push_back({{"code", it.ok ? "ok" : core::name_of(code_names, it.code)},
            {"text", it.text},
            {"data", json::parse(it.json, nullptr, false)}});
    }
    return answer(status_ok,
        {{"member", h.member},
            {"fresh", h.fresh},
            {"store_reachable", h.store_reachable},
            {"settled", h.settled},
            {"results", std::move(results)}});
}

ports::http_response answer_text(int status, const std::string& text)
{
    return answer(status, {{"text", text}});
}

} // namespace camphorhitch::daemon
