#include "candidates.hpp"

#include <algorithm>
#include <cmath>

namespace camphorhitch::jobs
{

namespace
{

/// Hosts weighed in each zone: those with the least room that the job still fits into.
constexpr int weighed_per_zone = 4;

// Weights of what a choice costs, each part being between 0 and 1.
constexpr double zone_weight = 1.0;
constexpr double rack_weight = 0.5;
constexpr double leftover_weight = 1.0;
constexpr double imbalance_weight = 0.5;
constexpr double accelerator_weight = 10.0;

constexpr std::size_t most_failed_sizes = 64;

/// Short jobs and urgent ones may use a host that is kept for a job waiting long: they are gone
/// again soon, and few.
bool is_favoured(const job& j)
{
    return j.klass <= job_class::quick;
}

bool is_kept_from(const host_view& v, const search& s)
{
    if (v.kept_for == nullptr || *v.kept_for == s.it.id || is_favoured(s.it))
    {
        return false;
    }
    return s.r.in.now + s.size.run_time > v.kept_free_at;
}

/// A job that failed on a host tries the others first.
bool failed_there(const host_view& v, const search& s)
{
    const job& j = s.it;
    if (j.failures.size() >= s.r.views.open_hosts)
    {
        return false;
    }
    return std::any_of(j.failures.begin(),
        j.failures.end(),
        [&](const host_failure& it) { return it.host == v.record->id; });
}

/// A plain job leaves an accelerator host as much room as its free accelerators need.
bool wastes_accelerators(const host_view& v, const amounts& need)
{
    const int free = v.capacity.accelerators - v.load.accelerators;
    if (need.accelerators > 0 || free <= 0)
    {
        return false;
    }
    const double share = static_cast<double>(free) / v.capacity.accelerators;
    const amounts after = v.capacity - v.load - need;
    return after.processors < share * v.capacity.processors / 2 ||
           after.memory_gb < share * v.capacity.memory_gb / 2;
}

bool leaves_too_soon(const host_view& v, const search& s)
{
    if (v.leaving_in == never)
    {
        return false;
    }
    // A job that a drain moved before goes where it needn't move again, if there is such a host.
    const bool moves_again = s.it.moves > 0 && s.r.views.any_staying;
    return moves_again || s.size.run_time >= v.leaving_in;
}

enum class answer
{
    yes,
    no_room,
    leaves_too_soon,
    not_now
};

answer can_take(const host_view& v, const search& s)
{
    const amounts need = need_on(s.size.size, s.it.declared, v.capacity);
    amounts claimed;
    if (const auto it = s.r.all.claims.find(s.it.id);
        it != s.r.all.claims.end() && it->second.host == v.record->id)
    {
        claimed = it->second.size;
    }
    if (!has_room(v, need, s.it.declared, claimed, s.r.in.rules))
    {
        return answer::no_room;
    }
    if (leaves_too_soon(v, s))
    {
        return answer::leaves_too_soon;
    }
    // What may run once only is lost on a bad worker, so it goes where something has run well.
    const bool risky = !s.it.idempotent && s.r.views.any_proven && !v.proven;
    const bool unfit =
        risky || failed_there(v, s) || is_kept_from(v, s) || wastes_accelerators(v, need);
    return unfit ? answer::not_now : answer::yes;
}

double cost_of(const host_view& v, const search& s, const group_view& g)
{
    const amounts need = need_on(s.size.size, s.it.declared, v.capacity);
    const amounts after = v.capacity - v.load - need;
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
    search_end end;
    double cost = 0;
};

void weigh(best_host& best,
    candidate_index& index,
    const candidate_index::by_room& hosts,
    const search& s,
    const group_view& g)
{
    const int need = static_cast<int>(std::floor(s.size.size.processors));
    int weighed = 0;
    for (auto it = hosts.lower_bound({need, 0}); it != hosts.end(); ++it)
    {
        host_view& v = index.at(it->second);
        const answer a = can_take(v, s);
        best.end.any_room = best.end.any_room || a != answer::no_room;
        if (a == answer::leaves_too_soon)
        {
            best.end.reason = wait_reason::drains_too_soon;
        }
        if (a != answer::yes)
        {
            continue;
        }
        const double cost = cost_of(v, s, g);
        if (best.end.host == nullptr || cost < best.cost)
        {
            best.end.host = &v;
            best.cost = cost;
        }
        weighed += 1;
        if (weighed == weighed_per_zone)
        {
            return;
        }
    }
}

/// Whether nothing beside its size narrows the job's choice, so that its failure speaks for others.
bool is_plain(const search& s)
{
    return s.it.idempotent && s.it.failures.empty() && s.it.moves == 0 &&
           s.r.all.claims.count(s.it.id) == 0 && s.r.all.reservations.count(s.it.id) == 0;
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

std::pair<int, std::size_t> candidate_index::place_of(const host_view& v) const
{
    const double free = v.capacity.processors - v.load.processors;
    // The whole room of an empty host also counts for a job whose corrected size is larger than it.
    const bool empty = v.tasks.empty();
    const int room = empty ? std::numeric_limits<int>::max() : static_cast<int>(std::floor(free));
    return {room, static_cast<std::size_t>(&v - views_.hosts.data())};
}

candidate_index::by_room& candidate_index::set_of(const host_view& v)
{
    auto& sets = v.capacity.accelerators > 0 ? accelerated_ : plain_;
    return sets[static_cast<std::size_t>(v.zone)];
}

void candidate_index::remove(const host_view& v)
{
    set_of(v).erase(place_of(v));
}

void candidate_index::add(const host_view& v)
{
    if (v.open && !v.aside && v.allowed > 0)
    {
        set_of(v).insert(place_of(v));
    }
}

const candidate_index::by_room& candidate_index::hosts(int zone, bool with_accelerators) const
{
    return (with_accelerators ? accelerated_ : plain_)[static_cast<std::size_t>(zone)];
}

host_view& candidate_index::at(std::size_t n) const
{
    return views_.hosts[n];
}

search_end find_host(candidate_index& index, const search& s)
{
    const group_view& g = group_view_of(s.r, s.it);
    best_host best;
    const bool accelerated = s.it.declared.accelerators > 0;
    for (int zone = 0; zone < s.r.views.zones; ++zone)
    {
        weigh(best, index, index.hosts(zone, accelerated), s, g);
    }
    if (best.end.host == nullptr && !accelerated)
    {
        for (int zone = 0; zone < s.r.views.zones; ++zone)
        {
            weigh(best, index, index.hosts(zone, true), s, g);
        }
    }
    return best.end;
}

bool failed_sizes::covers(const search& s) const
{
    if (s.r.all.claims.count(s.it.id) != 0 || s.r.all.reservations.count(s.it.id) != 0)
    {
        return false;
    }
    const bool favoured = is_favoured(s.it);
    return std::any_of(entries_.begin(),
        entries_.end(),
        [&](const entry& it)
        {
            const bool same_hosts =
                (it.declared.accelerators > 0) == (s.it.declared.accelerators > 0);
            return same_hosts && it.size.run_time <= s.size.run_time &&
                   (it.favoured || !favoured) && fits(it.size.size, s.size.size) &&
                   fits(it.declared, s.it.declared);
        });
}

void failed_sizes::add(const search& s, const search_end& why)
{
    reason_ = why.reason;
    if (!is_plain(s))
    {
        return;
    }
    entry made{s.size, s.it.declared, is_favoured(s.it)};
    if (!why.any_room)
    {
        // However short and however favoured, there is no room for it.
        made.size.run_time = core::millis{0};
        made.favoured = true;
    }
    std::erase_if(entries_,
        [&](const entry& it)
        {
            return made.size.run_time <= it.size.run_time && (made.favoured || !it.favoured) &&
                   made.declared.accelerators == it.declared.accelerators &&
                   fits(made.size.size, it.size.size) && fits(made.declared, it.declared);
        });
    if (entries_.size() < most_failed_sizes)
    {
        entries_.push_back(made);
    }
}

wait_reason failed_sizes::reason() const
{
    return reason_;
}

} // namespace camphorhitch::jobs
