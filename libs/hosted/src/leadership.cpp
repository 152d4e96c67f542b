#include "hosted/leadership.hpp"

#include "core/rendezvous.hpp"
#include "hosted/keys.hpp"

#include <algorithm>
#include <charconv>
#include <deque>
#include <utility>

namespace camphorhitch::hosted
{

namespace
{

/// \return the count of terms. Where it can't be read, or is none that was ever written, the key's
/// revision stands in: each term took a write, so no term before had a higher number. With a lower
/// one, runners would refuse this term's runs as older than those they have seen.
std::int64_t read_term(const ports::stored_item& it)
{
    const auto* const end = it.value.data() + it.value.size();
    std::int64_t n = -1;
    const auto [stop, ec] = std::from_chars(it.value.data(), end, n);
    const bool whole = ec == std::errc{} && stop == end && n >= 0 && n <= it.modified;
    return whole ? n : it.modified;
}

} // namespace

/// A node with half a core or more bids at once, one with next to nothing after 400 ms: well above
/// the pause between candidates, well below the lease.
core::millis handicap_of(double share)
{
    constexpr double enough = 0.5;
    constexpr double longest_ms = 400;
    const double lacks = std::max(0.0, 1.0 - share / enough);
    return core::millis{static_cast<std::int64_t>(longest_ms * lacks)};
}

double share_to_bid_with(double set, double tried)
{
    constexpr double least_believed = 0.6; // a trial beside other work of a sound node showed 0.75
    return tried < least_believed * set ? tried : set;
}

struct leadership_state : std::enable_shared_from_this<leadership_state>
{
    context ctx;
    leadership_settings settings;
    leadership_events events;
    std::unique_ptr<prefix_follower> follower;

    // What the store holds, as last seen.
    ports::revision leader_revision = 0;
    ports::revision term_revision = 0;
    std::int64_t term = -1;
    std::int64_t term_bid = 0; ///< of the latest bid
    std::string leader;        ///< its name

    ports::lease_id lease = 0;
    ports::revision token = 0;   ///< 0: not the leader
    core::mono_time valid_until; ///< by the boot clock
    core::mono_time best_until;  ///< of a bid: what valid_until becomes
    // How well the renewals keep up, for the log; by the boot clock.
    core::mono_time sent_at;         ///< latest bid or renewal
    core::mono_time answered_at;     ///< latest answer that renewed the lease
    core::mono_time due_at;          ///< of the timer that is set
    core::micros timer_late{0};      ///< of the timer that fired last
    core::micros oldest_at_renew{0}; ///< age of the lease at a renewal, since it was last asked
    bool bidding = false;
    bool resigned = false;
    double tried_share = 0;                 ///< of a core, by the trial before the latest bid
    core::mono_time slowed_until;           ///< this node handed the lead over
    bool looked = false;                    ///< all keys were read once
    ports::revision slowed_revision = 0;    ///< of the latest hand-over that was seen
    std::deque<core::mono_time> hand_overs; ///< when they were seen; by the boot clock
    ports::timer_id timer = 0;

    template <class Fn>
    auto guarded(Fn fn)
    {
        return [weak = weak_from_this(), fn](auto... args)
        {
            if (const auto self = weak.lock())
            {
                fn(*self, std::move(args)...);
            }
        };
    }

    void see(const ports::stored_change& it);
    void see_all(const std::vector<ports::stored_item>& items);
    void judge();
    void bid();
    void take_lease(const ports::kv_lease& got);
    void write_key();
    void take_key(const ports::commit_result& result);
    void bid_failed();
    void renew();
    void take_renewal(const ports::kv_lease& got, core::mono_time sent);
    void schedule(core::millis delay, void (leadership_state::*next)());
    void lose(const std::string& reason);
    void hand_over(const std::string& reason);
    int count_hand_overs();
    void judge_pace(const char* step, core::mono_time now);
    ports::log_fields pace_fields(core::mono_time now) const;
};

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

void leadership_state::see(const ports::stored_change& it)
{
    const auto revision = it.removed ? 0 : it.item.modified;
    if (it.item.key == leader_key)
    {
        leader_revision = revision;
        leader = it.removed ? std::string{} : it.item.value;
    }
    else if (it.item.key == leader_term_key)
    {
        term_revision = revision;
        term = it.removed ? -1 : read_term(it.item);
    }
    else if (it.item.key == leader_slowed_key && revision > slowed_revision)
    {
        slowed_revision = revision;
        if (looked) // the first look may find one of long ago
        {
            hand_overs.push_back(ctx.boot_now());
        }
    }
}

void leadership_state::see_all(const std::vector<ports::stored_item>& items)
{
    leader_revision = 0;
    leader.clear();
    term_revision = 0;
    term = -1;
    for (const auto& it : items)
    {
        see({false, it});
    }
    looked = true;
}

void leadership_state::judge()
{
    if (token != 0)
    {
        // The store may take a key away with no sign on any renewal: only this look shows it.
        if (leader_revision > token || leader_revision == 0)
        {
            lose("the key is gone or another's: revision " + std::to_string(leader_revision));
        }
        return;
    }
    if (leader_revision == 0 && !bidding && !resigned)
    {
        bidding = true;
        const auto range = static_cast<std::uint64_t>(settings.longest_pause.count()) + 1;
        const auto mix = static_cast<std::uint64_t>(ctx.time.now().time_since_epoch().count());
        const core::millis pause{
            static_cast<std::int64_t>(core::stable_hash(ctx.member, mix) % range)};
        const bool slowed = ctx.boot_now() < slowed_until;
        tried_share = ctx.processor_trial ? ctx.processor_trial() : settings.processor_share;
        const auto handicap = handicap_of(share_to_bid_with(settings.processor_share, tried_share));
        const auto more = slowed ? settings.slowed_handicap : core::millis{0};
        schedule(pause + handicap + more, &leadership_state::bid);
    }
}

void leadership_state::bid()
{
    if (leader_revision != 0 || resigned)
    {
        bidding = false;
        return;
    }
    sent_at = ctx.boot_now();
    best_until = sent_at + settings.lease - settings.margin;
    ctx.store.grant_lease(settings.lease,
        guarded([](leadership_state& self, const ports::kv_lease& got) { self.take_lease(got); }));
}

void leadership_state::take_lease(const ports::kv_lease& got)
{
    if (got.status != ports::kv_status::ok)
    {
        bid_failed();
        return;
    }
    lease = got.id;
    write_key();
}

void leadership_state::write_key()
{
    term_bid = term + 1;
    ports::store_transaction t;
    t.conditions = {{leader_key, 0}, {leader_term_key, term_revision}};
    t.puts = {{leader_key, ctx.member, lease},
        {leader_term_key, std::to_string(term_bid), 0},
        {handover_key, ctx.member, 0}};
    ctx.store.commit(std::move(t),
        guarded([](leadership_state& self, const ports::commit_result& result)
            { self.take_key(result); }));
}

void leadership_state::take_key(const ports::commit_result& result)
{
    if (result.status != ports::kv_status::ok)
    {
        // An unanswered write may still take the key. Nobody then acts on it: this node does not
        // believe in it, and its lease, not renewed, ends it.
        for (const auto& it : result.current)
        {
            see({false, it});
        }
        bid_failed();
        return;
    }
    bidding = false;
    leader_revision = result.modified;
    term_revision = result.modified;
    term = term_bid; // which the watch may have told already
    leader = ctx.member;
    token = result.modified;
    valid_until = best_until;
    answered_at = ctx.boot_now();
    oldest_at_renew = core::micros{0};
    ctx.tel.log(ports::log_level::info,
        "leadership_gained",
        {{"term", std::to_string(term)},
            {"token", std::to_string(token)},
            {"tried_share", std::to_string(tried_share)}});
    schedule(settings.renew_every, &leadership_state::renew);
    events.on_gained(term, token);
}

void leadership_state::bid_failed()
{
    bidding = false;
    if (lease != 0)
    {
        ctx.store.end_lease(std::exchange(lease, 0), [](ports::kv_status) {});
    }
    schedule(settings.retry, &leadership_state::judge);
}

void leadership_state::renew()
{
    if (token == 0)
    {
        return;
    }
    const auto sent = ctx.boot_now();
    if (sent >= valid_until + settings.patience)
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

void leadership_state::lose(const std::string& reason)
{
    if (token == 0)
    {
        return;
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
    events.on_lost(reason);
    schedule(settings.retry, &leadership_state::judge);
}

/// The key goes with a write and not with its lease, whose end would wait for the note. Without an
/// answer the lease, not renewed, ends by itself. A note that is lost is one hand-over less that
/// others count.
void leadership_state::hand_over(const std::string& reason)
{
    if (token == 0)
    {
        return;
    }
    slowed_until = ctx.boot_now() + settings.slowed_for;
    ports::store_transaction note;
    note.puts = {{leader_slowed_key, ctx.member, 0}};
    ports::store_transaction t;
    t.conditions = {{leader_key, token}};
    t.removals = {leader_key};
    const auto ended = std::exchange(lease, 0);
    lose("handed over: " + reason);
    ctx.store.commit(std::move(note), [](const ports::commit_result&) {});
    ctx.store.commit(std::move(t),
        [store = ctx.store, ended](const ports::commit_result&)
        { store.end_lease(ended, [](ports::kv_status) {}); });
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
