#include "membership/stop_bound.hpp"

#include <algorithm>

namespace camphorhitch::membership
{

namespace
{

/// Covers the adopted roster and its history.
constexpr std::size_t max_adoptions = 17;

process_report& find_or_add_report(stop_bound_state& state, const model::member_record& process)
{
    for (auto& it : state.reports)
    {
        if (same_process(it.process, process))
        {
            return it;
        }
    }
    state.reports.push_back({process, 0, {}, false});
    return state.reports.back();
}

bool is_listed(const model::roster_document& roster, const model::member_record& process)
{
    const auto lists_process = [&](const auto& previous)
    {
        return contains_process(previous.members, process);
    };
    return contains_process(roster.members, process) ||
           std::any_of(roster.history.begin(), roster.history.end(), lists_process);
}

/// \return when this process first knew that \p epoch had ended. The write that ended the epoch
///   happened earlier.
core::mono_time end_observed_at(const stop_bound_state& state, ports::epoch_number epoch)
{
    for (const auto& it : state.adoptions)
    {
        if (it.epoch > epoch)
        {
            return it.at;
        }
    }
    return core::mono_time::min();
}

core::mono_time epoch_end(const stop_bound_state& state, const model::former_roster& previous)
{
    const auto observed_end = end_observed_at(state, previous.epoch);
    auto last_report = observed_end;
    std::size_t unresponsive = 0;
    for (const auto& member : previous.members)
    {
        if (same_process(member, state.self))
        {
            continue;
        }
        const auto it = std::find_if(state.reports.begin(),
            state.reports.end(),
            [&](const auto& w) { return same_process(w.process, member); });
        if (it != state.reports.end() && (it->ended || it->epoch > previous.epoch))
        {
            last_report = std::max(last_report, it->at);
        }
        else
        {
            ++unresponsive;
        }
    }
    if (unresponsive == 0)
    {
        return observed_end;
    }
    const auto grace_end = observed_end + state.settings.outage_grace + state.settings.margin;
    const auto bound = last_report + max_remaining_freshness(
                                         state.settings, previous.members.size(), unresponsive);
    return std::min(grace_end, bound);
}

} // namespace

core::millis max_remaining_freshness(
    const freshness_settings& settings, std::size_t roster_size, std::size_t unresponsive)
{
    const bool may_confirm_each_other = unresponsive >= majority_of(roster_size);
    const auto limit = may_confirm_each_other ? settings.outage_grace : settings.freshness;
    return unresponsive == 0 ? core::millis{0} : limit + settings.margin;
}

void on_epoch_adopted(
    stop_bound_state& state, const model::roster_document& roster, core::mono_time now)
{
    if (!state.adoptions.empty() && state.adoptions.back().epoch >= roster.epoch)
    {
        return;
    }
    state.adoptions.push_back({roster.epoch, now});
    if (state.adoptions.size() > max_adoptions)
    {
        state.adoptions.erase(state.adoptions.begin());
    }
    std::erase_if(state.reports, [&](const auto& w) { return !is_listed(roster, w.process); });
}

void on_epoch_reported(stop_bound_state& state,
    const model::member_record& process,
    ports::epoch_number epoch,
    core::mono_time now)
{
    auto& report = find_or_add_report(state, process);
    if (epoch > report.epoch)
    {
        report.epoch = epoch;
        report.at = now;
    }
}

void on_process_gone(
    stop_bound_state& state, const model::member_record& process, core::mono_time now)
{
    auto& report = find_or_add_report(state, process);
    if (!report.ended)
    {
        report.ended = true;
        report.at = now;
    }
}

core::mono_time older_epochs_end(
    const stop_bound_state& state, const model::roster_document& roster)
{
    auto latest = core::mono_time::min();
    for (const auto& it : roster.history)
    {
        latest = std::max(latest, epoch_end(state, it));
    }
    return latest;
}

} // namespace camphorhitch::membership
