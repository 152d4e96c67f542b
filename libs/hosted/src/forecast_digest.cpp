#include "forecast_digest.hpp"

#include "record_fields.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>
#include <vector>

namespace camphorhitch::hosted
{

namespace
{

using nlohmann::json;

/// Upper bound of cores, and of times and work in milliseconds: far above any real value, and far
/// below the range of the clocks.
constexpr std::int64_t max_value = 4'000'000'000'000;

core::error damaged(const std::string& what)
{
    return {core::error_code::invalid, what};
}

/// \return the value in the range that read_forecast_digest() accepts.
std::int64_t bounded(double value)
{
    constexpr auto most = static_cast<double>(max_value);
    return std::isfinite(value) ? std::llround(std::clamp(value, 0.0, most)) : 0;
}

/// \return the images with most samples, by name among those with equally many.
std::vector<std::pair<std::string, coordinator::run_time_estimate>> most_sampled(
    const coordinator::run_time_estimates& times)
{
    std::vector<std::pair<std::string, coordinator::run_time_estimate>> out(
        times.images.begin(), times.images.end());
    std::stable_sort(out.begin(),
        out.end(),
        [](const auto& a, const auto& b) { return a.second.samples > b.second.samples; });
    out.resize(std::min(out.size(), max_published_images));
    return out;
}

core::result<pool_digest> read_pool(const std::string& name, const json& from)
{
    if (!from.is_object() || !from.contains("cores") || !from.contains("wait_ms") ||
        !from.contains("admitted_core_ms"))
    {
        return damaged("not the forecast of pool " + name);
    }
    const auto cores = number_up_to(from.at("cores"), static_cast<double>(max_value));
    const auto wait_ms = whole_number_up_to(from.at("wait_ms"), max_value);
    const auto admitted = whole_number_up_to(from.at("admitted_core_ms"), max_value);
    if (!cores || !wait_ms || !admitted)
    {
        return damaged("a number of the forecast of pool " + name + " is out of range");
    }
    return pool_digest{*cores, core::millis{*wait_ms}, static_cast<double>(*admitted)};
}

} // namespace

std::string write_forecast_digest(const std::map<std::string, coordinator::pool_forecast>& pools,
    const coordinator::run_time_estimates& times)
{
    json out{{"pools", json::object()}, {"times", json::object()}};
    for (const auto& [name, it] : pools)
    {
        if (it.cores > 0 && std::isfinite(it.cores))
        {
            constexpr double milli = 1000.0;
            out["pools"][name] = {{"cores", std::min(it.cores, static_cast<double>(max_value))},
                {"wait_ms", bounded(static_cast<double>(it.wait.count()))},
                {"admitted_core_ms", bounded(it.in_time_core_seconds * milli)}};
        }
    }
    for (const auto& [image, it] : most_sampled(times))
    {
        out["times"][image] = bounded(it.mean_ms);
    }
    return out.dump();
}

core::result<forecast_digest> read_forecast_digest(const std::string& text)
{
    const auto from = json::parse(text, nullptr, false);
    if (!from.is_object() || !from.contains("pools") || !from.contains("times") ||
        !from.at("pools").is_object() || !from.at("times").is_object())
    {
        return damaged("not a forecast: objects pools and times expected");
    }
    forecast_digest out;
    for (const auto& [name, it] : from.at("pools").items())
    {
        const auto pool = read_pool(name, it);
        if (!core::is_ok(pool))
        {
            return core::failure(pool);
        }
        out.pools[name] = core::value(pool);
    }
    for (const auto& [image, it] : from.at("times").items())
    {
        const auto mean_ms = number_up_to(it, static_cast<double>(max_value));
        if (!mean_ms)
        {
            return damaged("not a run time of image " + image);
        }
        out.times.images[image] = {*mean_ms, 1};
    }
    return out;
}

} // namespace camphorhitch::hosted
