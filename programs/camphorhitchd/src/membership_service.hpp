/// \file
/// Maintains this process's membership: its lease and member record, heartbeats, the roster, and
/// its freshness.
#pragma once

#include "context.hpp"
#include "membership/freshness.hpp"
#include "membership/roster_logic.hpp"
#include "membership/stop_bound.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace camphorhitch::daemon
{

/// Events of the membership service.
struct membership_events
{
    /// A newer roster was adopted.
    std::function<void()> on_roster;
    /// A peer offered a configuration. \p fresh: whether the peer was fresh by its own state.
    std::function<void(const std::string& document, bool fresh)> on_config_offer;
    /// The process of that member has provably ended.
    std::function<void(const model::member_record&)> on_process_gone;
};

/// The part of the configuration in force that heartbeats carry.
struct config_in_force
{
    std::int64_t version = 0;
    std::string document;
};

/// State of another member by its last heartbeat.
struct peer_view
{
    std::int64_t config_version = 0;
    ports::epoch_number epoch = 0;
    bool fresh = false;
    core::mono_time heard_at{};
};

/// Membership of this process: lease, member record, heartbeats, roster and freshness.
class membership_service
{
public:
    membership_service(
        context& c, membership::freshness_settings freshness, membership_events events);

    /// Registers this process and starts the periodic tasks.
    void start();
    /// Leaves the roster; \p done is called when a roster without this process is in force.
    void leave(std::function<void()> done);
    /// Revokes the lease, so that the store removes this process's member record at once.
    void revoke_own_lease(std::function<void()> done);

    /// \return whether the adopted roster is confirmed to be in force.
    bool fresh() const;
    /// \return whether the store has confirmed the roster recently.
    bool store_reachable() const;
    /// \return whether this process is a member of the adopted roster.
    bool in_roster() const;
    /// \return the record of this process.
    const model::member_record& self() const;
    /// \return the adopted roster; epoch 0 while there is none.
    const model::roster_document& roster() const;
    /// \return time from which no process acts under an older epoch.
    core::mono_time older_epochs_stopped_at() const;
    /// \return whether the process \p who has provably ended.
    bool is_gone(const model::member_record& who) const;
    /// \return processes of previous rosters that may have acted less than \p longest ago.
    membership::member_list recent_previous_members(core::millis longest) const;
    /// \return the last heartbeats of other members, by member id.
    const std::map<std::string, peer_view>& peers() const;
    /// Sets the configuration that heartbeats carry.
    void set_config_in_force(config_in_force it);

    /// Handles a peer's heartbeat.
    /// \return the reply.
    ports::heartbeat on_heartbeat(const ports::heartbeat& from);
    /// Applies a changed roster or member record; other keys are ignored.
    void on_document(const ports::kv_entry& entry);
    /// All documents were read.
    /// \param asked_at time at which the read was sent.
    void on_documents_read(core::mono_time asked_at);

private:
    void renew_lease();
    void grant_lease();
    void register_self();
    void confirm();
    void send_heartbeats();
    void send_heartbeat(const model::member_record& to);
    void on_heartbeat_reply(const model::member_record& to,
        ports::peer_status status,
        const ports::heartbeat& reply,
        core::mono_time started);
    void record_process_gone(const model::member_record& who);
    bool is_replaced(const model::member_record& who) const;
    void record_replaced_processes();
    void apply_heartbeat(const ports::heartbeat& from);
    void run_round();
    void write_roster(const membership::propose_roster& it);
    void adopt(const std::string& text, ports::revision modified);
    void apply_member_records();
    ports::heartbeat make_heartbeat() const;

    context& context_;
    membership_events events_;
    membership::freshness_state freshness_;
    membership::roster_state roster_state_;
    membership::stop_bound_state stop_;
    model::roster_document roster_;
    std::string roster_text_;
    ports::revision roster_revision_ = 0; ///< 0 when only a peer has sent the roster
    /// A read of all documents that the roster logic requested.
    struct reread_request
    {
        std::uint64_t ticket = 0;
        core::mono_time at{};
    };
    std::optional<reread_request> reread_request_;
    config_in_force config_;
    std::map<std::string, peer_view> peers_;
    std::set<std::string> ended_processes_; ///< names of processes that have provably ended
    /// Time at which this process saw another one leave the roster, by process name.
    std::map<std::string, core::mono_time> left_at_;
    ports::lease_id lease_ = 0;
    bool granting_ = false;
    bool registering_ = false;
    bool confirming_ = false;
    bool was_reachable_ = false;
    bool leaving_ = false;
    bool stopped_ = false;
    std::int64_t sequence_ = 0;
    std::function<void()> on_left_;
};

} // namespace camphorhitch::daemon
