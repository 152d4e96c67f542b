#include "simulation_internal.hpp"

namespace camphorhitch::claims::testing
{

simulation::simulation(const simulation_options& options)
    : options_{options}, network_{options.seed}
{
    beat_interval_ticks_ = 2 + network_.random_below(6);
    read_interval_ticks_ = 3 + network_.random_below(7);
    // With a long freshness the holders' agreement decides, with a short one the loss of freshness.
    freshness_.freshness =
        tick_interval * (2 * read_interval_ticks_) + millis{network_.random_below(2500)};
    freshness_.store_window = freshness_.freshness / 2;
    freshness_.outage_grace = freshness_.freshness + millis{network_.random_below(4000)};
    settings_.key_memory = executor_.key_memory = simulation_key_memory;
    settings_.permit_ttl = executor_.permit_ttl = millis{300 + network_.random_below(900)};
    settings_.max_request_time = millis{2000};
    settings_.keys_per_slot = 1;
    settings_.pull_timeout = millis{1500};
    settings_.stop_bound = freshness_.outage_grace + freshness_.margin;
    executor_.finish_timeout = millis{6000};
}

simulation_result simulation::run()
{
    for (int n = 0; n < options_.members; ++n)
    {
        start_new_host(150);
    }
    for (const auto& it : options_.faults)
    {
        network_.schedule(millis{it.at_ms}, [this, it] { inject(it); });
    }
    network_.schedule(millis{800}, [this] { generate_caller_requests(); });
    result_.counts.steps = network_.run_until(mono_time{millis{options_.run_ms}});
    result_.counts.sent = result_.observed.sent.size();
    result_.counts.epochs = store_.roster ? store_.roster->epoch : 0;
    return std::move(result_);
}

void simulation::start(const std::string& id)
{
    auto& p = *processes_.emplace_back(std::make_unique<process>());
    const auto zone = "z" + std::to_string(std::hash<std::string>{}(id) % 3);
    p.self = {id, "i" + std::to_string(processes_.size()), id, zone};
    p.freshness.settings = freshness_;
    p.freshness.self = p.roster.self = p.claims.self = p.self;
    p.claims.settings = settings_;
    p.roster.settings.unresponsive_after = millis{1000};
    p.roster.settings.return_after = millis{2000};
    p.roster.settings.lease_recovery_time = millis{2500};
    listening_[id] = &p;
    tick(p);
}

void simulation::start_new_host(int within_ms)
{
    network_.schedule(millis{network_.random_below(within_ms)},
        [this] { start("h" + std::to_string(++last_host_number_)); });
}

void simulation::kill(process& p)
{
    p.condition.alive = false;
    listening_.erase(p.self.id);
}

process* simulation::pick_process(int n)
{
    const auto size = static_cast<int>(listening_.size());
    return size == 0 ? nullptr : std::next(listening_.begin(), n % size)->second;
}

void simulation::inject(const fault& it)
{
    auto* p = pick_process(it.host);
    if (p == nullptr)
    {
        return;
    }
    const auto until = network_.now() + millis{it.length_ms};
    const auto id = p->self.id;
    switch (it.kind)
    {
    case fault_kind::pause:
        p->condition.paused_until = until;
        break;
    case fault_kind::restart:
        kill(*p);
        network_.schedule(millis{it.length_ms / 4}, [this, id] { start(id); });
        break;
    case fault_kind::replace:
        kill(*p);
        removed_hosts_.insert(id);
        start_new_host(2000);
        break;
    case fault_kind::leave:
        p->leave_deadline = network_.now() + millis{4000};
        membership::leave(p->roster);
        start_new_host(2000);
        break;
    case fault_kind::store_outage:
        store_.down_until = until;
        break;
    case fault_kind::store_loses_answers:
        store_.loses_answers_until = until;
        break;
    case fault_kind::cut_from_peers:
        network_.peers_cut[id] = until;
        break;
    case fault_kind::cut_from_store:
        network_.store_cut[id] = until;
        break;
    case fault_kind::isolate:
        network_.peers_cut[id] = network_.store_cut[id] = until;
        break;
    case fault_kind::split:
        network_.split_until = until;
        network_.split_store = it.length_ms % 2 == 0;
        break;
    case fault_kind::bad_network:
        network_.bad_network_until = until;
        break;
    case fault_kind::reshuffle:
        for (int n = 0; n <= it.length_ms % 4; ++n)
        {
            network_.schedule(millis{n * network_.random_below(400)}, [this] { reshuffle(); });
        }
    }
}

void simulation::reshuffle()
{
    const auto leased = store_.view(network_.now()).leased;
    if (!store_.roster || leased.empty())
    {
        return;
    }
    auto next = *store_.roster;
    next.history.insert(next.history.begin(), {next.epoch, next.members});
    next.history.resize(std::min<std::size_t>(next.history.size(), 16));
    ++next.epoch;
    const auto& member =
        leased[std::size_t(network_.random_below(static_cast<int>(leased.size())))];
    if (std::erase_if(next.members, [&](const auto& m) { return m.id == member.id; }) == 0)
    {
        next.members.push_back(member);
    }
    store_.write(next, store_.revision);
}

simulation_result run_simulation(const simulation_options& options)
{
    return simulation{options}.run();
}

} // namespace camphorhitch::claims::testing
