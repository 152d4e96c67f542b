#include "permit_service.hpp"

#include "membership/owners.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::daemon
{

namespace
{

constexpr core::millis round{20};          ///< between looks at timers of all dispatchers
constexpr core::millis ask_again{300};     ///< between two rounds of asking for held permits
constexpr core::millis ask_patience{3000}; ///< for the reports of members that are not suspected
constexpr core::millis return_again{50};   ///< between two tries to give permits back
constexpr core::millis return_for{30000};
/// Numbers of permits never repeat within an incarnation; each take-over starts a block.
constexpr std::uint64_t permit_block = std::uint64_t{1} << 32;

ports::permit_reply not_here(ports::permit_verdict verdict)
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
    context_.every(round, [this] { tick(); });
    context_.every(return_again, [this] { send_returns(); });
    context_.every(ask_again,
        [this]
        {
            for (const auto& [pool, d] : dispatchers_)
            {
                if (!dispatch::is_ready(d))
                {
                    ask_members(pool);
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
            drop(pool.name);
            continue;
        }
        const bool gap = had && dispatch::needs_take_over(
                                    roster, last_owned_[pool.name], context_.self.id, pool.name);
        if (!had || gap)
        {
            drop(pool.name);
            take_over(pool);
        }
        else
        {
            dispatchers_.at(pool.name).epoch = roster.epoch;
        }
        last_owned_[pool.name] = roster.epoch;
    }
}

void permit_service::drop(const std::string& pool)
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
            answer({{one.key, not_here(ports::permit_verdict::wrong_owner)}});
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
    auto& awaited = former_owners_[pool.name];
    awaited.clear();
    for (const auto& it : members_.recent_formers(dispatch::max_use_time(*d)))
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
    // The live members need time to answer even when nobody else can be acting any more: without it
    // all of them would count as silent at once, and drains would wait for the longest request.
    plan.report_deadline = std::max(members_.older_epochs_stopped(), now + ask_patience);
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
    ask_members(pool.name);
}

/// A former owner that was taken out of the roster while it lives may be fresh by what it heard
/// before, or alone and without the store, and then it grants on: a target would get the slots of
/// two owners at once. So it is awaited as members are, until it tells that it has adopted our
/// epoch, is proven gone, or must have stopped.
bool permit_service::may_still_grant(const model::member_record& who, const std::string& pool) const
{
    const auto& roster = members_.roster();
    const bool replaced = std::any_of(roster.members.begin(),
        roster.members.end(),
        [&](const auto& it) { return it.id == who.id; });
    const bool stopped = members_.older_epochs_stopped() <= context_.scheduler.now();
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

void permit_service::ask_members(const std::string& pool)
{
    ports::held_query query;
    query.epoch = members_.roster().epoch;
    query.member = context_.self.id;
    query.pools = {pool};
    auto all = members_.roster().members;
    const auto& awaited = former_owners_[pool];
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

void permit_service::ask(const ports::permit_request& request, reply_callback done)
{
    const auto* to = owner(request.pool);
    if (to == nullptr)
    {
        done(ports::peer_status::ok, not_here(ports::permit_verdict::not_ready));
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
        done(
            not_here(mine ? ports::permit_verdict::not_ready : ports::permit_verdict::wrong_owner));
        return;
    }
    if (!members_.fresh())
    {
        // Another member may own the pool by now and grant the same slots, or drain the hosts.
        done(not_here(ports::permit_verdict::not_ready));
        return;
    }
    const dispatch::permit_request_key key{request.member, request.incarnation, request.request};
    waiting_[key] = std::move(done);
    answer(dispatch::on_request(it->second, request, context_.scheduler.now()));
}

void permit_service::answer(const dispatch::permit_answers& all)
{
    for (const auto& one : all)
    {
        const auto it = waiting_.find(one.to);
        if (it == waiting_.end())
        {
            continue;
        }
        auto done = std::move(it->second);
        waiting_.erase(it);
        done(one.reply);
    }
}

void permit_service::give_back(const ports::permit_return& back)
{
    const auto* to = owner(back.pool);
    if (to != nullptr && membership::same_process(*to, context_.self))
    {
        on_returns({back});
        return;
    }
    returns_.push_back({back, context_.scheduler.now() + return_for});
    send_returns();
}

void permit_service::on_returns(const std::vector<ports::permit_return>& all)
{
    for (const auto& back : all)
    {
        waiting_.erase({back.member, back.incarnation, back.request});
        const auto it = dispatchers_.find(back.pool);
        if (it != dispatchers_.end())
        {
            answer(dispatch::on_return(it->second, back, context_.scheduler.now()));
        }
    }
}

/// All permits for one owner go in one message; what was not acknowledged is sent again.
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
        // When the take-over began nobody had told of the new epoch yet, and so many silent members
        // might have gone on by themselves for the whole grace of an outage. Each word since then
        // leaves fewer; without this look one paused member would keep the pool shut for minutes.
        if (!dispatch::is_ready(d))
        {
            const auto first = taken_over_at_[pool] + ask_patience;
            dispatch::advance_report_deadline(d, std::max(first, members_.older_epochs_stopped()));
        }
        if (dispatch::next_wakeup(d) <= now)
        {
            answer(dispatch::on_tick(d, now));
        }
    }
}

std::optional<dispatch::host_use> permit_service::use_of(
    const std::string& pool, const std::string& host) const
{
    if (!ready(pool))
    {
        return std::nullopt;
    }
    return dispatch::outstanding_on(dispatchers_.at(pool), host, context_.scheduler.now());
}

} // namespace camphorhitch::daemon
