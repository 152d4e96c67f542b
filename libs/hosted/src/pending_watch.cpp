#include "pending_watch.hpp"

#include "coordinator/load.hpp"
#include "store_answer.hpp"

#include <utility>

namespace camphorhitch::hosted
{

namespace
{

/// Between two lines of records with the same counts. Others have a line each: they are as rare as
/// driver_settings::pending_record_interval makes them.
constexpr core::millis repeat_every{1000};

int sum_of(const std::map<std::string, int>& by_queue)
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
        {"jobs", std::to_string(sum_of(b.by_queue))},
        {"ordered_only", std::to_string(b.ordered_only)},
        {"read_through", std::to_string(b.read_through)},
        {"intake_age_ms", ms_text(b.intake_age)},
        {"took_ms", ms_text(now - b.made_at)}};
}

} // namespace

pending_watch::pending_watch(term& t, const job_reader& jobs) : term_(t), jobs_(jobs)
{
}

pending_basis pending_watch::basis_of(std::map<std::string, int> by_queue) const
{
    pending_basis out;
    out.by_queue = std::move(by_queue);
    out.ordered_only = coordinator::jobs_without_start_answer(term_.fleet);
    out.read_through = jobs_.read_through();
    out.made_at = term_.now();
    out.intake_age = std::chrono::duration_cast<core::millis>(out.made_at - jobs_.last_heard());
    return out;
}

/// Past the budget of lines: they are few, and a busy second is when they are needed.
void pending_watch::see_answer(const pending_basis& b, const ports::commit_result& result)
{
    const auto now = term_.now();
    auto fields = fields_of(b, term_.token, now);
    if (result.status != ports::kv_status::ok)
    {
        fields.emplace_back("store", store_answer(result.status));
        term_.ctx.tel.log(ports::log_level::warning, "pending_not_stored", std::move(fields));
        return;
    }
    if (told_at_ != core::mono_time{} && b.by_queue == told_ && now - told_at_ < repeat_every)
    {
        return;
    }
    told_ = b.by_queue;
    told_at_ = now;
    fields.insert(fields.begin() + 1, {"revision", std::to_string(result.modified)});
    term_.ctx.tel.log(ports::log_level::info, "pending_stored", std::move(fields));
}

} // namespace camphorhitch::hosted
