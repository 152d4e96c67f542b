/// \file
/// The inside of a world: its processes, its store and what happens between them.
#pragma once

#include "bag.hpp"
#include "claims/claim_table.hpp"
#include "membership/freshness.hpp"
#include "membership/roster_logic.hpp"
#include "world.hpp"

#include <map>
#include <memory>
#include <set>

namespace camphorhitch::claims::testing
{

using membership::member_list;
using model::member_record;
using model::roster_document;
using ports::peer_status;

inline constexpr millis call_timeout{800};
inline constexpr millis tick_interval{100};
inline constexpr millis lease_ttl{3000};
/// A new key comes into use this often; most calls are for one of the newest eight.
inline constexpr millis key_interval{200};

struct running_attempt
{
    attempt a;
    int body = 0;
    mono_time arrived{};
};

struct process
{
    member_record who;
    life alive;
    int ticks = 0;
    int failed_reads = 0;
    std::optional<mono_time> leave_by; ///< leaving
    membership::freshness_state freshness;
    membership::roster_state roster;
    claim_table claims;
    std::map<std::uint64_t, running_attempt> attempts;
    std::map<std::uint64_t, std::function<void(ports::claim_reply)>> claim_tickets;
    std::map<std::uint64_t, std::function<void(ports::ack)>> finish_tickets;
    std::uint64_t last_ticket = 0;
};

struct beat_message
{
    ports::heartbeat beat;
    std::optional<roster_document> roster; ///< for a peer that is behind
};

struct store_view
{
    bool ok = false;
    std::optional<roster_document> roster;
    ports::revision revision = 0;
    member_list leased;
};

struct store
{
    std::optional<roster_document> roster;
    ports::revision revision = 0;
    std::map<std::string, std::pair<member_record, mono_time>> leases;
    mono_time down_until{};
    mono_time forgets_until{};

    store_view view(mono_time now)
    {
        std::erase_if(leases, [&](const auto& it) { return it.second.second < now; });
        store_view seen{true, roster, revision, {}};
        for (const auto& [id, lease] : leases)
        {
            seen.leased.push_back(lease.first);
        }
        return seen;
    }

    void write(roster_document next, ports::revision expected)
    {
        if (revision == expected)
        {
            roster = std::move(next);
            ++revision;
        }
    }
};

class world
{
public:
    explicit world(const world_options& options);
    world_result run();

private:
    /// A call to whichever process listens at the address of \p to.
    template <class Reply, class Serve, class Done>
    void call(process& from, const member_record& to, Serve serve, Done done)
    {
        auto ended = std::make_shared<bool>(false);
        const auto end = [ended, done](peer_status status, const Reply& reply)
        {
            if (!std::exchange(*ended, true))
            {
                done(status, reply);
            }
        };
        if (to.id == from.who.id)
        {
            serve(from, [end](const Reply& reply) { end(peer_status::ok, reply); });
            return;
        }
        bag_.at(
            call_timeout, [end] { end(peer_status::unreachable, Reply{}); }, &from.alive);
        for (int copies = bag_.chance(3) ? 2 : 1; copies > 0; --copies)
        {
            if (!bag_.is_lost(from.who.id, to.id))
            {
                bag_.at(bag_.delay(), [=, this, &from] { arrive<Reply>(from, to, serve, end); });
            }
        }
    }

    template <class Reply, class Serve, class End>
    void arrive(process& from, const member_record& to, Serve serve, End end)
    {
        const auto found = listening_.find(to.id);
        if (found == listening_.end())
        {
            if (!gone_hosts_.contains(to.id))
            {
                bag_.at(
                    bag_.delay(), [end] { end(peer_status::refused, {}); }, &from.alive);
            }
            return;
        }
        const auto reply = [this, to, end, &from](const Reply& it)
        {
            if (!bag_.is_lost(to.id, from.who.id))
            {
                bag_.at(
                    bag_.delay(), [end, it] { end(peer_status::ok, it); }, &from.alive);
            }
        };
        auto* callee = found->second;
        bag_.at(
            millis{0}, [=] { serve(*callee, reply); }, &callee->alive);
    }

    void start(const std::string& id);
    void start_new_host(int within_ms);
    void kill(process& p);
    process* pick(int n);
    void cause(const fault& it);
    /// Another roster while all are well: without somebody, or with somebody more.
    void reshuffle();
    /// \param write runs at the store, if the call gets there; then the process is told what
    /// stands.
    void at_store(process& p, const std::function<void(store&)>& write);
    void on_store_answer(
        process& p, const store_view& seen, mono_time started, std::uint64_t ticket);
    void read_store(process& p);
    void act(process& p, const membership::roster_action& action);
    beat_message beat_of(const process& p, ports::epoch_number known);
    void hear(process& p, const beat_message& message);
    void send_beat(process& p, const member_record& peer);
    void send_beats(process& p);
    void adopt(process& p, const roster_document& roster);
    void tick(process& p);
    bool is_fresh(const process& p) const;
    void act(process& p, const claim_actions& actions);
    void act_one(process& p, const reply_claim& it);
    void act_one(process& p, const reply_finish& it);
    void act_one(process& p, const send_copy& it);
    void act_one(process& p, const send_pull& it);
    void submit(process& p, const std::string& key, int body);
    static const member_record* first_holder(const process& p, const std::string& key);
    void ask(process& p, std::uint64_t number);
    void follow(process& p, std::uint64_t number, const claim_step& next);
    void send(process& p, std::uint64_t number);
    static std::string name_of(const attempt& a);
    void tell(process& p, std::uint64_t number, const outcome_report& told);
    void tell_end(process& p, std::uint64_t number);
    void call_in(const std::string& key, int body);
    /// Some key, sometimes through several hosts at the same instant, sometimes with another body.
    void callers();

    world_options options_;
    bag bag_;
    claim_settings settings_;
    executor_settings executor_;
    membership::freshness_settings freshness_;
    int beat_every_ = 0; ///< ticks
    int read_every_ = 0; ///< ticks
    std::vector<std::unique_ptr<process>> processes_;
    std::map<std::string, process*> listening_;
    std::set<std::string> gone_hosts_;
    store store_;
    int hosts_ = 0;
    std::uint64_t answers_ = 0;
    world_result result_;
};

} // namespace camphorhitch::claims::testing
