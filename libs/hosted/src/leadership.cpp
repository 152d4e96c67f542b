#include "hosted/keys.hpp"
#include "leadership_state.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

void leadership_state::schedule(core::millis delay, void (leadership_state::*next)())
{
    ctx.time.cancel(timer);
    timer_due_at = ctx.boot_now() + delay;
    timer = ctx.time.after(delay,
        guarded(
            [next](leadership_state& self)
            {
                self.timer_delay = self.ctx.boot_now() - self.timer_due_at;
                (self.*next)();
            }));
}

ports::log_fields leadership_state::renewal_delay_fields(core::mono_time now) const
{
    const auto text = [](core::micros age)
    {
        return std::to_string(std::chrono::duration_cast<core::millis>(age).count());
    };
    return {{"since_sent_ms", text(now - last_sent_at)},
        {"since_answered_ms", text(now - last_renewed_at)},
        {"timer_late_ms", text(timer_delay)}};
}

/// Logs a renewal that is sent or answered so late that one more such delay would end the lease.
void leadership_state::log_late_renewal(const char* step, core::mono_time now)
{
    if (now - last_renewed_at <= settings.lease / 2)
    {
        return;
    }
    auto fields = renewal_delay_fields(now);
    fields.insert(fields.begin(), {"step", step});
    ctx.tel.log(ports::log_level::warning, "renewal_late", std::move(fields));
}

void leadership_state::renew_lease()
{
    if (token == 0)
    {
        return;
    }
    const auto sent = ctx.boot_now();
    const auto renewal_timeout =
        is_store_unresponsive(ctx) ? settings.unresponsive_store_timeout : settings.renewal_timeout;
    if (sent >= lease_valid_until + renewal_timeout)
    {
        lose_leadership("the lease was not renewed in time");
        return;
    }
    log_late_renewal("sent", sent);
    max_lease_age =
        std::max(max_lease_age, sent - lease_valid_until + settings.lease - settings.lease_margin);
    last_sent_at = sent;
    // After lease_valid_until this node gives no orders, but the lease may still exist: the answer
    // that confirms it may lie unread on a node that got no processor time. The term ends with an
    // answer that says so, or without one after the time of nearly two renewals.
    ctx.store.keep_alive(lease,
        guarded([sent](leadership_state& self, const ports::kv_lease& got)
            { self.handle_renewal(got, sent); }));
    schedule(settings.renew_interval, &leadership_state::renew_lease);
}

void leadership_state::handle_renewal(const ports::kv_lease& got, core::mono_time sent)
{
    if (token == 0)
    {
        return;
    }
    if (got.status == ports::kv_status::ok && got.ttl.count() > 0)
    {
        log_late_renewal("answered", ctx.boot_now());
        last_renewed_at = ctx.boot_now();
        // The store counts the lease from the arrival of the call, which was after its sending.
        lease_valid_until =
            std::max(lease_valid_until, sent + settings.lease - settings.lease_margin);
    }
    else if (got.status == ports::kv_status::ok)
    {
        lose_leadership("the lease has ended at the store");
    }
    // Any other result proves nothing: the next renewal is already scheduled, and lease_valid_until
    // is unchanged.
}

/// Releases the leadership without calling on_lost. The parts of the term check holds_lease()
/// before each further action.
/// \return whether this node was the coordinator until now
bool leadership_state::release(const std::string& reason)
{
    if (token == 0)
    {
        return false;
    }
    ctx.time.cancel(timer);
    timer = 0;
    ports::log_fields fields{
        {"term", std::to_string(term)}, {"token", std::to_string(token)}, {"reason", reason}};
    for (auto& it : renewal_delay_fields(ctx.boot_now()))
    {
        fields.push_back(std::move(it));
    }
    ctx.tel.log(ports::log_level::warning, "leadership_lost", std::move(fields));
    token = 0;
    if (lease != 0)
    {
        // Ending the lease removes this node's key, which would otherwise delay a successor.
        ctx.store.end_lease(std::exchange(lease, 0), [](ports::kv_status) {});
    }
    schedule(settings.retry_delay, &leadership_state::evaluate);
    return true;
}

void leadership_state::lose_leadership(const std::string& reason)
{
    if (release(reason))
    {
        events.on_lost(reason);
    }
}

/// Ends the lease before the parts of the term, whose destruction takes as long as a successor's
/// first second of work on a slowed node with thousands of jobs. The call that ends the lease is
/// sent before all others and removes the key as well. If that call gets no answer, the lease
/// expires by itself because it is no longer renewed. If the write of leader_slowed_key is lost,
/// the other nodes count one handover less.
void leadership_state::hand_over(const std::string& reason)
{
    if (!release("handed over: " + reason))
    {
        return;
    }
    bid_delayed_until = ctx.boot_now() + settings.handover_bid_delay_duration;
    ports::store_transaction note;
    note.puts = {{leader_slowed_key, ctx.member, 0}};
    ctx.store.commit(std::move(note), [](const ports::commit_result&) {});
    constexpr core::millis calls_leave{
        1}; // the calls are sent in the loop iteration before on_lost
    ctx.time.after(
        calls_leave, guarded([reason](leadership_state& self) { self.events.on_lost(reason); }));
}

int leadership_state::count_recent_handovers()
{
    const auto now = ctx.boot_now();
    while (!handover_times.empty() && now - handover_times.front() > settings.handover_count_window)
    {
        handover_times.pop_front();
    }
    return static_cast<int>(handover_times.size());
}

leadership::leadership(context c, leadership_settings s, leadership_events e)
    : state_(std::make_shared<leadership_state>())
{
    auto& it = *state_;
    it.ctx = std::move(c);
    it.settings = s;
    it.events = std::move(e);
    follower_settings follow;
    follow.prefix = leader_prefix;
    follower_events events;
    auto* const raw = state_.get();
    events.on_all = [raw](const std::vector<ports::stored_item>& all)
    {
        raw->apply_all(all);
        raw->evaluate();
    };
    events.on_changes = [raw](const std::vector<ports::stored_change>& changes)
    {
        for (const auto& c : changes)
        {
            raw->apply_change(c);
        }
        raw->evaluate();
    };
    it.follower = std::make_unique<prefix_follower>(it.ctx, follow, std::move(events));
}

leadership::~leadership()
{
    state_->ctx.time.cancel(state_->timer);
    state_->follower.reset();
}

void leadership::start()
{
    state_->follower->start();
}

bool leadership::holds_lease() const
{
    return state_->token != 0 && state_->ctx.boot_now() < state_->lease_valid_until;
}

ports::revision leadership::token() const
{
    return state_->token;
}

std::string leadership::leader() const
{
    const bool own = state_->leader == state_->ctx.member;
    return own && !holds_lease() ? std::string{} : state_->leader;
}

void leadership::step_down(const std::string& reason)
{
    state_->lose_leadership(reason);
}

void leadership::resign(std::function<void()> done)
{
    auto& it = *state_;
    it.resigned = true;
    const auto lease = it.lease;
    if (it.token == 0 || lease == 0)
    {
        it.ctx.time.post(std::move(done));
        return;
    }
    it.lease = 0; // released below with a callback instead of by lose_leadership()
    it.lose_leadership("this node stops");
    it.ctx.store.end_lease(lease, [done = std::move(done)](ports::kv_status) { done(); });
}

void leadership::hand_over(const std::string& reason)
{
    state_->hand_over(reason);
}

int leadership::recent_handovers()
{
    return state_->count_recent_handovers();
}

core::millis leadership::take_max_lease_age()
{
    const auto age = std::exchange(state_->max_lease_age, core::micros{0});
    return std::chrono::duration_cast<core::millis>(age);
}

core::mono_time leadership::last_answer_at() const
{
    return state_->follower->last_answer_at();
}

} // namespace camphorhitch::hosted
