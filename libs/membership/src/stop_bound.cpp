#include "membership/stop_bound.hpp"

#include <algorithm>

namespace camphorhitch::membership
{

namespace
{

/// Enough for the adopted roster and its history.
constexpr std::size_t adoptions_kept = 17;

process_word& word_of(stop_state& state, const model::member_record& who)
{
    for (auto& it : state.words)
    {
        if (same_process(it.who, who))
        {
            return it;
        }
    }
    state.words.push_back({who, 0, {}, false});
    return state.words.back();
}

bool is_listed(const model::roster_document& roster, const model::member_record& who)
{
    const auto lists = [&](const auto& former)
    {
        return contains_process(former.members, who);
    };
    return contains_process(roster.members, who) ||
           std::any_of(roster.history.begin(), roster.history.end(), lists);
}

/// When this process first knew that \p epoch was over; the write that ended it came before.
core::mono_time end_seen(const stop_state& state, ports::epoch_number epoch)
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

core::mono_time stopped_from_epoch(const stop_state& state, const model::former_roster& former)
{
    const auto over = end_seen(state, former.epoch);
    auto last_word = over;
    std::size_t silent = 0;
    for (const auto& member : former.members)
    {
        if (same_process(member, state.self))
        {
            continue;
        }
        const auto it = std::find_if(state.words.begin(),
            state.words.end(),
            [&](const auto& w) { return same_process(w.who, member); });
        if (it != state.words.end() && (it->gone || it->epoch > former.epoch))
        {
            last_word = std::max(last_word, it->at);
        }
        else
        {
            ++silent;
        }
    }
    if (silent == 0)
    {
        return over;
    }
    const auto grace = over + state.settings.outage_grace + state.settings.margin;
    const auto bound = last_word + silent_bound(state.settings, former.members.size(), silent);
    return std::min(grace, bound);
}

} // namespace

core::millis silent_bound(
    const freshness_settings& settings, std::size_t roster_size, std::size_t silent)
{
    const bool may_confirm_themselves = silent >= majority_of(roster_size);
    const auto limit = may_confirm_themselves ? settings.outage_grace : settings.freshness;
    return silent == 0 ? core::millis{0} : limit + settings.margin;
}

void on_epoch_adopted(stop_state& state, const model::roster_document& roster, core::mono_time now)
{
    if (!state.adoptions.empty() && state.adoptions.back().epoch >= roster.epoch)
    {
        return;
    }
    state.adoptions.push_back({roster.epoch, now});
    if (state.adoptions.size() > adoptions_kept)
    {
        state.adoptions.erase(state.adoptions.begin());
    }
    std::erase_if(state.words, [&](const auto& w) { return !is_listed(roster, w.who); });
}

void on_word(stop_state& state,
    const model::member_record& who,
    ports::epoch_number epoch,
    core::mono_time now)
{
    auto& word = word_of(state, who);
    if (epoch > word.epoch)
    {
        word.epoch = epoch;
        word.at = now;
    }
}

void on_process_gone(stop_state& state, const model::member_record& who, core::mono_time now)
{
    auto& word = word_of(state, who);
    if (!word.gone)
    {
        word.gone = true;
        word.at = now;
    }
}

core::mono_time stopped_from(const stop_state& state, const model::roster_document& roster)
{
    auto latest = core::mono_time::min();
    for (const auto& it : roster.history)
    {
        latest = std::max(latest, stopped_from_epoch(state, it));
    }
    return latest;
}

} // namespace camphorhitch::membership
