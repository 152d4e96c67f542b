#include "world_parts.hpp"

namespace camphorhitch::claims::testing
{

world::world(const world_options& options) : options_{options}, bag_{options.seed}
{
    beat_every_ = 2 + bag_.draw(6);
    read_every_ = 3 + bag_.draw(7);
    // Long freshness leaves the work to the holders' agreement, a short one to freshness.
    freshness_.freshness = tick_interval * (2 * read_every_) + millis{bag_.draw(2500)};
    freshness_.store_window = freshness_.freshness / 2;
    freshness_.outage_grace = freshness_.freshness + millis{bag_.draw(4000)};
    settings_.key_memory = executor_.key_memory = world_key_memory;
    settings_.permit_ttl = executor_.permit_ttl = millis{300 + bag_.draw(900)};
    settings_.longest_request = millis{2000};
    settings_.keys_per_slot = 1;
    settings_.pull_patience = millis{1500};
    settings_.stop_bound = freshness_.outage_grace + freshness_.margin;
    executor_.finish_patience = millis{6000};
}

world_result world::run()
{
    for (int n = 0; n < options_.members; ++n)
    {
        start_new_host(150);
    }
    for (const auto& it : options_.faults)
    {
        bag_.at(millis{it.at_ms}, [this, it] { cause(it); });
    }
    bag_.at(millis{800}, [this] { callers(); });
    result_.counts.steps = bag_.run_until(mono_time{millis{options_.run_ms}});
    result_.counts.sent = result_.seen.sent.size();
    result_.counts.epochs = store_.roster ? store_.roster->epoch : 0;
    return std::move(result_);
}

void world::start(const std::string& id)
{
    auto& p = *processes_.emplace_back(std::make_unique<process>());
    const auto zone = "z" + std::to_string(std::hash<std::string>{}(id) % 3);
    p.who = {id, "i" + std::to_string(processes_.size()), id, zone};
    p.freshness.settings = freshness_;
    p.freshness.self = p.roster.self = p.claims.self = p.who;
    p.claims.settings = settings_;
    p.roster.settings.unresponsive_after = millis{1000};
    p.roster.settings.return_after = millis{2000};
    p.roster.settings.lease_recovery_time = millis{2500};
    listening_[id] = &p;
    tick(p);
}

void world::start_new_host(int within_ms)
{
    bag_.at(millis{bag_.draw(within_ms)}, [this] { start("h" + std::to_string(++hosts_)); });
}

void world::kill(process& p)
{
    p.alive.alive = false;
    listening_.erase(p.who.id);
}

process* world::pick(int n)
{
    const auto size = static_cast<int>(listening_.size());
    return size == 0 ? nullptr : std::next(listening_.begin(), n % size)->second;
}

void world::cause(const fault& it)
{
    auto* p = pick(it.host);
    if (p == nullptr)
    {
        return;
    }
    const auto until = bag_.now() + millis{it.length_ms};
    const auto id = p->who.id;
    switch (it.kind)
    {
    case fault_kind::pause:
        p->alive.paused_until = until;
        break;
    case fault_kind::restart:
        kill(*p);
        bag_.at(millis{it.length_ms / 4}, [this, id] { start(id); });
        break;
    case fault_kind::replace:
        kill(*p);
        gone_hosts_.insert(id);
        start_new_host(2000);
        break;
    case fault_kind::leave:
        p->leave_by = bag_.now() + millis{4000};
        membership::leave(p->roster);
        start_new_host(2000);
        break;
    case fault_kind::store_outage:
        store_.down_until = until;
        break;
    case fault_kind::store_forgets:
        store_.forgets_until = until;
        break;
    case fault_kind::cut_from_peers:
        bag_.peers_cut[id] = until;
        break;
    case fault_kind::cut_from_store:
        bag_.store_cut[id] = until;
        break;
    case fault_kind::isolate:
        bag_.peers_cut[id] = bag_.store_cut[id] = until;
        break;
    case fault_kind::split:
        bag_.split_until = until;
        bag_.split_store = it.length_ms % 2 == 0;
        break;
    case fault_kind::bad_network:
        bag_.bad_until = until;
        break;
    case fault_kind::reshuffle:
        for (int n = 0; n <= it.length_ms % 4; ++n)
        {
            bag_.at(millis{n * bag_.draw(400)}, [this] { reshuffle(); });
        }
    }
}

void world::reshuffle()
{
    const auto leased = store_.view(bag_.now()).leased;
    if (!store_.roster || leased.empty())
    {
        return;
    }
    auto next = *store_.roster;
    next.history.insert(next.history.begin(), {next.epoch, next.members});
    next.history.resize(std::min<std::size_t>(next.history.size(), 16));
    ++next.epoch;
    const auto& who = leased[std::size_t(bag_.draw(static_cast<int>(leased.size())))];
    if (std::erase_if(next.members, [&](const auto& m) { return m.id == who.id; }) == 0)
    {
        next.members.push_back(who);
    }
    store_.write(next, store_.revision);
}

world_result run_world(const world_options& options)
{
    return world{options}.run();
}

} // namespace camphorhitch::claims::testing
