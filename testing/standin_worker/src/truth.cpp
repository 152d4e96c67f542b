#include "truth.hpp"

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
    constexpr double most = 18446744073709551615.0;
    const auto share = static_cast<double>(core::stable_hash(name, seed)) / most;
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

true_nature nature_of(const ports::task_order& order, const behaviour& how)
{
    // Payloads are opaque to the system, and any text is one; ours may be JSON.
    auto payload = nlohmann::json::parse(order.payload, nullptr, false);
    if (!payload.is_object())
    {
        payload = nlohmann::json::object();
    }
    const auto run = number(payload, "run_factor", how.run_factor) *
                     drawn_factor("run " + order.task, how.run_spread, how.seed);
    const auto usage = number(payload, "usage_factor", how.usage_factor) *
                       drawn_factor("usage " + order.task, how.usage_spread, how.seed);
    true_nature truth;
    truth.run_time = scaled(order.run_time, run);
    truth.processors = order.processors * usage;
    truth.memory_gb = order.memory_gb * usage;
    truth.kills_host = flag(payload, "kills_host");
    if (flag(payload, "fails"))
    {
        truth.fails_after = core::millis{0};
    }
    if (payload.contains("fails_after_ms"))
    {
        truth.fails_after = core::millis{std::llround(number(payload, "fails_after_ms", 0))};
    }
    return truth;
}

} // namespace camphorhitch::standin_worker
