#include "walk_back.hpp"

#include <algorithm>

namespace camphorhitch::claims
{

namespace
{

enum class epoch_finding
{
    whole,
    granted_nothing,
    not_settled
};

class walker
{
public:
    walker(const claim_table& table, std::uint32_t slot)
        : table_{table}, number_{slot}, slot_{table.slots[slot]}
    {
        end_.deadline = table.adopted_at + quarantine_of(table.settings);
    }

    walk_end walk()
    {
        if (is_whole_through(table_.roster.epoch))
        {
            end_.whole = true;
            return end_;
        }
        auto epoch = table_.roster.epoch;
        for (const auto& former : table_.roster.history)
        {
            if (former.epoch + 1 != epoch)
            {
                return end_;
            }
            epoch = former.epoch;
            note_quarantines(epoch);
            const auto finding = settle(former);
            if (finding == epoch_finding::whole)
            {
                end_.whole = true;
                return end_;
            }
            if (finding == epoch_finding::not_settled)
            {
                return end_;
            }
        }
        // Before the first epoch nothing was granted.
        end_.whole = epoch == 1;
        return end_;
    }

private:
    bool is_whole_through(ports::epoch_number epoch) const
    {
        return slot_.complete_through >= epoch ||
               std::any_of(slot_.reports.begin(),
                   slot_.reports.end(),
                   [&](const auto& r) { return r.complete_through >= epoch; });
    }

    /// All epochs after \p epoch are settled, so whoever waits out a quarantine that covers it will
    /// be whole at that quarantine's end; so shall we, without starting it anew.
    void note_quarantines(ports::epoch_number epoch)
    {
        if (slot_.quarantined_through >= epoch)
        {
            end_.deadline = std::min(end_.deadline, slot_.quarantine_until);
        }
        for (const auto& it : slot_.reports)
        {
            if (it.quarantined_through >= epoch)
            {
                end_.deadline = std::min(end_.deadline, it.quarantine_until);
            }
        }
    }

    epoch_finding settle(const model::former_roster& former)
    {
        if (is_whole_through(former.epoch))
        {
            return epoch_finding::whole;
        }
        const auto holders = membership::claim_holders(former.members, number_);
        if (holders.first == nullptr)
        {
            return epoch_finding::granted_nothing;
        }
        for (const auto* holder : {holders.first, holders.second})
        {
            if (holder != nullptr && was_not_whole(*holder, former.epoch))
            {
                return epoch_finding::granted_nothing;
            }
        }
        ask(holders.first);
        ask(holders.second);
        return epoch_finding::not_settled;
    }

    /// The caller has seen that nobody who spoke was whole through \p epoch, this member included.
    bool was_not_whole(const model::member_record& holder, ports::epoch_number epoch) const
    {
        if (membership::same_process(holder, table_.self))
        {
            return true;
        }
        return std::any_of(slot_.reports.begin(),
            slot_.reports.end(),
            [&](const auto& r)
            { return membership::same_process(r.who, holder) && r.refused_through >= epoch; });
    }

    void ask(const model::member_record* holder)
    {
        if (holder == nullptr)
        {
            return;
        }
        if (!membership::contains_process(slot_.gone, *holder))
        {
            end_.ask.push_back(*holder);
        }
    }

    const claim_table& table_;
    std::uint32_t number_;
    const claim_slot& slot_;
    walk_end end_;
};

} // namespace

walk_end walk_back(const claim_table& table, std::uint32_t slot)
{
    return walker{table, slot}.walk();
}

} // namespace camphorhitch::claims
