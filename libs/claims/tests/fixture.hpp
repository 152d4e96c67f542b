/// \file
/// Several claim tables in one process. The test delivers each message between them.
#pragma once

#include "claims/claim_table.hpp"
#include "membership/owners.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace camphorhitch::claims::testing
{

using ports::claim_verdict;
using ports::peer_status;

inline core::mono_time at_ms(int ms)
{
    return core::mono_time{core::millis{ms}};
}

inline model::member_record member(const std::string& id, const std::string& incarnation = "1")
{
    return {id, incarnation, id, "z" + id};
}

inline model::roster_document roster_of(const std::vector<std::string>& ids)
{
    model::roster_document roster;
    roster.epoch = 1;
    for (const auto& it : ids)
    {
        roster.members.push_back(member(it));
    }
    return roster;
}

/// \return the roster of the epoch after \p before, with the members \p ids.
inline model::roster_document next_roster(
    const model::roster_document& before, const std::vector<std::string>& ids)
{
    auto next = roster_of(ids);
    next.epoch = before.epoch + 1;
    next.history = before.history;
    next.history.insert(next.history.begin(), {before.epoch, before.members});
    return next;
}

/// Claim tables by member id. Actions wait until the test delivers them.
struct table_set
{
    std::map<std::string, claim_table> by_id;
    std::map<std::uint64_t, ports::claim_reply> replies; ///< by ticket
    std::map<std::uint64_t, ports::ack> finishes;        ///< by ticket
    std::vector<std::pair<std::string, send_copy>> copies;
    std::vector<std::pair<std::string, send_pull>> pulls;
    std::uint64_t last_ticket = 0;
    int now = 1000;

    claim_table& operator[](const std::string& id)
    {
        if (!by_id.contains(id))
        {
            by_id[id].self = member(id);
        }
        return by_id[id];
    }

    void apply_actions(const std::string& id, const claim_actions& actions)
    {
        for (const auto& it : actions)
        {
            if (const auto* claim = std::get_if<reply_claim>(&it))
            {
                replies[claim->ticket] = claim->reply;
            }
            else if (const auto* finish = std::get_if<reply_finish>(&it))
            {
                finishes[finish->ticket] = finish->reply;
            }
            else if (const auto* copy = std::get_if<send_copy>(&it))
            {
                copies.emplace_back(id, *copy);
            }
            else
            {
                pulls.emplace_back(id, std::get<send_pull>(it));
            }
        }
    }

    void adopt(const std::string& id, const model::roster_document& roster)
    {
        apply_actions(id, on_roster((*this)[id], roster, at_ms(now)));
    }

    std::uint64_t claim(const std::string& id,
        const std::string& key,
        const std::string& executor,
        std::uint64_t body = 0,
        bool fresh = true)
    {
        ports::claim_request request{(*this)[id].roster.epoch, key, body, executor + "/1", 1};
        apply_actions(id, on_claim((*this)[id], ++last_ticket, request, fresh, at_ms(now)));
        return last_ticket;
    }

    std::uint64_t finish(const std::string& id,
        const std::string& key,
        const std::string& executor,
        ports::claim_state state)
    {
        ports::claim_finish finish;
        finish.key = key;
        finish.executor = executor + "/1";
        finish.attempt = 1;
        finish.not_run = state == ports::claim_state::released;
        finish.entry.state = state;
        finish.entry.status = 200;
        finish.entry.body = "answer of " + key;
        finish.entry.answer_kept = state == ports::claim_state::done;
        apply_actions(id, on_finish((*this)[id], ++last_ticket, finish, at_ms(now)));
        return last_ticket;
    }

    /// Delivers a copy.
    /// \return the acknowledgement, which the caller of this function may deliver or drop.
    ports::ack deliver(const std::pair<std::string, send_copy>& it)
    {
        return on_copy((*this)[it.second.to.id], it.second.copy, at_ms(now));
    }

    void acknowledge(const std::pair<std::string, send_copy>& it,
        peer_status status,
        const ports::ack& ack,
        bool fresh = true)
    {
        apply_actions(
            it.first, on_copy_result((*this)[it.first], it.second.number, status, ack, fresh));
    }

    void deliver_copies()
    {
        for (const auto& it : std::exchange(copies, {}))
        {
            acknowledge(it, peer_status::ok, deliver(it));
        }
    }

    /// Delivers pulls until none are left. Pulls to \p gone are refused, pulls to \p unresponsive
    /// are not answered.
    void deliver_pulls(const std::vector<std::string>& gone = {},
        const std::vector<std::string>& unresponsive = {})
    {
        const auto contains = [](const auto& list, const std::string& id)
        {
            return std::find(list.begin(), list.end(), id) != list.end();
        };
        while (!pulls.empty())
        {
            const auto [from, asked] = pulls.back();
            pulls.pop_back();
            auto status = peer_status::ok;
            status = contains(unresponsive, asked.to.id) ? peer_status::unreachable : status;
            status = contains(gone, asked.to.id) ? peer_status::refused : status;
            ports::slot_pull_reply reply;
            if (status == peer_status::ok)
            {
                reply = on_pull((*this)[asked.to.id], asked.pull, at_ms(now));
            }
            apply_actions(from, on_pull_result((*this)[from], asked, status, reply, at_ms(now)));
        }
    }

    claim_verdict verdict(std::uint64_t ticket) const
    {
        return replies.at(ticket).verdict;
    }
};

/// \return a key whose slot has the two holders \p first and \p second among \p ids.
inline std::string key_held_by(
    const std::vector<std::string>& ids, const std::string& first, const std::string& second)
{
    const auto roster = roster_of(ids);
    for (int n = 0;; ++n)
    {
        auto key = "key" + std::to_string(n);
        const auto holders =
            membership::claim_holders(roster.members, membership::slot_of_key(key));
        if (holders.first->id == first && holders.second->id == second)
        {
            return key;
        }
    }
}

} // namespace camphorhitch::claims::testing
