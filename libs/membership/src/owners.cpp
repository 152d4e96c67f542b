#include "membership/owners.hpp"

#include "core/rendezvous.hpp"

#include <algorithm>

namespace camphorhitch::membership
{

bool same_process(const model::member_record& a, const model::member_record& b)
{
    return a.id == b.id && a.incarnation == b.incarnation;
}

const model::member_record* find_member(const member_list& members, std::string_view id)
{
    const auto it =
        std::find_if(members.begin(), members.end(), [&](const auto& m) { return m.id == id; });
    return it == members.end() ? nullptr : &*it;
}

bool contains_process(const member_list& members, const model::member_record& process)
{
    return std::any_of(
        members.begin(), members.end(), [&](const auto& m) { return same_process(m, process); });
}

std::string process_name(const model::member_record& process)
{
    return process.id + "/" + process.incarnation;
}

std::vector<std::size_t> rank_members(const member_list& members, std::string_view key)
{
    std::vector<std::string_view> ids;
    ids.reserve(members.size());
    for (const auto& it : members)
    {
        ids.emplace_back(it.id);
    }
    return core::rendezvous_order(key, ids);
}

const model::member_record* owner_of(const model::roster_document& roster, std::string_view key)
{
    if (roster.members.empty())
    {
        return nullptr;
    }
    return &roster.members[rank_members(roster.members, key).front()];
}

const model::member_record* owner_of_pool(
    const model::roster_document& roster, std::string_view pool)
{
    return owner_of(roster, "pool/" + std::string{pool});
}

const model::member_record* owner_of_wave(
    const model::roster_document& roster, std::string_view wave)
{
    return owner_of(roster, "wave/" + std::string{wave});
}

const model::member_record* owner_of_experiment(
    const model::roster_document& roster, std::string_view experiment)
{
    return owner_of(roster, "experiment/" + std::string{experiment});
}

slot_holders claim_holders(const member_list& members, std::uint32_t slot)
{
    slot_holders holders;
    for (const auto it : rank_members(members, "claims/" + std::to_string(slot)))
    {
        const auto& candidate = members[it];
        if (holders.first == nullptr)
        {
            holders.first = &candidate;
        }
        else if (candidate.zone != holders.first->zone)
        {
            holders.second = &candidate;
            break;
        }
        else if (holders.second == nullptr)
        {
            holders.second = &candidate;
        }
    }
    return holders;
}

std::uint32_t slot_of_key(std::string_view key)
{
    return static_cast<std::uint32_t>(core::stable_hash(key) % slot_count);
}

} // namespace camphorhitch::membership
