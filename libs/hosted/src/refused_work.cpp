#include "refused_work.hpp"

#include "record_fields.hpp"

#include <limits>

namespace camphorhitch::hosted
{

using nlohmann::json;

std::string write_refused_work(const refused_work& it)
{
    return json{{"start", it.start}, {"pools", it.pools}}.dump();
}

core::result<refused_work> read_refused_work(const std::string& text)
{
    const auto damaged = [](const std::string& what)
    {
        return core::error{core::error_code::invalid, what};
    };
    const auto from = json::parse(text, nullptr, false);
    if (!from.is_object() || !from.contains("start") || !from.contains("pools") ||
        !from.at("pools").is_object())
    {
        return damaged("not a record of refused work: start and object pools expected");
    }
    refused_work out;
    const auto start =
        whole_number_up_to(from.at("start"), std::numeric_limits<std::int64_t>::max());
    if (!start)
    {
        return damaged("start is not a whole number");
    }
    out.start = *start;
    for (const auto& [pool, it] : from.at("pools").items())
    {
        constexpr double max_core_seconds = 4e12; // far above any real value
        const auto work = number_up_to(it, max_core_seconds);
        if (!work)
        {
            return damaged("not the refused work of pool " + pool);
        }
        out.pools[pool] = *work;
    }
    return out;
}

std::map<std::string, double> refused_since(const refused_work& before, const refused_work& now)
{
    std::map<std::string, double> out;
    if (before.start != now.start)
    {
        return out;
    }
    for (const auto& [pool, work] : now.pools)
    {
        const auto it = before.pools.find(pool);
        const auto more = work - (it == before.pools.end() ? 0 : it->second);
        if (more > 0)
        {
            out[pool] = more;
        }
    }
    return out;
}

} // namespace camphorhitch::hosted
