/// \file
/// Follows the leader keys in the store, and bids for leadership while no node has it.
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

/// \return the term number. If the record cannot be read or holds a value that was never written,
/// the revision of the key is used instead: each term took at least one write, so no earlier term
/// had a higher number. With a lower number, runners would refuse the runs of this term as older
/// than those that they have seen.
std::int64_t read_term(const ports::stored_item& it)
{
    const auto* const end = it.value.data() + it.value.size();
    std::int64_t n = -1;
    const auto [stop, ec] = std::from_chars(it.value.data(), end, n);
    const bool whole = ec == std::errc{} && stop == end && n >= 0 && n <= it.modified;
    return whole ? n : it.modified;
}

} // namespace

/// A node with half a core or more bids without this delay, and one with a share near zero after
/// 400 ms: well above the jitter between candidates and well below the lease.
core::millis bid_delay_for_share(double share)
{
    constexpr double full_bid_share = 0.5;
    constexpr double max_delay_ms = 400;
    const double missing_fraction = std::max(0.0, 1.0 - share / full_bid_share);
    return core::millis{static_cast<std::int64_t>(max_delay_ms * missing_fraction)};
}

double effective_share(double configured, double measured)
{
    // A healthy node gets half of its share beside its other work.
    constexpr double min_credible_fraction = 0.45;
    return measured < min_credible_fraction * configured ? measured : configured;
}

void leadership_state::apply_change(const ports::stored_change& it)
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
    else if (it.item.key == leader_slowed_key && revision > last_handover_revision)
    {
        last_handover_revision = revision;
        if (initial_read_done) // the first read may find a handover of long ago
        {
            handover_times.push_back(ctx.boot_now());
        }
    }
}

void leadership_state::apply_all(const std::vector<ports::stored_item>& items)
{
    leader_revision = 0;
    leader.clear();
    term_revision = 0;
    term = -1;
    for (const auto& it : items)
    {
        apply_change({false, it});
    }
    initial_read_done = true;
}

void leadership_state::evaluate()
{
    if (token != 0)
    {
        // The store may remove a key without any sign in the answers to renewals. Only this check
        // detects that.
        if (leader_revision > token || leader_revision == 0)
        {
            lose_leadership("the leader key was removed or belongs to another node: revision " +
                            std::to_string(leader_revision));
        }
        return;
    }
    if (leader_revision == 0 && !bidding && !resigned)
    {
        bidding = true;
        const auto range = static_cast<std::uint64_t>(settings.max_bid_jitter.count()) + 1;
        const auto hash_input =
            static_cast<std::uint64_t>(ctx.time.now().time_since_epoch().count());
        const core::millis jitter{
            static_cast<std::int64_t>(core::stable_hash(ctx.member, hash_input) % range)};
        const bool slowed = ctx.boot_now() < bid_delayed_until;
        measured_share =
            ctx.measure_processor_share ? ctx.measure_processor_share() : settings.processor_share;
        const auto share_delay =
            bid_delay_for_share(effective_share(settings.processor_share, measured_share));
        const auto handover_delay = slowed ? settings.handover_bid_delay : core::millis{0};
        schedule(jitter + share_delay + handover_delay, &leadership_state::bid);
    }
}

void leadership_state::bid()
{
    if (leader_revision != 0 || resigned)
    {
        bidding = false;
        return;
    }
    last_sent_at = ctx.boot_now();
    bid_valid_until = last_sent_at + settings.lease - settings.lease_margin;
    ctx.store.grant_lease(settings.lease,
        guarded([](leadership_state& self, const ports::kv_lease& got)
            { self.handle_lease_grant(got); }));
}

void leadership_state::handle_lease_grant(const ports::kv_lease& got)
{
    if (got.status != ports::kv_status::ok)
    {
        handle_failed_bid();
        return;
    }
    lease = got.id;
    write_key();
}

void leadership_state::write_key()
{
    bid_term = term + 1;
    ports::store_transaction t;
    t.conditions = {{leader_key, 0}, {leader_term_key, term_revision}};
    t.puts = {{leader_key, ctx.member, lease},
        {leader_term_key, std::to_string(bid_term), 0},
        {handover_key, ctx.member, 0}};
    ctx.store.commit(std::move(t),
        guarded([](leadership_state& self, const ports::commit_result& result)
            { self.handle_key_write(result); }));
}

void leadership_state::handle_key_write(const ports::commit_result& result)
{
    if (result.status != ports::kv_status::ok)
    {
        // An unanswered write may still create the key. In that case no node acts as coordinator:
        // this node does not count the key as its own, and its lease, which is not renewed, removes
        // the key.
        for (const auto& it : result.current)
        {
            apply_change({false, it});
        }
        handle_failed_bid();
        return;
    }
    bidding = false;
    leader_revision = result.modified;
    term_revision = result.modified;
    term = bid_term; // the watch may already have reported this term
    leader = ctx.member;
    token = result.modified;
    lease_valid_until = bid_valid_until;
    last_renewed_at = ctx.boot_now();
    max_lease_age = core::micros{0};
    ctx.tel.log(ports::log_level::info,
        "leadership_gained",
        {{"term", std::to_string(term)},
            {"token", std::to_string(token)},
            {"tried_share", std::to_string(measured_share)}});
    schedule(settings.renew_interval, &leadership_state::renew_lease);
    events.on_gained(term, token);
}

void leadership_state::handle_failed_bid()
{
    bidding = false;
    if (lease != 0)
    {
        ctx.store.end_lease(std::exchange(lease, 0), [](ports::kv_status) {});
    }
    schedule(settings.retry_delay, &leadership_state::evaluate);
}

} // namespace camphorhitch::hosted
