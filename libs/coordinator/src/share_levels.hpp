/// \file
/// The levels at which shares apply, and the accounts of a job at each of them.
#pragma once

#include "coordinator/fleet.hpp"

namespace camphorhitch::coordinator
{

/// \return whether accounts are kept at the level.
inline bool has_level(const fleet& f, share_level level)
{
    const auto& p = f.settings.placement;
    return p.shares == share_rule::work &&
           (level == share_level::workspace || (level == share_level::queue && p.share.by_queue) ||
               (level == share_level::zone && p.share.by_zone));
}

/// \return the name of the job's account; empty: it has none at this level. Jobs of open queues
/// have no workspace, and jobs that nodes of the previous version accepted have no zone.
inline const std::string& account_name(const workflow::job& j, share_level level)
{
    return level == share_level::workspace ? j.workspace
           : level == share_level::queue   ? j.queue
                                           : j.zone;
}

/// \return the thousandths of a core that a task of the step counts with: the largest share that it
/// requires of any resource of all hosts in working pools, times the cores of these hosts.
std::int64_t dominant_cpu(const fleet& f, const workflow::step& s);

/// \return what the account contains now, in core-seconds.
double account_use(const fleet& f, const share_account& a, core::mono_time now);

/// Calls \p fn with each level at which the job has an account, and with the name of the account.
template <class Fn>
void for_each_account(const fleet& f, const workflow::job& j, Fn fn)
{
    for (const auto& it : share_level_names)
    {
        const auto& name = account_name(j, it.value);
        if (has_level(f, it.value) && !name.empty())
        {
            fn(it.value, name);
        }
    }
}

} // namespace camphorhitch::coordinator
