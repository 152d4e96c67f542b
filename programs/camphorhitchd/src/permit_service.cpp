#include "permit_service.hpp"

#include "membership/owners.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::daemon
{

namespace
{

constexpr core::millis tick_interval{20};   ///< interval between checks of all dispatchers' timers
constexpr core::millis query_interval{300}; ///< interval between queries for held permits
/// Minimum wait for the members' reports of held permits.
constexpr core::millis report_timeout{3000};
constexpr core::millis return_retry_interval{50}; ///< interval between attempts to return permits
/// Time after which a return that was not acknowledged is dropped.
constexpr core::millis max_return_time{30000};
/// Size of a block of permit numbers. Each takeover starts a new block, so that numbers never
/// repeat within an incarnation.
constexpr std::uint64_t permit_block = std::uint64_t{1} << 32;

ports::permit_reply refusal_reply(ports::permit_verdict verdict)
{
    ports::permit_reply reply;
    reply.verdict = verdict;
    reply.reason = verdict == ports::permit_verdict::wrong_owner ? "wrong_owner" : "not_ready";
    return reply;
}

} // namespace

permit_service::permit_service(
    context& c, membership_service& members, dispatch::dispatcher_settings settings)
    : context_(c), members_(members), settings_(settings)
{
    context_.run_every(tick_interval, [this] { tick(); });
    context_.run_every(return_retry_interval, [this] { send_returns(); });
    context_.run_every(query_interval,
        [this]
        {
            for (const auto& [pool, d] : dispatchers_)
            {
                if (!dispatch::is_ready(d))
                {
                    query_members(pool);
                }
            }
        });
}

void permit_service::set_held(held_function held)
{
    held_ = std::move(held);
}

const model::member_record* permit_service::owner(const std::string& pool) const
{
    return membership::owner_of_pool(members_.roster(), pool);
}

bool permit_service::owns(const std::string& pool) const
{
    const auto* it = owner(pool);
    return it != nullptr && membership::same_process(*it, context_.self);
}

bool permit_service::ready(const std::string& pool) const
{
    const auto it = dispatchers_.find(pool);
    return it != dispatchers_.end() && dispatch::is_ready(it->second) && members_.fresh();
}

const std::map<std::string, dispatch::pool_dispatcher>& permit_service::dispatchers() const
{
    return dispatchers_;
}

void permit_service::on_config(const model::configuration& config)
{
    config_ = config;
    for (auto& [name, d] : dispatchers_)
    {
        if (const auto* pool = model::find_pool(config_, name))
        {
            dispatch::set_pool(d, *pool);
        }
    }
    on_roster();
}

void permit_service::on_roster()
{
    const auto& roster = members_.roster();
    for (const auto& pool : config_.pools)
    {
        const bool mine = owns(pool.name);
        const bool had = dispatchers_.count(pool.name) > 0;
        if (!mine)
        {
            release_pool(pool.name);
            continue;
        }
        const bool gap =
            had && dispatch::needs_take_over(
                       roster, last_owned_epochs_[pool.name], context_.self.id, pool.name);
        if (!had || gap)
        {
            release_pool(pool.name);
            take_over(pool);
        }
        else
        {
            dispatchers_.at(pool.name).epoch = roster.epoch;
        }
        last_owned_epochs_[pool.name] = roster.epoch;
    }
}

void permit_service::release_pool(const std::string& pool)
{
    const auto it = dispatchers_.find(pool);
    if (it == dispatchers_.end())
    {
        return;
    }
    for (const auto& queue : it->second.queues)
    {
        for (const auto& one : queue)
        {
            answer({{one.key, refusal_reply(ports::permit_verdict::wrong_owner)}});
        }
    }
    dispatchers_.erase(it);
    context_.log(ports::log_level::info, "pool_given_up", {{"pool", pool}});
}

void permit_service::take_over(const model::pool_config& pool)
{
    const auto& roster = members_.roster();
    auto built = dispatch::dispatcher_builder()
                     .pool(pool)
                     .settings(settings_)
                     .epoch(roster.epoch)
                     .first_permit(next_permit_)
                     .build();
    next_permit_ += permit_block;
    auto* d = std::get_if<dispatch::pool_dispatcher>(&built);
    if (d == nullptr)
    {
        context_.log(ports::log_level::error,
            "pool_settings_wrong",
            {{"pool", pool.name}, {"findings", core::to_text(std::get<core::findings>(built))}});
        return;
    }
    dispatch::take_over_plan plan;
    plan.epoch = roster.epoch;
    for (const auto& it : roster.members)
    {
        plan.queried_members.push_back({it.id, it.incarnation, false, {}});
    }
    const auto now = context_.scheduler.now();
    taken_over_at_[pool.name] = now;
    auto& awaited = previous_owners_[pool.name];
    awaited.clear();
    for (const auto& it : members_.recent_previous_members(dispatch::max_use_time(*d)))
    {
        if (may_still_grant(it, pool.name))
        {
            awaited.push_back(it);
            plan.queried_members.push_back({it.id, it.incarnation, false, {}});
        }
        else
        {
            plan.previous_members.push_back({it.id, it.incarnation, members_.is_gone(it), {}});
        }
    }
    // The live members need time to answer even when no other process can still act. Without this
    // minimum all of them would count as unresponsive at once, and drains would wait for the
    // longest request.
    plan.report_deadline = std::max(members_.older_epochs_stopped_at(), now + report_timeout);
    dispatch::begin_take_over(*d, plan, now);
    auto& mine = dispatchers_.emplace(pool.name, std::move(*d)).first->second;
    const auto document = documents_.find(pool.name);
    if (document != documents_.end())
    {
        answer(dispatch::set_hosts(mine, document->second, live_, now));
    }
    context_.log(ports::log_level::info,
        "pool_taken_over",
        {{"pool", pool.name},
            {"epoch", std::to_string(roster.epoch)},
            {"former", std::to_string(plan.previous_members.size())}});
    query_members(pool.name);
}

/// A previous owner that was removed from the roster while it runs may still be fresh by earlier
/// confirmations, or isolated from both peers and store, and then continues to grant permits: a
/// target would get the slots of two owners at once. The takeover therefore awaits its report like
/// a member's, until the previous owner reports that it has adopted this epoch, has provably ended,
/// or must have stopped.
bool permit_service::may_still_grant(const model::member_record& who, const std::string& pool) const
{
    const auto& roster = members_.roster();
    const bool replaced = std::any_of(roster.members.begin(),
        roster.members.end(),
        [&](const auto& it) { return it.id == who.id; });
    const bool stopped = members_.older_epochs_stopped_at() <= context_.scheduler.now();
    if (replaced || stopped || members_.is_gone(who))
    {
        return false;
    }
    return std::any_of(roster.history.begin(),
        roster.history.end(),
        [&](const model::former_roster& then)
        {
            const model::roster_document old{then.epoch, then.members, {}};
            const auto* it = membership::owner_of_pool(old, pool);
            return it != nullptr && membership::same_process(*it, who);
        });
}

void permit_service::query_members(const std::string& pool)
{
    ports::held_query query;
    query.epoch = members_.roster().epoch;
    query.member = context_.self.id;
    query.pools = {pool};
    auto all = members_.roster().members;
    const auto& awaited = previous_owners_[pool];
    all.insert(all.end(), awaited.begin(), awaited.end());
    for (const auto& to : all)
    {
        auto take = [this, pool, to](ports::peer_status status, const ports::held_reply& reply)
        {
            const auto it = dispatchers_.find(pool);
            if (status != ports::peer_status::ok || it == dispatchers_.end())
            {
                return;
            }
            answer(dispatch::on_held_report(
                it->second, to.id, to.incarnation, reply, context_.scheduler.now()));
        };
        if (membership::same_process(to, context_.self))
        {
            take(ports::peer_status::ok, held_(query));
        }
        else
        {
            context_.peers.query_held(to.address, query, take);
        }
    }
}

void permit_service::on_pool_document(const model::pool_document& document)
{
    documents_[document.pool] = document;
    const auto it = dispatchers_.find(document.pool);
    if (it != dispatchers_.end())
    {
        answer(dispatch::set_hosts(it->second, document, live_, context_.scheduler.now()));
    }
}

void permit_service::on_live_list(const ports::live_list& live)
{
    if (!live.known)
    {
        return;
    }
    live_ = live;
    for (auto& [pool, d] : dispatchers_)
    {
        const auto document = documents_.find(pool);
        if (document != documents_.end())
        {
            answer(dispatch::set_hosts(d, document->second, live_, context_.scheduler.now()));
        }
    }
}

void permit_service::on_process_gone(const model::member_record& who)
{
    for (auto& [pool, d] : dispatchers_)
    {
        answer(
            dispatch::on_member_lost(d, who.id, who.incarnation, true, context_.scheduler.now()));
    }
}

void permit_service::request_permit(const ports::permit_request& request, reply_callback done)
{
    const auto* to = owner(request.pool);
    if (to == nullptr)
    {
        done(ports::peer_status::ok, refusal_reply(ports::permit_verdict::not_ready));
        return;
    }
    if (membership::same_process(*to, context_.self))
    {
        on_request(request,
            [done = std::move(done)](const ports::permit_reply& it)
            { done(ports::peer_status::ok, it); });
        return;
    }
    context_.peers.request_permit(to->address, request, std::move(done));
}

void permit_service::on_request(
    const ports::permit_request& request, std::function<void(ports::permit_reply)> done)
{
    const auto it = dispatchers_.find(request.pool);
    if (it == dispatchers_.end() || request.epoch > members_.roster().epoch)
    {
        const bool mine = owns(request.pool);
        done(refusal_reply(
            mine ? ports::permit_verdict::not_ready : ports::permit_verdict::wrong_owner));
        return;
    }
    if (!members_.fresh())
    {
        // Another member may already own the pool and grant the same slots, or drain the hosts.
        done(refusal_reply(ports::permit_verdict::not_ready));
        return;
    }
    const dispatch::permit_request_key key{request.member, request.incarnation, request.request};
    waiting_replies_[key] = std::move(done);
    answer(dispatch::on_request(it->second, request, context_.scheduler.now()));
}

void permit_service::answer(const dispatch::permit_answers& all)
{
    for (const auto& one : all)
    {
        const auto it = waiting_replies_.find(one.to);
        if (it == waiting_replies_.end())
        {
            continue;
        }
        auto done = std::move(it->second);
        waiting_replies_.erase(it);
        done(one.reply);
    }
}

void permit_service::return_permit(const ports::permit_return& back)
{
    const auto* to = owner(back.pool);
    if (to != nullptr && membership::same_process(*to, context_.self))
    {
        on_returns({back});
        return;
    }
    returns_.push_back({back, context_.scheduler.now() + max_return_time});
    send_returns();
}

void permit_service::on_returns(const std::vector<ports::permit_return>& all)
{
    for (const auto& back : all)
    {
        waiting_replies_.erase({back.member, back.incarnation, back.request});
        const auto it = dispatchers_.find(back.pool);
        if (it != dispatchers_.end())
        {
            answer(dispatch::on_return(it->second, back, context_.scheduler.now()));
        }
    }
}

/// Sends all returns for one owner in one message; returns that are not acknowledged are sent
/// again.
void permit_service::send_returns()
{
    if (returns_.empty())
    {
        return;
    }
    std::map<std::string, std::vector<pending_return>> by_address;
    const auto now = context_.scheduler.now();
    for (auto& it : std::exchange(returns_, {}))
    {
        const auto* to = owner(it.message.pool);
        if (now > it.until || to == nullptr)
        {
            continue;
        }
        if (membership::same_process(*to, context_.self))
        {
            on_returns({it.message});
            continue;
        }
        by_address[to->address].push_back(std::move(it));
    }
    for (auto& [address, list] : by_address)
    {
        std::vector<ports::permit_return> messages;
        for (const auto& it : list)
        {
            messages.push_back(it.message);
        }
        context_.peers.return_permits(address,
            std::move(messages),
            [this, list = std::move(list)](ports::peer_status status, ports::ack)
            {
                if (status != ports::peer_status::ok)
                {
                    returns_.insert(returns_.end(), list.begin(), list.end());
                }
            });
    }
}

void permit_service::tick()
{
    const auto now = context_.scheduler.now();
    for (auto& [pool, d] : dispatchers_)
    {
        // At the start of the takeover no member has reported the new epoch yet, so enough
        // unresponsive members might have continued on their own for the whole outage grace time.
        // Each later heartbeat leaves fewer such members. Without this update of the deadline, one
        // paused member would keep the pool closed for minutes.
        if (!dispatch::is_ready(d))
        {
            const auto first = taken_over_at_[pool] + report_timeout;
            dispatch::advance_report_deadline(
                d, std::max(first, members_.older_epochs_stopped_at()));
        }
        if (dispatch::next_wakeup(d) <= now)
        {
            answer(dispatch::on_tick(d, now));
        }
    }
}

std::optional<dispatch::host_use> permit_service::usage_of_host(
    const std::string& pool, const std::string& host) const
{
    if (!ready(pool))
    {
        return std::nullopt;
    }
    return dispatch::outstanding_on(dispatchers_.at(pool), host, context_.scheduler.now());
}

} // namespace camphorhitch::daemon
