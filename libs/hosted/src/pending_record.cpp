#include "pending_record.hpp"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

namespace camphorhitch::hosted
{

namespace
{

using nlohmann::json;

core::error damage(const std::string& what)
{
    return {core::error_code::invalid, what};
}

/// \return the number; nothing when it is none from 0 to \p most.
template <class Whole>
std::optional<Whole> whole_up_to(const json& from, Whole most)
{
    const bool fits =
        from.is_number_unsigned() && from.get<std::uint64_t>() <= static_cast<std::uint64_t>(most);
    return fits ? std::optional{from.get<Whole>()} : std::nullopt;
}

} // namespace

std::string write_pending(const pending_record& r)
{
    return json{{"through", r.through}, {"waiting", r.waiting}}.dump();
}

core::result<pending_record> read_pending(const std::string& text)
{
    const auto from = json::parse(text, nullptr, false);
    if (!from.is_object() || !from.contains("through") || !from.contains("waiting"))
    {
        return damage("no record of waiting jobs");
    }
    pending_record out;
    const auto through =
        whole_up_to(from.at("through"), std::numeric_limits<ports::revision>::max());
    if (!through || *through == 0)
    {
        return damage("through is no revision");
    }
    out.through = *through;
    const auto& waiting = from.at("waiting");
    if (!waiting.is_object())
    {
        return damage("waiting is no object");
    }
    for (const auto& [queue, it] : waiting.items())
    {
        const auto n = whole_up_to(it, std::numeric_limits<int>::max());
        if (!n)
        {
            return damage("no count of jobs: " + queue);
        }
        out.waiting[queue] = *n;
    }
    return out;
}

} // namespace camphorhitch::hosted
