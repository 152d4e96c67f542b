#include "pending_count_logger.hpp"

#include "coordinator/load.hpp"
#include "store_answer.hpp"

#include <utility>

namespace camphorhitch::hosted
{

namespace
{

/// Interval of the log lines about records with unchanged counts. Each record with changed counts
/// has a line; driver_settings bounds how often records are written.
constexpr core::millis repeat_interval{1000};

int total_of(const std::map<std::string, int>& by_queue)
{
    int out = 0;
    for (const auto& [queue, n] : by_queue)
    {
        out += n;
    }
    return out;
}

std::string ms_text(core::micros t)
{
    return std::to_string(std::chrono::duration_cast<core::millis>(t).count());
}

ports::log_fields fields_of(const pending_basis& b, ports::revision token, core::mono_time now)
{
    return {{"token", std::to_string(token)},
        {"jobs", std::to_string(total_of(b.by_queue))},
        {"ordered_only", std::to_string(b.ordered_only)},
        {"read_through", std::to_string(b.intake_revision)},
        {"intake_age_ms", ms_text(b.intake_age)},
        {"took_ms", ms_text(now - b.counted_at)}};
}

} // namespace

pending_count_logger::pending_count_logger(term& t, const job_reader& jobs) : term_(t), jobs_(jobs)
{
}

pending_basis pending_count_logger::current_basis(std::map<std::string, int> by_queue) const
{
    pending_basis out;
    out.by_queue = std::move(by_queue);
    out.ordered_only = coordinator::jobs_without_start_answer(term_.fleet);
    out.intake_revision = jobs_.intake_revision();
    out.counted_at = term_.now();
    out.intake_age =
        std::chrono::duration_cast<core::millis>(out.counted_at - jobs_.last_job_answer_at());
    return out;
}

/// Bypasses the budget of log lines: these lines are few, and they are needed most in a busy
/// second.
void pending_count_logger::log_write_result(
    const pending_basis& b, const ports::commit_result& result)
{
    const auto now = term_.now();
    auto fields = fields_of(b, term_.token, now);
    if (result.status != ports::kv_status::ok)
    {
        fields.emplace_back("store", store_answer(result.status));
        term_.ctx.tel.log(ports::log_level::warning, "pending_not_stored", std::move(fields));
        return;
    }
    if (last_logged_at_ != core::mono_time{} && b.by_queue == last_logged_ &&
        now - last_logged_at_ < repeat_interval)
    {
        return;
    }
    last_logged_ = b.by_queue;
    last_logged_at_ = now;
    fields.insert(fields.begin() + 1, {"revision", std::to_string(result.modified)});
    term_.ctx.tel.log(ports::log_level::info, "pending_stored", std::move(fields));
}

} // namespace camphorhitch::hosted
