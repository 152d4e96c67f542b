#include "membership_service.hpp"

#include "model/codec.hpp"
#include "model/keys.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace camphorhitch::daemon
{

namespace
{

/// Number of renewals per time to live of the lease; the lease survives two lost calls.
constexpr int renewals_per_ttl = 4;

model::member_record sender_of(const ports::heartbeat& it, const std::string& address)
{
    return {it.member, it.incarnation, address, ""};
}

} // namespace

membership_service::membership_service(
    context& c, membership::freshness_settings freshness, membership_events events)
    : context_(c), events_(std::move(events))
{
    freshness_.settings = freshness;
    freshness_.self = c.self;
    roster_state_.self = c.self;
    stop_.settings = freshness;
    stop_.self = c.self;
}

void membership_service::start()
{
    grant_lease();
    context_.run_every(context_.timing.lease_ttl / renewals_per_ttl, [this] { renew_lease(); });
    context_.run_every(context_.timing.confirm_interval, [this] { confirm(); });
    context_.run_every(context_.timing.heartbeat_interval, [this] { send_heartbeats(); });
    context_.run_every(context_.timing.membership_interval, [this] { run_round(); });
}

bool membership_service::fresh() const
{
    return membership::is_fresh(freshness_, context_.scheduler.now());
}

bool membership_service::store_reachable() const
{
    return membership::is_store_reachable(freshness_, context_.scheduler.now());
}

bool membership_service::in_roster() const
{
    return membership::contains_process(roster_.members, context_.self);
}

const model::member_record& membership_service::self() const
{
    return context_.self;
}

const model::roster_document& membership_service::roster() const
{
    return roster_;
}

core::mono_time membership_service::older_epochs_stopped_at() const
{
    return membership::older_epochs_end(stop_, roster_);
}

membership::member_list membership_service::recent_previous_members(core::millis longest) const
{
    const auto now = context_.scheduler.now();
    membership::member_list found;
    for (const auto& former : roster_.history)
    {
        for (const auto& it : former.members)
        {
            const auto left = left_at_.find(membership::process_name(it));
            const bool long_ago = left != left_at_.end() && now - left->second > longest;
            if (!long_ago && !membership::contains_process(roster_.members, it) &&
                !membership::contains_process(found, it))
            {
                found.push_back(it);
            }
        }
    }
    return found;
}

const std::map<std::string, peer_view>& membership_service::peers() const
{
    return peers_;
}

void membership_service::set_config_in_force(config_in_force it)
{
    config_ = std::move(it);
}

void membership_service::leave(std::function<void()> done)
{
    leaving_ = true;
    on_left_ = std::move(done);
    membership::leave(roster_state_);
    run_round();
}

void membership_service::revoke_own_lease(std::function<void()> done)
{
    stopped_ = true;
    if (lease_ == 0)
    {
        done();
        return;
    }
    context_.store.revoke_lease(lease_, [done = std::move(done)](ports::kv_status) { done(); });
}

void membership_service::grant_lease()
{
    if (granting_ || stopped_)
    {
        return;
    }
    granting_ = true;
    context_.store.grant_lease(context_.timing.lease_ttl,
        [this](ports::kv_lease it)
        {
            granting_ = false;
            if (it.status == ports::kv_status::ok)
            {
                lease_ = it.id;
                register_self();
            }
        });
}

void membership_service::renew_lease()
{
    if (lease_ == 0)
    {
        grant_lease();
        return;
    }
    if (stopped_)
    {
        return;
    }
    context_.store.keep_alive(lease_,
        [this](ports::kv_lease it)
        {
            const bool expired = it.status == ports::kv_status::ok && it.ttl.count() <= 0;
            if (expired || it.status == ports::kv_status::rejected)
            {
                context_.log(ports::log_level::warning, "lease_lapsed", {});
                lease_ = 0;
                grant_lease();
            }
        });
}

void membership_service::register_self()
{
    if (registering_ || lease_ == 0 || leaving_)
    {
        return;
    }
    registering_ = true;
    const auto text = model::encode(context_.self);
    update_document(
        context_.document_updater(),
        model::keys::members + context_.self.id,
        [text](const std::string*) -> change_result { return std::optional<std::string>{text}; },
        [this](const core::result<core::done>& it)
        {
            registering_ = false;
            if (!core::is_ok(it))
            {
                context_.log(ports::log_level::warning,
                    "register_failed",
                    {{"text", core::failure(it).message}});
                lease_ = 0; // the next renewal grants a new lease and registers the record
            }
        },
        lease_);
}

/// Confirms with the store that the roster adopted by this process is still in force. The
/// confirmation counts from the time the request was sent, because an answer that is read after a
/// pause describes the state before the pause.
void membership_service::confirm()
{
    if (confirming_ || roster_revision_ == 0)
    {
        return;
    }
    confirming_ = true;
    const auto started = context_.scheduler.now();
    const auto epoch = roster_.epoch;
    context_.store.check(model::keys::roster,
        roster_revision_,
        [this, started, epoch](const ports::kv_write& it)
        {
            confirming_ = false;
            if (it.status == ports::kv_status::ok)
            {
                membership::on_store_confirmed(freshness_, epoch, started);
            }
            else if (it.status == ports::kv_status::conflict)
            {
                context_.documents->refresh();
            }
        });
}

ports::heartbeat membership_service::make_heartbeat() const
{
    ports::heartbeat it;
    it.member = context_.self.id;
    it.incarnation = context_.self.incarnation;
    it.epoch = roster_.epoch;
    it.config_version = config_.version;
    it.store_reachable = store_reachable();
    it.fresh = fresh();
    it.sequence = sequence_;
    it.unresponsive_peers = membership::unresponsive_peers(roster_state_, context_.scheduler.now());
    return it;
}

void membership_service::send_heartbeats()
{
    ++sequence_;
    std::set<std::string> contacted;
    for (const auto* list : {&roster_.members, &roster_state_.leased})
    {
        for (const auto& it : *list)
        {
            if (!membership::same_process(it, context_.self) && contacted.insert(it.address).second)
            {
                send_heartbeat(it);
            }
        }
    }
}

void membership_service::send_heartbeat(const model::member_record& to)
{
    auto message = make_heartbeat();
    const auto known = peers_.find(to.id);
    if (known != peers_.end() && known->second.epoch < roster_.epoch)
    {
        message.roster_document = roster_text_;
    }
    if (known != peers_.end() && known->second.config_version < config_.version)
    {
        message.config_document = config_.document;
    }
    const auto started = context_.scheduler.now();
    context_.peers.beat(to.address,
        std::move(message),
        [this, to, started](ports::peer_status status, const ports::heartbeat& reply)
        { on_heartbeat_reply(to, status, reply, started); });
}

void membership_service::on_heartbeat_reply(const model::member_record& to,
    ports::peer_status status,
    const ports::heartbeat& reply,
    core::mono_time started)
{
    const auto now = context_.scheduler.now();
    if (status == ports::peer_status::refused)
    {
        membership::on_refused(roster_state_, to, now);
        record_process_gone(to);
        return;
    }
    if (status != ports::peer_status::ok)
    {
        return;
    }
    if (reply.member == to.id && reply.incarnation != to.incarnation)
    {
        // Another process answers at that address, so the addressed process has ended.
        record_process_gone(to);
        return;
    }
    membership::on_peer_confirmed(freshness_, reply, started);
    membership::on_heard(roster_state_, to, reply.unresponsive_peers, now);
    apply_heartbeat(reply);
}

void membership_service::record_replaced_processes()
{
    for (const auto& former : roster_.history)
    {
        for (const auto& it : former.members)
        {
            if (is_replaced(it))
            {
                record_process_gone(it);
            }
        }
    }
}

void membership_service::record_process_gone(const model::member_record& who)
{
    membership::on_process_gone(stop_, who, context_.scheduler.now());
    if (ended_processes_.insert(membership::process_name(who)).second)
    {
        context_.log(ports::log_level::info, "process_gone", {{"member", who.id}});
        events_.on_process_gone(who);
    }
}

/// Two processes can't listen at one address: when another process at that address is a member, the
/// older process has ended.
bool membership_service::is_replaced(const model::member_record& who) const
{
    const auto in_its_place = [&](const model::member_record& it)
    {
        return it.address == who.address && !membership::same_process(it, who);
    };
    return in_its_place(context_.self) ||
           std::any_of(roster_.members.begin(), roster_.members.end(), in_its_place);
}

bool membership_service::is_gone(const model::member_record& who) const
{
    return ended_processes_.count(membership::process_name(who)) > 0 || is_replaced(who);
}

ports::heartbeat membership_service::on_heartbeat(const ports::heartbeat& from)
{
    const auto now = context_.scheduler.now();
    membership::on_epoch_heard(freshness_, from.epoch);
    for (const auto* list : {&roster_.members, &roster_state_.leased})
    {
        for (const auto& it : *list)
        {
            if (it.id == from.member && it.incarnation == from.incarnation)
            {
                membership::on_heard(roster_state_, it, from.unresponsive_peers, now);
            }
        }
    }
    apply_heartbeat(from);
    auto reply = make_heartbeat();
    reply.sequence = from.sequence;
    if (from.epoch < roster_.epoch)
    {
        reply.roster_document = roster_text_;
    }
    if (from.config_version < config_.version)
    {
        reply.config_document = config_.document;
    }
    return reply;
}

void membership_service::apply_heartbeat(const ports::heartbeat& from)
{
    const auto now = context_.scheduler.now();
    peers_[from.member] = {from.config_version, from.epoch, from.fresh, now};
    membership::on_epoch_reported(stop_, sender_of(from, ""), from.epoch, now);
    if (from.store_reachable && !store_reachable())
    {
        // The peer reaches the store again, so its confirmations no longer keep this member fresh.
        // Without an immediate request to the store, this member would refuse requests until its
        // next periodic confirmation.
        confirm();
    }
    if (!from.roster_document.empty())
    {
        adopt(from.roster_document, 0);
    }
    if (!from.config_document.empty())
    {
        events_.on_config_offer(from.config_document, from.fresh);
    }
}

void membership_service::on_document(const ports::kv_entry& entry)
{
    if (entry.key == model::keys::roster)
    {
        adopt(entry.value, entry.modified);
    }
    else if (entry.key.compare(0, model::keys::members.size(), model::keys::members) == 0)
    {
        apply_member_records();
    }
}

void membership_service::on_documents_read(core::mono_time asked_at)
{
    const auto now = context_.scheduler.now();
    if (context_.documents->find(model::keys::roster) == nullptr)
    {
        membership::on_roster(roster_state_, std::nullopt, 0, now);
    }
    else
    {
        // Passing the unchanged document shows the roster logic that the document has been read
        // since a pause.
        membership::on_roster(roster_state_, roster_, roster_revision_, now);
    }
    apply_member_records();
    // A read sent before the request for it may describe the state before a pause.
    if (reread_request_ && asked_at >= reread_request_->at)
    {
        membership::on_reread(roster_state_, reread_request_->ticket, now);
        reread_request_.reset();
    }
}

void membership_service::apply_member_records()
{
    if (!context_.documents->loaded())
    {
        return;
    }
    membership::member_list leased;
    for (const auto* it : context_.documents->entries_with_prefix(model::keys::members))
    {
        auto one = model::decode_member(it->value, it->key);
        if (const auto* record = std::get_if<model::member_record>(&one))
        {
            leased.push_back(*record);
        }
    }
    membership::on_leased(roster_state_, std::move(leased), context_.scheduler.now());
}

void membership_service::adopt(const std::string& text, ports::revision modified)
{
    auto decoded = model::decode_roster(text, model::keys::roster);
    const auto* next = std::get_if<model::roster_document>(&decoded);
    if (next == nullptr)
    {
        context_.log(ports::log_level::error,
            "roster_damaged",
            {{"findings", core::to_text(std::get<core::findings>(decoded))}});
        return;
    }
    const auto now = context_.scheduler.now();
    if (modified > 0)
    {
        membership::on_roster(roster_state_, *next, modified, now);
    }
    if (next->epoch == roster_.epoch && modified > 0)
    {
        roster_revision_ = modified;
    }
    if (next->epoch <= roster_.epoch)
    {
        return;
    }
    for (const auto& it : roster_.members)
    {
        if (!membership::contains_process(next->members, it))
        {
            left_at_[membership::process_name(it)] = now;
        }
    }
    roster_ = *next;
    roster_text_ = text;
    roster_revision_ = modified;
    membership::on_roster_adopted(freshness_, roster_);
    membership::on_epoch_adopted(stop_, roster_, now);
    record_replaced_processes();
    context_.log(ports::log_level::info,
        "roster_adopted",
        {{"epoch", std::to_string(roster_.epoch)},
            {"members", std::to_string(roster_.members.size())},
            {"from", modified > 0 ? "store" : "peer"}});
    if (modified == 0)
    {
        context_.documents->refresh();
    }
    confirm();
    events_.on_roster();
    if (on_left_ && !in_roster())
    {
        std::exchange(on_left_, nullptr)();
    }
}

void membership_service::run_round()
{
    const auto now = context_.scheduler.now();
    const bool reachable = store_reachable();
    if (was_reachable_ && !reachable)
    {
        membership::on_store_lost(roster_state_);
        context_.documents->refresh();
    }
    was_reachable_ = reachable;
    context_.telemetry.gauge("camphorhitch_fresh", {}, fresh() ? 1 : 0);
    for (const auto& it : membership::on_tick(roster_state_, context_.random_unit(), now))
    {
        if (const auto* next = std::get_if<membership::propose_roster>(&it))
        {
            write_roster(*next);
        }
        else if (const auto* reread = std::get_if<membership::reread_store>(&it))
        {
            reread_request_ = {reread->ticket, now};
            context_.documents->refresh();
        }
        else
        {
            register_self();
        }
    }
}

void membership_service::write_roster(const membership::propose_roster& it)
{
    std::string reasons;
    for (const auto& one : it.reasons)
    {
        reasons += (reasons.empty() ? "" : "; ") + one;
    }
    context_.log(ports::log_level::info,
        "roster_proposed",
        {{"epoch", std::to_string(it.next.epoch)}, {"why", reasons}});
    const auto text = model::encode(it.next);
    context_.store.put_if(model::keys::roster,
        text,
        it.expected_revision,
        0,
        [this, text](const ports::kv_write& reply)
        {
            if (reply.status == ports::kv_status::ok)
            {
                context_.documents->apply_entry({model::keys::roster, text, reply.modified, 0});
            }
            else if (reply.status == ports::kv_status::conflict && !reply.current.key.empty())
            {
                context_.documents->apply_entry(reply.current);
            }
            else
            {
                context_.documents->refresh();
            }
        });
}

} // namespace camphorhitch::daemon
