#include "slot_recovery.hpp"

#include <algorithm>

namespace camphorhitch::claims
{

namespace
{

enum class epoch_status
{
    complete,
    granted_nothing,
    unresolved
};

class recovery_search
{
public:
    recovery_search(const claim_table& table, std::uint32_t slot)
        : table_{table}, number_{slot}, slot_{table.slots[slot]}
    {
        status_.quarantine_end = table.adopted_at + quarantine_time(table.settings);
    }

    recovery_status run()
    {
        if (is_complete_through(table_.roster.epoch))
        {
            status_.complete = true;
            return status_;
        }
        auto epoch = table_.roster.epoch;
        for (const auto& former : table_.roster.history)
        {
            if (former.epoch + 1 != epoch)
            {
                return status_;
            }
            epoch = former.epoch;
            apply_quarantines(epoch);
            const auto epoch_result = resolve_epoch(former);
            if (epoch_result == epoch_status::complete)
            {
                status_.complete = true;
                return status_;
            }
            if (epoch_result == epoch_status::unresolved)
            {
                return status_;
            }
        }
        // Nothing was granted before the first epoch.
        status_.complete = epoch == 1;
        return status_;
    }

private:
    bool is_complete_through(ports::epoch_number epoch) const
    {
        return slot_.complete_through >= epoch ||
               std::any_of(slot_.reports.begin(),
                   slot_.reports.end(),
                   [&](const auto& r) { return r.complete_through >= epoch; });
    }

    /// All epochs after \p epoch are resolved, so a member that waits for the end of a quarantine
    /// that covers \p epoch will be complete when that quarantine ends. The same end is valid here,
    /// and the wait does not start anew.
    void apply_quarantines(ports::epoch_number epoch)
    {
        if (slot_.quarantined_through >= epoch)
        {
            status_.quarantine_end = std::min(status_.quarantine_end, slot_.quarantine_until);
        }
        for (const auto& it : slot_.reports)
        {
            if (it.quarantined_through >= epoch)
            {
                status_.quarantine_end = std::min(status_.quarantine_end, it.quarantine_until);
            }
        }
    }

    epoch_status resolve_epoch(const model::former_roster& former)
    {
        if (is_complete_through(former.epoch))
        {
            return epoch_status::complete;
        }
        const auto holders = membership::claim_holders(former.members, number_);
        if (holders.first == nullptr)
        {
            return epoch_status::granted_nothing;
        }
        for (const auto* holder : {holders.first, holders.second})
        {
            if (holder != nullptr && was_incomplete(*holder, former.epoch))
            {
                return epoch_status::granted_nothing;
            }
        }
        add_holder_to_ask(holders.first);
        add_holder_to_ask(holders.second);
        return epoch_status::unresolved;
    }

    /// The caller has checked that neither this member nor any member that reported was complete
    /// through \p epoch.
    bool was_incomplete(const model::member_record& holder, ports::epoch_number epoch) const
    {
        if (membership::same_process(holder, table_.self))
        {
            return true;
        }
        return std::any_of(slot_.reports.begin(),
            slot_.reports.end(),
            [&](const auto& r)
            { return membership::same_process(r.holder, holder) && r.refused_through >= epoch; });
    }

    void add_holder_to_ask(const model::member_record* holder)
    {
        if (holder == nullptr)
        {
            return;
        }
        if (!membership::contains_process(slot_.lost_holders, *holder))
        {
            status_.holders_to_ask.push_back(*holder);
        }
    }

    const claim_table& table_;
    std::uint32_t number_;
    const claim_slot& slot_;
    recovery_status status_;
};

} // namespace

recovery_status evaluate_recovery(const claim_table& table, std::uint32_t slot)
{
    return recovery_search{table, slot}.run();
}

} // namespace camphorhitch::claims
