#include "hosted/keys.hpp"
#include "leadership_state.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

void leadership_state::schedule(core::millis delay, void (leadership_state::*next)())
{
    ctx.time.cancel(timer);
    due_at = ctx.boot_now() + delay;
    timer = ctx.time.after(delay,
        guarded(
            [next](leadership_state& self)
            {
                self.timer_late = self.ctx.boot_now() - self.due_at;
                (self.*next)();
            }));
}

ports::log_fields leadership_state::pace_fields(core::mono_time now) const
{
    const auto text = [](core::micros age)
    {
        return std::to_string(std::chrono::duration_cast<core::millis>(age).count());
    };
    return {{"since_sent_ms", text(now - sent_at)},
        {"since_answered_ms", text(now - answered_at)},
        {"timer_late_ms", text(timer_late)}};
}

/// Tells of a renewal that is sent or answered so late that one more such delay ends the lease.
void leadership_state::judge_pace(const char* step, core::mono_time now)
{
    if (now - answered_at <= settings.lease / 2)
    {
        return;
    }
    auto fields = pace_fields(now);
    fields.insert(fields.begin(), {"step", step});
    ctx.tel.log(ports::log_level::warning, "renewal_late", std::move(fields));
}

void leadership_state::renew()
{
    if (token == 0)
    {
        return;
    }
    const auto sent = ctx.boot_now();
    const auto patience = is_store_silent(ctx) ? settings.silent_patience : settings.patience;
    if (sent >= valid_until + patience)
    {
        lose("the lease was not renewed in time");
        return;
    }
    judge_pace("sent", sent);
    oldest_at_renew =
        std::max(oldest_at_renew, sent - valid_until + settings.lease - settings.margin);
    sent_at = sent;
    // Past valid_until nothing is ordered, but the lease may well stand: the answer that says so
    // may lie unread on a node that got no processor time. An answer, or none for
    // as long as two renewals take, ends the term.
    ctx.store.keep_alive(lease,
        guarded([sent](leadership_state& self, const ports::kv_lease& got)
            { self.take_renewal(got, sent); }));
    schedule(settings.renew_every, &leadership_state::renew);
}

void leadership_state::take_renewal(const ports::kv_lease& got, core::mono_time sent)
{
    if (token == 0)
    {
        return;
    }
    if (got.status == ports::kv_status::ok && got.ttl.count() > 0)
    {
        judge_pace("answered", ctx.boot_now());
        answered_at = ctx.boot_now();
        // The store counts from the call's arrival, which was after its sending.
        valid_until = std::max(valid_until, sent + settings.lease - settings.margin);
    }
    else if (got.status == ports::kv_status::ok)
    {
        lose("the lease has ended at the store");
    }
    // Any other end proves nothing; the next renewal is on its way, and valid_until stands.
}

/// \return whether the key was held until now. What the term's parts would still do, they ask
/// holds() for.
bool leadership_state::let_go(const std::string& reason)
{
    if (token == 0)
    {
        return false;
    }
    ctx.time.cancel(timer);
    timer = 0;
    ports::log_fields fields{
        {"term", std::to_string(term)}, {"token", std::to_string(token)}, {"reason", reason}};
    for (auto& it : pace_fields(ctx.boot_now()))
    {
        fields.push_back(std::move(it));
    }
    ctx.tel.log(ports::log_level::warning, "leadership_lost", std::move(fields));
    token = 0;
    if (lease != 0)
    {
        // So that no key of ours stands in a successor's way.
        ctx.store.end_lease(std::exchange(lease, 0), [](ports::kv_status) {});
    }
    schedule(settings.retry, &leadership_state::judge);
    return true;
}

void leadership_state::lose(const std::string& reason)
{
    if (let_go(reason))
    {
        events.on_lost(reason);
    }
}

/// The lease is ended before the term's parts are, which on a slowed node with thousands of jobs
/// takes as long as a successor's first second of work. Its call goes before all others, and the
/// key goes with it; without an answer it ends by itself, since it is not renewed. A note that is
/// lost is one hand-over less that others count.
void leadership_state::hand_over(const std::string& reason)
{
    if (!let_go("handed over: " + reason))
    {
        return;
    }
    slowed_until = ctx.boot_now() + settings.slowed_for;
    ports::store_transaction note;
    note.puts = {{leader_slowed_key, ctx.member, 0}};
    ctx.store.commit(std::move(note), [](const ports::commit_result&) {});
    constexpr core::millis calls_leave{1}; // in the turn of the loop between
    ctx.time.after(
        calls_leave, guarded([reason](leadership_state& self) { self.events.on_lost(reason); }));
}

int leadership_state::count_hand_overs()
{
    const auto now = ctx.boot_now();
    while (!hand_overs.empty() && now - hand_overs.front() > settings.hand_overs_count_for)
    {
        hand_overs.pop_front();
    }
    return static_cast<int>(hand_overs.size());
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
        raw->see_all(all);
        raw->judge();
    };
    events.on_changes = [raw](const std::vector<ports::stored_change>& changes)
    {
        for (const auto& c : changes)
        {
            raw->see(c);
        }
        raw->judge();
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

bool leadership::holds() const
{
    return state_->token != 0 && state_->ctx.boot_now() < state_->valid_until;
}

ports::revision leadership::token() const
{
    return state_->token;
}

std::string leadership::leader() const
{
    const bool own = state_->leader == state_->ctx.member;
    return own && !holds() ? std::string{} : state_->leader;
}

void leadership::step_down(const std::string& reason)
{
    state_->lose(reason);
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
    it.lease = 0; // ended here, with an answer to wait for
    it.lose("this node stops");
    it.ctx.store.end_lease(lease, [done = std::move(done)](ports::kv_status) { done(); });
}

void leadership::hand_over(const std::string& reason)
{
    state_->hand_over(reason);
}

int leadership::hand_overs()
{
    return state_->count_hand_overs();
}

core::millis leadership::take_lease_age()
{
    const auto age = std::exchange(state_->oldest_at_renew, core::micros{0});
    return std::chrono::duration_cast<core::millis>(age);
}

core::mono_time leadership::last_answer() const
{
    return state_->follower->last_answer();
}

} // namespace camphorhitch::hosted
