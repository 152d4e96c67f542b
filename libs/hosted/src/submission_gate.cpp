#include "submission_gate.hpp"

#include "core/rendezvous.hpp"
#include "core_seconds.hpp"

#include <cstdint>
#include <limits>
#include <utility>

namespace camphorhitch::hosted
{

namespace
{

/// \return a number from 0 to 1 that is spread evenly over the ids.
double spread_of(const std::string& id)
{
    return static_cast<double>(core::stable_hash(id)) /
           static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

std::string ms_text(core::millis t)
{
    return std::to_string(t.count());
}

} // namespace

submission_gate::submission_gate(context c)
    : ctx_(std::move(c)), forecasts_(ctx_, {}), reporter_(ctx_, {})
{
}

admission_decision submission_gate::judge(const workflow::job& j)
{
    forecasts_.request();
    const auto age = forecasts_.age();
    if (age)
    {
        ctx_.tel.gauge(
            "camphorhitch_digest_age_seconds", {}, std::chrono::duration<double>(*age).count());
    }
    if (unsettled_.contains(j.id, ctx_.boot_now()))
    {
        return {};
    }
    return judge_submission(
        j, forecasts_.digest(), age.value_or(core::millis::max()), settings_, spread_of(j.id));
}

void submission_gate::record_refusal(const workflow::job& j, const admission_decision& d)
{
    ctx_.tel.count("camphorhitch_rejected_total", {{"queue", j.queue}}, 1);
    ctx_.tel.log(ports::log_level::info,
        "submit_rejected",
        {{"id", j.id},
            {"queue", j.queue},
            {"pool", j.pool},
            {"expected_ms", ms_text(d.expected)},
            {"objective_ms", ms_text(d.objective)},
            {"digest_age_ms", ms_text(forecasts_.age().value_or(core::millis{0}))},
            {"retry_after_ms", ms_text(d.retry_after)}});
    reporter_.record(j.pool, batch_core_seconds(forecasts_.digest().times, j));
}

void submission_gate::withdraw_reports()
{
    reporter_.withdraw();
}

} // namespace camphorhitch::hosted
