#include "demand_record.hpp"

#include <algorithm>
#include <cmath>
#include <exception>
#include <limits>
#include <nlohmann/json.hpp>

namespace camphorhitch::hosted
{

namespace
{

using nlohmann::json;

json rates_to_json(const coordinator::pool_arrivals& p)
{
    return {{"fast", p.fast_rate},
        {"middle", p.medium_rate},
        {"slow", p.slow_rate},
        {"jobs", p.recent_jobs},
        {"peak", p.peak_rate},
        {"busy", p.busy}};
}

/// Upper bound of rates in cores, run times in milliseconds, times of day in milliseconds and
/// revisions: far above any real value, and far below the range of the clocks in nanoseconds.
constexpr double max_value = 4e12;

struct damaged_record : std::exception
{
};

double real_from(const json& from)
{
    const auto n = from.get<double>();
    if (!(n >= 0 && n <= max_value))
    {
        throw damaged_record{};
    }
    return n;
}

std::int64_t whole_from(const json& from)
{
    return static_cast<std::int64_t>(real_from(from));
}

coordinator::pool_arrivals rates_from_json(const json& from, core::mono_time at)
{
    coordinator::pool_arrivals p;
    p.fast_rate = real_from(from.at("fast"));
    p.medium_rate = real_from(from.at("middle"));
    p.slow_rate = real_from(from.at("slow"));
    p.recent_jobs = real_from(from.at("jobs"));
    p.peak_rate = real_from(from.at("peak"));
    from.at("busy").get_to(p.busy);
    p.updated_at = at;
    return p;
}

constexpr double milli = 1000.0;

/// Bound of the text of the accounts of shares, in bytes. The record is written twice a second.
constexpr std::size_t max_shares_text = 3000;
constexpr std::size_t max_share_rows = 64;

/// \return rows of level, name and used core-milliseconds.
json shares_to_json(const std::vector<coordinator::share_row>& shares)
{
    auto out = json::array();
    std::size_t size = 0;
    for (const auto& it : shares)
    {
        json row{core::name_of(coordinator::share_level_names, it.level),
            it.name,
            std::llround(std::min(it.used * milli, max_value))};
        size += row.dump().size() + 1;
        if (size > max_shares_text)
        {
            break;
        }
        out.push_back(std::move(row));
    }
    return out;
}

coordinator::share_row share_from_json(const json& from)
{
    const auto level =
        core::value_of(coordinator::share_level_names, from.at(0).get<std::string>());
    if (!level)
    {
        throw damaged_record{};
    }
    return {*level, from.at(1).get<std::string>(), real_from(from.at(2)) / milli};
}

/// \return when the record was made, on the own clock; not later than \p now.
core::mono_time record_time(const json& from, core::mono_time now, std::int64_t unix_ms)
{
    const auto at = whole_from(from.at("at_unix_ms"));
    return now - core::millis{std::max<std::int64_t>(unix_ms - at, 0)};
}

std::int64_t ms_between(core::mono_time later, core::mono_time earlier)
{
    return std::chrono::duration_cast<core::millis>(later - earlier).count();
}

} // namespace

std::string write_demand(const coordinator::demand& d,
    const coordinator::run_time_estimates& l,
    ports::revision through_revision,
    core::mono_time now,
    std::int64_t unix_ms,
    const std::vector<coordinator::share_row>& shares)
{
    json out{{"at_unix_ms", unix_ms},
        {"through", through_revision},
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
        out["times"][image] = {it.mean_ms, it.samples};
    }
    if (!shares.empty())
    {
        out["shares"] = shares_to_json(shares);
    }
    return out.dump();
}

ports::revision read_demand(const std::string& text,
    ports::revision written,
    coordinator::demand& d,
    coordinator::run_time_estimates& l,
    core::mono_time now,
    std::int64_t unix_ms)
{
    const auto from = json::parse(text, nullptr, false);
    try
    {
        coordinator::demand next;
        coordinator::run_time_estimates times;
        const auto at = whole_from(from.at("at_unix_ms"));
        const auto made = record_time(from, now, unix_ms);
        for (const auto& [name, it] : from.at("pools").items())
        {
            next.pools[name] = rates_from_json(it, made);
        }
        for (const auto& it : from.at("busy"))
        {
            // Both times were taken from the clock of the node that wrote the record.
            const auto before = std::max<std::int64_t>(at - whole_from(it.at(1)), 0);
            next.history.push_back({it.at(0).get<std::string>(), made - core::millis{before}});
        }
        for (const auto& [image, it] : from.at("times").items())
        {
            constexpr std::int64_t max_runs = std::numeric_limits<int>::max();
            const auto runs = static_cast<int>(std::min(whole_from(it.at(1)), max_runs));
            times.images[image] = {real_from(it.at(0)), runs};
        }
        const auto through_revision =
            from.contains("through") ? std::min(whole_from(from["through"]), written) : written;
        next.settings = d.settings;
        d = std::move(next);
        l = std::move(times);
        return through_revision;
    }
    catch (const json::exception&)
    {
        return 0;
    }
    catch (const damaged_record&)
    {
        return 0;
    }
}

std::optional<stored_shares> read_shares(
    const std::string& text, core::mono_time now, std::int64_t unix_ms)
{
    const auto from = json::parse(text, nullptr, false);
    try
    {
        stored_shares out;
        out.at = record_time(from, now, unix_ms);
        const auto rows = from.find("shares");
        if (rows == from.end())
        {
            return out;
        }
        for (const auto& it : rows->get_ref<const json::array_t&>())
        {
            out.rows.push_back(share_from_json(it));
        }
        if (out.rows.size() > max_share_rows)
        {
            return std::nullopt;
        }
        return out;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
    catch (const damaged_record&)
    {
        return std::nullopt;
    }
}

} // namespace camphorhitch::hosted
