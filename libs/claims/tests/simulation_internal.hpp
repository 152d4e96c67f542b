/// \file
/// The implementation of the simulation: its processes, its store and the calls between them.
#pragma once

#include "claims/claim_table.hpp"
#include "membership/freshness.hpp"
#include "membership/roster_logic.hpp"
#include "network_simulator.hpp"
#include "simulation.hpp"

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
/// Interval at which a new key comes into use; most calls use one of the eight newest keys.
inline constexpr millis key_interval{200};

struct running_attempt
{
    attempt a;
    int body = 0;
    mono_time arrived{};
};

struct process
{
    member_record self;
    process_condition condition;
    int ticks = 0;
    int failed_reads = 0;
    std::optional<mono_time> leave_deadline; ///< set while the process leaves
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
    std::optional<roster_document> roster; ///< set for a peer whose epoch is older
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
    mono_time loses_answers_until{};

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

class simulation
{
public:
    explicit simulation(const simulation_options& options);
    simulation_result run();

private:
    /// A call to the process that listens at the address of \p to.
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
        if (to.id == from.self.id)
        {
            serve(from, [end](const Reply& reply) { end(peer_status::ok, reply); });
            return;
        }
        network_.schedule(
            call_timeout, [end] { end(peer_status::unreachable, Reply{}); }, &from.condition);
        for (int copies = network_.chance(3) ? 2 : 1; copies > 0; --copies)
        {
            if (!network_.is_lost(from.self.id, to.id))
            {
                network_.schedule(
                    network_.delay(), [=, this, &from] { arrive<Reply>(from, to, serve, end); });
            }
        }
    }

    template <class Reply, class Serve, class End>
    void arrive(process& from, const member_record& to, Serve serve, End end)
    {
        const auto found = listening_.find(to.id);
        if (found == listening_.end())
        {
            if (!removed_hosts_.contains(to.id))
            {
                network_.schedule(
                    network_.delay(), [end] { end(peer_status::refused, {}); }, &from.condition);
            }
            return;
        }
        const auto reply = [this, to, end, &from](const Reply& it)
        {
            if (!network_.is_lost(to.id, from.self.id))
            {
                network_.schedule(
                    network_.delay(), [end, it] { end(peer_status::ok, it); }, &from.condition);
            }
        };
        auto* callee = found->second;
        network_.schedule(
            millis{0}, [=] { serve(*callee, reply); }, &callee->condition);
    }

    void start(const std::string& id);
    void start_new_host(int within_ms);
    void kill(process& p);
    process* pick_process(int n);
    void inject(const fault& it);
    /// Writes another roster while all members are healthy: one member is removed or added.
    void reshuffle();
    /// \param write runs at the store if the call arrives there. The process then gets the state of
    ///   the store.
    void call_store(process& p, const std::function<void(store&)>& write);
    void on_store_answer(
        process& p, const store_view& seen, mono_time started, std::uint64_t ticket);
    void read_store(process& p);
    void execute(process& p, const membership::roster_action& action);
    beat_message make_beat(const process& p, ports::epoch_number known_epoch);
    void apply_beat(process& p, const beat_message& message);
    void send_beat(process& p, const member_record& peer);
    void send_beats(process& p);
    void adopt(process& p, const roster_document& roster);
    void tick(process& p);
    bool is_fresh(const process& p) const;
    void execute(process& p, const claim_actions& actions);
    void execute_action(process& p, const reply_claim& it);
    void execute_action(process& p, const reply_finish& it);
    void execute_action(process& p, const send_copy& it);
    void execute_action(process& p, const send_pull& it);
    void submit(process& p, const std::string& key, int body);
    static const member_record* first_holder(const process& p, const std::string& key);
    void send_claim(process& p, std::uint64_t number);
    void handle_claim_step(process& p, std::uint64_t number, const claim_step& next);
    void send(process& p, std::uint64_t number);
    static std::string name_of(const attempt& a);
    void report_outcome(process& p, std::uint64_t number, const outcome_report& reported);
    void send_finish(process& p, std::uint64_t number);
    void send_caller_request(const std::string& key, int body);
    /// Calls for a random key, sometimes through several hosts at the same instant, sometimes with
    /// another body.
    void generate_caller_requests();

    simulation_options options_;
    network_simulator network_;
    claim_settings settings_;
    executor_settings executor_;
    membership::freshness_settings freshness_;
    int beat_interval_ticks_ = 0;
    int read_interval_ticks_ = 0;
    std::vector<std::unique_ptr<process>> processes_;
    std::map<std::string, process*> listening_;
    std::set<std::string> removed_hosts_;
    store store_;
    int last_host_number_ = 0;
    std::uint64_t last_answer_number_ = 0;
    simulation_result result_;
};

} // namespace camphorhitch::claims::testing
