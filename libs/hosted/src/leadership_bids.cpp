/// \file
/// What the store shows of the lead, and bids for it when nobody has it.
#include "core/rendezvous.hpp"
#include "hosted/keys.hpp"
#include "leadership_state.hpp"

#include <algorithm>
#include <charconv>
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
    constexpr double least_believed = 0.45; // a sound node beside its other work gets half
    return tried < least_believed * set ? tried : set;
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

} // namespace camphorhitch::hosted
