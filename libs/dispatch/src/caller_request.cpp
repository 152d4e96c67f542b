#include "dispatch/caller_request.hpp"

#include "core/rendezvous.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace camphorhitch::dispatch
{

namespace
{

constexpr std::array<std::string_view, 5> idempotent_methods{
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
constexpr std::int64_t max_time_ms = 86400000; // one day; a longer time is a mistake
constexpr std::int64_t max_attempts = 1000;
constexpr char first_printable = ' ';
constexpr char delete_sign = 0x7f;

core::finding wrong_field(std::string_view name, const std::string& text)
{
    return {{"request", std::string{name}, 0, 0}, text, ""};
}

std::optional<std::int64_t> read_number(const ports::http_request& request,
    std::string_view name,
    std::int64_t most,
    core::findings& wrong)
{
    const auto* text = ports::find_field(request.fields, name);
    if (text == nullptr)
    {
        return std::nullopt;
    }
    std::int64_t n = 0;
    const auto* end = text->data() + text->size();
    const auto [stop, ec] = std::from_chars(text->data(), end, n);
    if (ec != std::errc{} || stop != end || n < 0 || n > most)
    {
        wrong.push_back(wrong_field(name, "not a number from 0 to " + std::to_string(most)));
        return std::nullopt;
    }
    return n;
}

ports::request_class read_class(const ports::http_request& request, core::findings& wrong)
{
    const auto* text = ports::find_field(request.fields, fields::request_class);
    if (text == nullptr)
    {
        return ports::request_class::normal;
    }
    const auto it = core::value_of(request_class_names, *text);
    if (!it)
    {
        auto one = wrong_field(fields::request_class, "no such class: " + *text);
        one.suggestion = core::nearest_name(*text, {"quick", "normal", "long"});
        wrong.push_back(one);
    }
    return it.value_or(ports::request_class::normal);
}

std::string read_key(const ports::http_request& request, core::findings& wrong)
{
    const auto* text = ports::find_field(request.fields, fields::idempotency_key);
    if (text == nullptr)
    {
        return {};
    }
    const bool printable = std::all_of(
        text->begin(), text->end(), [](char c) { return c >= first_printable && c < delete_sign; });
    if (text->empty() || text->size() > max_key_length || !printable)
    {
        wrong.push_back(wrong_field(fields::idempotency_key,
            "must have 1 to " + std::to_string(max_key_length) + " printable characters"));
    }
    return *text;
}

bool read_idempotent(const ports::http_request& request, bool has_key, core::findings& wrong)
{
    const auto* text = ports::find_field(request.fields, fields::idempotent);
    if (text == nullptr)
    {
        const bool by_method =
            std::find(idempotent_methods.begin(), idempotent_methods.end(), request.method) !=
            idempotent_methods.end();
        return by_method && !has_key;
    }
    if (*text != "true" && *text != "false")
    {
        wrong.push_back(wrong_field(fields::idempotent, "must be true or false"));
    }
    if (*text == "true" && has_key)
    {
        wrong.push_back(
            wrong_field(fields::idempotent, "a request with an idempotency key runs at most once"));
    }
    return *text == "true";
}

std::uint64_t hash_of(const ports::http_request& request)
{
    auto out = core::stable_hash(request.method);
    out = core::stable_hash(request.path, out);
    out = core::stable_hash(request.query, out);
    return core::stable_hash(request.body, out);
}

/// \return the time until the deadline: the shorter of the caller's deadline and the time that the
/// previous hop has left, at most the class's maximum.
core::millis read_time(
    const ports::http_request& request, const model::class_limits& limits, core::findings& wrong)
{
    const auto own = read_number(request, fields::deadline, max_time_ms, wrong);
    const auto carried = read_number(request, fields::time_left, max_time_ms, wrong);
    const auto longest = limits.longest.count();
    const auto asked = std::min(own.value_or(longest), carried.value_or(longest));
    return own || carried ? core::millis{std::min(asked, longest)} : limits.deadline;
}

} // namespace

std::variant<caller_request, core::findings> read_caller_request(
    const ports::http_request& request, const model::pool_config& pool)
{
    core::findings wrong;
    caller_request out;
    out.pool = pool.name;
    out.klass = read_class(request, wrong);
    const auto key = read_key(request, wrong);
    out.key = key.empty() ? key : pool.name + "/" + key;
    out.idempotent = read_idempotent(request, !key.empty(), wrong);
    out.body_hash = hash_of(request);
    out.time_left = read_time(request, limits_of(pool, out.klass), wrong);
    out.expected =
        core::millis{read_number(request, fields::expected, max_time_ms, wrong).value_or(0)};
    out.earlier_attempts =
        static_cast<int>(read_number(request, fields::retry, max_attempts, wrong).value_or(0));
    if (!wrong.empty())
    {
        return wrong;
    }
    return out;
}

} // namespace camphorhitch::dispatch
