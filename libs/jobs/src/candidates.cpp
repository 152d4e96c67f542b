#include "candidates.hpp"

#include <algorithm>
#include <cmath>

namespace camphorhitch::jobs
{

namespace
{

/// Hosts compared in each zone: those with the least free capacity that still fit the job.
constexpr int max_candidates_per_zone = 4;

// Weights of the parts of a candidate's cost. Each part is between 0 and 1.
constexpr double zone_weight = 1.0;
constexpr double rack_weight = 0.5;
constexpr double leftover_weight = 1.0;
constexpr double imbalance_weight = 0.5;
constexpr double accelerator_weight = 10.0;

constexpr std::size_t max_entries = 64;

/// Short and urgent jobs may use a host that is reserved for a long-waiting job, because they end
/// soon and are few.
bool may_use_reserved_hosts(const job& j)
{
    return j.klass <= job_class::quick;
}

bool is_reserved_for_other_job(const host_view& v, const host_search& s)
{
    if (v.reserved_for == nullptr || *v.reserved_for == s.it.id || may_use_reserved_hosts(s.it))
    {
        return false;
    }
    return s.r.in.now + s.size.run_time > v.reserved_free_at;
}

/// A job that failed on a host tries the other hosts first.
bool should_avoid_after_failure(const host_view& v, const host_search& s)
{
    const job& j = s.it;
    if (j.failures.size() >= s.r.views.usable_hosts)
    {
        return false;
    }
    return std::any_of(j.failures.begin(),
        j.failures.end(),
        [&](const host_failure& it) { return it.host == v.record->id; });
}

/// A job without accelerators must leave an accelerator host the share of processors and memory
/// that its free accelerators need.
bool blocks_accelerators(const host_view& v, const resources& need)
{
    const int free = v.capacity.accelerators - v.load.accelerators;
    if (need.accelerators > 0 || free <= 0)
    {
        return false;
    }
    const double share = static_cast<double>(free) / v.capacity.accelerators;
    const resources after = v.capacity - v.load - need;
    return after.processors < share * v.capacity.processors / 2 ||
           after.memory_gb < share * v.capacity.memory_gb / 2;
}

bool drains_too_soon(const host_view& v, const host_search& s)
{
    if (v.time_to_drain == no_drain_expected)
    {
        return false;
    }
    // A job that was moved by a drain before is placed on a host without an expected drain, if
    // there is one.
    const bool moves_again = s.it.moves > 0 && s.r.views.any_not_draining;
    return moves_again || s.size.run_time >= v.time_to_drain;
}

enum class host_verdict
{
    suitable,
    no_capacity,
    drains_too_soon,
    unsuitable
};

host_verdict evaluate_host(const host_view& v, const host_search& s)
{
    const resources need = required_resources(s.size.size, s.it.declared, v.capacity);
    resources claimed;
    if (const auto it = s.r.all.capacity_claims.find(s.it.id);
        it != s.r.all.capacity_claims.end() && it->second.host == v.record->id)
    {
        claimed = it->second.size;
    }
    if (!has_capacity(v, need, s.it.declared, claimed, s.r.in.rules))
    {
        return host_verdict::no_capacity;
    }
    if (drains_too_soon(v, s))
    {
        return host_verdict::drains_too_soon;
    }
    // A job that may run once only is lost when its worker fails it, so it is placed on a proven
    // host.
    const bool risky = !s.it.idempotent && s.r.views.any_proven && !v.proven;
    const bool unfit = risky || should_avoid_after_failure(v, s) ||
                       is_reserved_for_other_job(v, s) || blocks_accelerators(v, need);
    return unfit ? host_verdict::unsuitable : host_verdict::suitable;
}

double cost_of(const host_view& v, const host_search& s, const group_usage& g)
{
    const resources need = required_resources(s.size.size, s.it.declared, v.capacity);
    const resources after = v.capacity - v.load - need;
    const double processors = after.processors / v.capacity.processors;
    const double memory = after.memory_gb / v.capacity.memory_gb;
    const double all = g.tasks > 0 ? g.tasks : 1;
    double cost = leftover_weight * (processors + memory) / 2;
    cost += imbalance_weight * std::abs(processors - memory);
    cost += zone_weight * g.in_zone[static_cast<std::size_t>(v.zone)] / all;
    cost += rack_weight * g.in_rack[static_cast<std::size_t>(v.rack)] / all;
    if (need.accelerators == 0 && v.capacity.accelerators > 0)
    {
        cost += accelerator_weight;
    }
    return cost;
}

struct best_host
{
    search_result result;
    double cost = 0;
};

void evaluate_hosts(best_host& best,
    candidate_index& index,
    const candidate_index::by_free_processors& hosts,
    const host_search& s,
    const group_usage& g)
{
    const int need = static_cast<int>(std::floor(s.size.size.processors));
    int compared = 0;
    for (auto it = hosts.lower_bound({need, 0}); it != hosts.end(); ++it)
    {
        host_view& v = index.at(it->second);
        const host_verdict verdict = evaluate_host(v, s);
        best.result.any_capacity = best.result.any_capacity || verdict != host_verdict::no_capacity;
        if (verdict == host_verdict::drains_too_soon)
        {
            best.result.reason = wait_reason::drains_too_soon;
        }
        if (verdict != host_verdict::suitable)
        {
            continue;
        }
        const double cost = cost_of(v, s, g);
        if (best.result.host == nullptr || cost < best.cost)
        {
            best.result.host = &v;
            best.cost = cost;
        }
        compared += 1;
        if (compared == max_candidates_per_zone)
        {
            return;
        }
    }
}

/// \return whether only its size restricts the job's choice of hosts, so that its failure to find a
/// host holds for other jobs as well.
bool is_unrestricted(const host_search& s)
{
    return s.it.idempotent && s.it.failures.empty() && s.it.moves == 0 &&
           s.r.all.capacity_claims.count(s.it.id) == 0 && s.r.all.reservations.count(s.it.id) == 0;
}

} // namespace

candidate_index::candidate_index(host_views& views)
    : views_(views), plain_(static_cast<std::size_t>(views.zones)),
      accelerated_(static_cast<std::size_t>(views.zones))
{
    for (const auto& it : views_.hosts)
    {
        add(it);
    }
}

std::pair<int, std::size_t> candidate_index::index_key_of(const host_view& v) const
{
    const double free = v.capacity.processors - v.load.processors;
    // An empty host counts with its whole capacity, also for a job whose corrected size is larger.
    const bool empty = v.tasks.empty();
    const int available =
        empty ? std::numeric_limits<int>::max() : static_cast<int>(std::floor(free));
    return {available, static_cast<std::size_t>(&v - views_.hosts.data())};
}

candidate_index::by_free_processors& candidate_index::set_of(const host_view& v)
{
    auto& sets = v.capacity.accelerators > 0 ? accelerated_ : plain_;
    return sets[static_cast<std::size_t>(v.zone)];
}

void candidate_index::remove(const host_view& v)
{
    set_of(v).erase(index_key_of(v));
}

void candidate_index::add(const host_view& v)
{
    if (v.accepts_jobs && !v.set_aside && v.starts_left > 0)
    {
        set_of(v).insert(index_key_of(v));
    }
}

const candidate_index::by_free_processors& candidate_index::hosts(
    int zone, bool with_accelerators) const
{
    return (with_accelerators ? accelerated_ : plain_)[static_cast<std::size_t>(zone)];
}

host_view& candidate_index::at(std::size_t n) const
{
    return views_.hosts[n];
}

search_result find_host(candidate_index& index, const host_search& s)
{
    const group_usage& g = group_usage_of(s.r, s.it);
    best_host best;
    const bool accelerated = s.it.declared.accelerators > 0;
    for (int zone = 0; zone < s.r.views.zones; ++zone)
    {
        evaluate_hosts(best, index, index.hosts(zone, accelerated), s, g);
    }
    if (best.result.host == nullptr && !accelerated)
    {
        for (int zone = 0; zone < s.r.views.zones; ++zone)
        {
            evaluate_hosts(best, index, index.hosts(zone, true), s, g);
        }
    }
    return best.result;
}

bool unplaceable_sizes::covers(const host_search& s) const
{
    if (s.r.all.capacity_claims.count(s.it.id) != 0 || s.r.all.reservations.count(s.it.id) != 0)
    {
        return false;
    }
    const bool may_use_reserved = may_use_reserved_hosts(s.it);
    return std::any_of(entries_.begin(),
        entries_.end(),
        [&](const entry& it)
        {
            const bool same_hosts =
                (it.declared.accelerators > 0) == (s.it.declared.accelerators > 0);
            return same_hosts && it.size.run_time <= s.size.run_time &&
                   (it.may_use_reserved || !may_use_reserved) && fits(it.size.size, s.size.size) &&
                   fits(it.declared, s.it.declared);
        });
}

void unplaceable_sizes::add(const host_search& s, const search_result& result)
{
    reason_ = result.reason;
    if (!is_unrestricted(s))
    {
        return;
    }
    entry made{s.size, s.it.declared, may_use_reserved_hosts(s.it)};
    if (!result.any_capacity)
    {
        // There is no capacity for the job, whatever its run time and its right to use reserved
        // hosts.
        made.size.run_time = core::millis{0};
        made.may_use_reserved = true;
    }
    std::erase_if(entries_,
        [&](const entry& it)
        {
            return made.size.run_time <= it.size.run_time &&
                   (made.may_use_reserved || !it.may_use_reserved) &&
                   made.declared.accelerators == it.declared.accelerators &&
                   fits(made.size.size, it.size.size) && fits(made.declared, it.declared);
        });
    if (entries_.size() < max_entries)
    {
        entries_.push_back(made);
    }
}

wait_reason unplaceable_sizes::reason() const
{
    return reason_;
}

} // namespace camphorhitch::jobs
