#include "actual_behaviour.hpp"

#include "core/rendezvous.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace camphorhitch::standin_worker
{

namespace
{

/// \return a factor from 1/spread to spread, the same for the same name and seed.
double drawn_factor(const std::string& name, double spread, std::uint64_t seed)
{
    constexpr double max_hash = 18446744073709551615.0;
    const auto share = static_cast<double>(core::stable_hash(name, seed)) / max_hash;
    return std::pow(spread, 2 * share - 1);
}

core::millis scaled(core::millis ms, double factor)
{
    return core::millis{std::llround(static_cast<double>(ms.count()) * factor)};
}

double number(const nlohmann::json& from, const char* name, double otherwise)
{
    const auto it = from.find(name);
    return it != from.end() && it->is_number() ? it->get<double>() : otherwise;
}

bool flag(const nlohmann::json& from, const char* name)
{
    const auto it = from.find(name);
    return it != from.end() && it->is_boolean() && it->get<bool>();
}

} // namespace

actual_behaviour actual_behaviour_of(const ports::task_order& order, const behaviour& settings)
{
    // A payload is any text to the system. Tests can use JSON payloads with the members read here.
    auto payload = nlohmann::json::parse(order.payload, nullptr, false);
    if (!payload.is_object())
    {
        payload = nlohmann::json::object();
    }
    const auto run = number(payload, "run_factor", settings.run_factor) *
                     drawn_factor("run " + order.task, settings.run_spread, settings.seed);
    const auto usage = number(payload, "usage_factor", settings.usage_factor) *
                       drawn_factor("usage " + order.task, settings.usage_spread, settings.seed);
    actual_behaviour actual;
    actual.run_time = scaled(order.run_time, run);
    actual.processors = order.processors * usage;
    actual.memory_gb = order.memory_gb * usage;
    actual.kills_host = flag(payload, "kills_host");
    if (flag(payload, "fails"))
    {
        actual.fails_after = core::millis{0};
    }
    if (payload.contains("fails_after_ms"))
    {
        actual.fails_after = core::millis{std::llround(number(payload, "fails_after_ms", 0))};
    }
    return actual;
}

} // namespace camphorhitch::standin_worker
