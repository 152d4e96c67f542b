/// \file
/// Keeps this process a member: its lease and record, heartbeats, the roster, and its freshness.
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

struct membership_events
{
    /// A newer roster was adopted.
    std::function<void()> on_roster;
    /// A peer offered a configuration. \p fresh: whether it was fresh by its own rule.
    std::function<void(const std::string& document, bool fresh)> on_config_offer;
    /// The process of that member is certainly gone.
    std::function<void(const model::member_record&)> on_process_gone;
};

/// What heartbeats carry of the configuration in force here.
struct config_in_force
{
    std::int64_t version = 0;
    std::string document;
};

/// What is known of another member by its heartbeats.
struct peer_view
{
    std::int64_t config_version = 0;
    ports::epoch_number epoch = 0;
    bool fresh = false;
    core::mono_time heard{};
};

class membership_service
{
public:
    membership_service(
        context& c, membership::freshness_settings freshness, membership_events events);

    void start();
    /// Leaves the roster; \p done is called when a roster without us is in force.
    void leave(std::function<void()> done);
    /// Gives the lease back, so that our record goes at once.
    void give_up_lease(std::function<void()> done);

    bool fresh() const;
    bool store_reachable() const;
    bool in_roster() const;
    const model::member_record& self() const;
    const model::roster_document& roster() const;
    /// \return when no process acts under an older epoch any more.
    core::mono_time older_epochs_stopped() const;
    /// \return whether that process is proven to have ended.
    bool is_gone(const model::member_record& who) const;
    /// \return processes of former rosters that may have acted less than \p longest ago.
    membership::member_list recent_formers(core::millis longest) const;
    const std::map<std::string, peer_view>& peers() const;
    void set_config(config_in_force it);

    ports::heartbeat on_beat(const ports::heartbeat& from);
    void on_document(const ports::kv_entry& entry);
    /// All documents were read. \param asked_at when the read was sent.
    void on_documents_read(core::mono_time asked_at);

private:
    void keep_lease();
    void grant_lease();
    void register_self();
    void confirm();
    void beat_all();
    void beat(const model::member_record& to);
    void on_beat_reply(const model::member_record& to,
        ports::peer_status status,
        const ports::heartbeat& reply,
        core::mono_time started);
    void note_gone(const model::member_record& who);
    bool is_replaced(const model::member_record& who) const;
    void note_replaced();
    void take_word(const ports::heartbeat& from);
    void look();
    void act(const membership::propose_roster& it);
    void adopt(const std::string& text, ports::revision modified);
    void take_leased();
    ports::heartbeat own_beat() const;

    context& context_;
    membership_events events_;
    membership::freshness_state freshness_;
    membership::roster_state roster_state_;
    membership::stop_bound_state stop_;
    model::roster_document roster_;
    std::string roster_text_;
    ports::revision roster_revision_ = 0; ///< 0: heard from a peer only
    /// A whole read that the roster's logic asked for.
    struct asked_reread
    {
        std::uint64_t ticket = 0;
        core::mono_time at{};
    };
    std::optional<asked_reread> asked_reread_;
    config_in_force config_;
    std::map<std::string, peer_view> peers_;
    std::set<std::string> gone_; ///< proven to have ended, by process name
    /// When this process saw another leave the roster, by process name.
    std::map<std::string, core::mono_time> left_at_;
    ports::lease_id lease_ = 0;
    bool granting_ = false;
    bool registering_ = false;
    bool confirming_ = false;
    bool was_reachable_ = false;
    bool leaving_ = false;
    bool stopped_ = false;
    std::int64_t sequence_ = 0;
    std::function<void()> left_;
};

} // namespace camphorhitch::daemon
