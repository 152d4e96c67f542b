#include "answers.hpp"

#include "core/names.hpp"

#include <nlohmann/json.hpp>

namespace camphorhitch::client
{

namespace
{

using json = nlohmann::json;

constexpr core::name_table<exit_code, 5> code_names{{
    {exit_code::ok, "ok"},
    {exit_code::refused, "refused"},
    {exit_code::conflict, "conflict"},
    {exit_code::unavailable, "unavailable"},
    {exit_code::unknown_effect, "unknown_effect"},
}};

constexpr long http_ok = 200;
constexpr long http_unauthorized = 401;
constexpr long http_unavailable = 503; ///< too many connections or calls; nothing was executed

/// \return the code of the more severe result. Severity increases with the value of the exit code.
exit_code worst(exit_code a, exit_code b)
{
    return static_cast<int>(a) > static_cast<int>(b) ? a : b;
}

std::string text_of(const json& object, const char* name)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

void add_result(call_outcome& out, const json& result, bool as_json)
{
    const auto name = result.is_object() ? text_of(result, "code") : std::string{};
    const auto code = core::value_of(code_names, name).value_or(exit_code::refused);
    out.code = worst(out.code, code);
    if (!result.is_object())
    {
        return;
    }
    if (code != exit_code::ok)
    {
        out.problem += text_of(result, "text");
    }
    else if (!as_json)
    {
        out.text += text_of(result, "text");
    }
}

call_outcome read_results(const json& answer, bool as_json)
{
    call_outcome out;
    out.code = exit_code::ok;
    for (const auto& it : answer.at("results"))
    {
        add_result(out, it, as_json);
    }
    if (as_json)
    {
        out.text = answer.dump(2, ' ', false, json::error_handler_t::replace) + '\n';
    }
    const auto settled = answer.find("settled");
    out.settled = settled == answer.end() || !settled->is_boolean() || settled->get<bool>();
    return out;
}

} // namespace

call_outcome read_answer(const std::string& server, const raw_answer& raw, bool as_json)
{
    if (raw.status == http_unauthorized)
    {
        return {exit_code::unauthorized, "", server + ": the token is missing or wrong\n", true};
    }
    const auto answer = json::parse(raw.body, nullptr, false);
    const bool is_complete =
        answer.is_object() && answer.contains("results") && answer.at("results").is_array();
    if (raw.status != http_ok || !is_complete)
    {
        const auto text = server + ": HTTP status " + std::to_string(raw.status) + ' ' + raw.body;
        const bool overloaded = raw.status == http_unavailable;
        return {overloaded ? exit_code::unavailable : exit_code::refused, "", text + '\n', true};
    }
    return read_results(answer, as_json);
}

} // namespace camphorhitch::client
