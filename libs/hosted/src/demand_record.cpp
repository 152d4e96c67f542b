#include "demand_record.hpp"

#include <nlohmann/json.hpp>

namespace camphorhitch::hosted
{

namespace
{

using nlohmann::json;

json rates_to_json(const coordinator::pool_arrivals& p)
{
    return {{"fast", p.fast},
        {"middle", p.middle},
        {"slow", p.slow},
        {"jobs", p.jobs},
        {"peak", p.peak},
        {"busy", p.busy}};
}

coordinator::pool_arrivals rates_from_json(const json& from, core::mono_time at)
{
    coordinator::pool_arrivals p;
    from.at("fast").get_to(p.fast);
    from.at("middle").get_to(p.middle);
    from.at("slow").get_to(p.slow);
    from.at("jobs").get_to(p.jobs);
    from.at("peak").get_to(p.peak);
    from.at("busy").get_to(p.busy);
    p.updated = at;
    return p;
}

std::int64_t ms_between(core::mono_time later, core::mono_time earlier)
{
    return std::chrono::duration_cast<core::millis>(later - earlier).count();
}

} // namespace

std::string write_demand(const coordinator::demand& d,
    const coordinator::learnt& l,
    core::mono_time now,
    std::int64_t unix_ms)
{
    json out{{"at_unix_ms", unix_ms},
        {"pools", json::object()},
        {"busy", json::array()},
        {"times", json::object()}};
    for (const auto& [name, p] : d.pools)
    {
        out["pools"][name] = rates_to_json(p);
    }
    for (const auto& it : d.history)
    {
        out["busy"].push_back({it.pool, unix_ms - ms_between(now, it.at)});
    }
    for (const auto& [image, it] : l.images)
    {
        out["times"][image] = {it.mean_ms, it.runs};
    }
    return out.dump();
}

std::int64_t read_demand(const std::string& text,
    coordinator::demand& d,
    coordinator::learnt& l,
    core::mono_time now,
    std::int64_t unix_ms)
{
    const auto from = json::parse(text, nullptr, false);
    try
    {
        coordinator::demand next;
        coordinator::learnt times;
        const auto at = from.at("at_unix_ms").get<std::int64_t>();
        const auto written = now - core::millis{std::max<std::int64_t>(unix_ms - at, 0)};
        for (const auto& [name, it] : from.at("pools").items())
        {
            next.pools[name] = rates_from_json(it, written);
        }
        for (const auto& it : from.at("busy"))
        {
            const auto ago = unix_ms - it.at(1).get<std::int64_t>();
            next.history.push_back({it.at(0).get<std::string>(), now - core::millis{ago}});
        }
        for (const auto& [image, it] : from.at("times").items())
        {
            times.images[image] = {it.at(0).get<double>(), it.at(1).get<int>()};
        }
        next.settings = d.settings;
        d = std::move(next);
        l = std::move(times);
        return at;
    }
    catch (const json::exception&)
    {
        return 0;
    }
}

} // namespace camphorhitch::hosted
