#include "preemption.hpp"

#include "text.hpp"

#include <algorithm>

namespace camphorhitch::jobs
{

namespace
{

/// How a less urgent task frees capacity.
enum class release_method
{
    throttle,  ///< frees processors at once and keeps its memory
    checkpoint ///< frees all its resources after its checkpoint
};

struct victim
{
    std::size_t task = 0; ///< index into the host's tasks
    release_method how = release_method::throttle;
};

struct preemption_plan
{
    host_view* host = nullptr;
    std::vector<victim> victims;
    double cost = 0;
};

/// Costs for each freed processor. A checkpoint costs more, because work is repeated and the job
/// waits for a new host.
constexpr double throttle_cost = 1.0;
constexpr double checkpoint_cost = 4.0;

/// Jobs of the same urgency never free capacity for one another.
bool is_less_urgent(const job& j)
{
    return j.klass >= job_class::normal;
}

bool can_throttle(const job& j)
{
    return j.state == job_state::running && is_less_urgent(j) && !j.throttled &&
           j.releasing == release_reason::none;
}

/// A job that may run once only is never stopped, because its effects can't be undone or repeated.
bool can_checkpoint(const job& j, const settings& rules)
{
    return j.state == job_state::running && is_less_urgent(j) && j.idempotent &&
           j.releasing == release_reason::none && j.preemptions < rules.max_preemptions;
}

resources freed_by(
    const job_ref& t, release_method how, const resources& capacity, const round_input& in)
{
    const resources load = load_of(t, capacity, in);
    if (how == release_method::checkpoint)
    {
        return load;
    }
    return {load.processors * (1 - in.rules.throttled_share), 0, 0};
}

/// \return the free resources of the host after everything in progress has completed.
resources expected_free_capacity(const host_view& v, const round_input& in)
{
    resources available = v.capacity - v.load - v.claimed;
    for (const auto& it : v.tasks)
    {
        const job& j = *it.it;
        if (j.state == job_state::checkpointing || j.state == job_state::cancelled)
        {
            available = available + load_of(it, v.capacity, in);
        }
        else if (j.throttled && it.task->throttled_at_worker != true)
        {
            available = available + freed_by(it, release_method::throttle, v.capacity, in);
        }
    }
    return available;
}

std::vector<std::size_t> tasks_by_class(const host_view& v)
{
    std::vector<std::size_t> order(v.tasks.size());
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        order[i] = i;
    }
    std::sort(order.begin(),
        order.end(),
        [&](std::size_t a, std::size_t b)
        {
            const job& x = *v.tasks[a].it;
            const job& y = *v.tasks[b].it;
            return x.klass != y.klass ? x.klass > y.klass
                                      : x.reserved.processors > y.reserved.processors;
        });
    return order;
}

bool is_chosen(const preemption_plan& p, std::size_t task)
{
    return std::any_of(
        p.victims.begin(), p.victims.end(), [&](const victim& it) { return it.task == task; });
}

void add_victim(preemption_plan& p,
    resources& available,
    std::size_t task,
    release_method how,
    const round_input& in)
{
    const resources freed = freed_by(p.host->tasks[task], how, p.host->capacity, in);
    available = available + freed;
    p.victims.push_back({task, how});
    p.cost +=
        freed.processors * (how == release_method::throttle ? throttle_cost : checkpoint_cost);
}

/// \return whether the host can free the capacity; \p p is filled in then.
bool plan_for_host(preemption_plan& p, host_view& v, const resources& need, const round_input& in)
{
    p = preemption_plan{&v, {}, 0};
    resources available = expected_free_capacity(v, in);
    const std::vector<std::size_t> order = tasks_by_class(v);
    const auto short_of_memory = [&]
    {
        return need.memory_gb > available.memory_gb || need.accelerators > available.accelerators;
    };
    for (const std::size_t it : order)
    {
        if (short_of_memory() && can_checkpoint(*v.tasks[it].it, in.rules))
        {
            add_victim(p, available, it, release_method::checkpoint, in);
        }
    }
    for (const std::size_t it : order)
    {
        if (need.processors > available.processors && !is_chosen(p, it) &&
            can_throttle(*v.tasks[it].it))
        {
            add_victim(p, available, it, release_method::throttle, in);
        }
    }
    for (const std::size_t it : order)
    {
        if (need.processors > available.processors && !is_chosen(p, it) &&
            can_checkpoint(*v.tasks[it].it, in.rules))
        {
            add_victim(p, available, it, release_method::checkpoint, in);
        }
    }
    return fits(need, available);
}

bool is_eligible(const host_view& v, const job& j, const estimate& size, const settings& rules)
{
    const resources declared = v.declared + j.declared;
    return v.accepts_jobs && !v.set_aside && v.starts_left > 0 && size.run_time < v.time_to_drain &&
           fits(j.declared, v.capacity) &&
           declared.processors <= v.capacity.processors * rules.max_overcommit &&
           declared.memory_gb <= v.capacity.memory_gb * rules.max_overcommit;
}

preemption_plan cheapest_plan(round_state& r, const job& j, const estimate& size)
{
    preemption_plan best;
    for (auto& v : r.views.hosts)
    {
        if (!is_eligible(v, j, size, r.in.rules))
        {
            continue;
        }
        preemption_plan p;
        const resources need = required_resources(size.size, j.declared, v.capacity);
        if (plan_for_host(p, v, need, r.in) && (best.host == nullptr || p.cost < best.cost))
        {
            best = std::move(p);
        }
    }
    return best;
}

void apply_plan(round_state& r, const preemption_plan& p, const job& urgent, const resources& need)
{
    const auto now = core::to_unix_ms(r.in.wall_now);
    for (const auto& it : p.victims)
    {
        job_ref& t = p.host->tasks[it.task];
        const std::string why =
            "frees capacity for " + urgent.id + ", which needs " + to_text(need);
        if (it.how == release_method::throttle)
        {
            t.it->throttled = true;
            t.it->decision = {"throttled_for_urgent", why, now};
            t.task->throttle_sent.reset();
        }
        else
        {
            t.it->releasing = release_reason::preempted;
            enter_state(*t.it, job_state::checkpointing, now, "preempted_for_urgent", why);
            t.task->release_started_at = r.in.now;
        }
        mark_changed(*t.bucket, *t.it, write_need::soon, r.in.now);
    }
    p.host->claimed = p.host->claimed + need;
    p.host->starts_left -= 1;
    r.all.capacity_claims[urgent.id] = {p.host->record->id, need, r.in.now};
}

bool is_draining(const model::host_record& host)
{
    return host.state == model::host_state::draining;
}

void release_job(round_state& r, job_ref& t, const model::host_record& host)
{
    job& j = *t.it;
    const bool near_end = remaining_time(j, t.task, r.in.now) <= r.in.rules.drain_finish_window;
    if (j.state != job_state::running || !j.idempotent || near_end)
    {
        return;
    }
    j.releasing = release_reason::drained;
    j.moved_by_wave = host.wave;
    enter_state(j,
        job_state::checkpointing,
        core::to_unix_ms(r.in.wall_now),
        "host_drains",
        host.id + " is drained for " +
            std::string{core::name_of(model::drain_purpose_names, host.purpose)});
    t.task->release_started_at = r.in.now;
    mark_changed(*t.bucket, j, write_need::soon, r.in.now);
}

/// \return when the host is predicted to have the capacity, or nothing when the ends of its tasks
/// don't suffice.
std::optional<core::mono_time> predict_free_at(
    const host_view& v, const resources& need, const round_input& in)
{
    std::vector<std::pair<core::millis, resources>> ends;
    ends.reserve(v.tasks.size());
    for (const auto& it : v.tasks)
    {
        ends.emplace_back(remaining_time(*it.it, it.task, in.now), load_of(it, v.capacity, in));
    }
    std::sort(
        ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    resources available = v.capacity - v.load;
    for (const auto& it : ends)
    {
        available = available + it.second;
        if (fits(need, available))
        {
            return in.now + it.first;
        }
    }
    return std::nullopt;
}

bool reserve_host(round_state& r, job& j)
{
    const estimate size = apply_correction(j, group_usage_of(r, j).size);
    host_view* best = nullptr;
    core::mono_time best_at{};
    for (auto& v : r.views.hosts)
    {
        const bool is_suitable = v.accepts_jobs && !v.set_aside && v.reserved_for == nullptr &&
                                 size.run_time < v.time_to_drain && fits(j.declared, v.capacity);
        const auto at =
            is_suitable
                ? predict_free_at(v, required_resources(size.size, j.declared, v.capacity), r.in)
                : std::nullopt;
        if (at && (best == nullptr || *at < best_at))
        {
            best = &v;
            best_at = *at;
        }
    }
    if (best == nullptr)
    {
        return false;
    }
    const auto it =
        r.all.reservations.insert_or_assign(j.id, reservation{best->record->id, best_at});
    best->reserved_for = &it.first->first;
    best->reserved_free_at = best_at;
    return true;
}

} // namespace

void release_from_draining_hosts(round_state& r)
{
    for (auto& v : r.views.hosts)
    {
        if (!is_draining(*v.record))
        {
            continue;
        }
        for (auto& it : v.tasks)
        {
            release_job(r, it, *v.record);
        }
    }
}

void free_capacity_for_urgent(round_state& r)
{
    for (auto& w : r.waiting)
    {
        job& j = *w.it;
        if (j.klass != job_class::urgent)
        {
            return;
        }
        const bool claimed = r.all.capacity_claims.count(j.id) != 0;
        if (claimed)
        {
            j.waits_for = wait_reason::making_room;
        }
        if (claimed || j.waits_for != wait_reason::no_room)
        {
            continue;
        }
        const estimate size = apply_correction(j, group_usage_of(r, j).size);
        const preemption_plan p = cheapest_plan(r, j, size);
        if (p.host != nullptr)
        {
            apply_plan(r, p, j, required_resources(size.size, j.declared, p.host->capacity));
            j.waits_for = wait_reason::making_room;
        }
    }
}

void unthrottle_tasks(round_state& r)
{
    for (auto& v : r.views.hosts)
    {
        for (auto& it : v.tasks)
        {
            job& j = *it.it;
            if (!j.throttled || it.task->throttled_at_worker != true ||
                j.state != job_state::running)
            {
                continue;
            }
            const resources now = load_of(it, v.capacity, r.in);
            const double full = now.processors / r.in.rules.throttled_share;
            const resources more{full - now.processors, 0, 0};
            if (!fits(v.load + v.claimed + more, v.capacity))
            {
                continue;
            }
            j.throttled = false;
            j.decision = {
                "unthrottled", "free capacity again on " + j.host, core::to_unix_ms(r.in.wall_now)};
            it.task->throttle_sent.reset();
            mark_changed(*it.bucket, j, write_need::soon, r.in.now);
            v.load = v.load + more;
        }
    }
}

void reserve_hosts_for_longest_waiting(round_state& r)
{
    const auto max_reservations =
        std::min(static_cast<std::size_t>(r.in.rules.max_reservations), r.views.hosts.size() / 2);
    for (const auto& w : r.waiting)
    {
        job& j = *w.it;
        if (j.waits_for != wait_reason::no_room)
        {
            continue;
        }
        const auto since = r.all.waiting_since.try_emplace(j.id, r.in.now).first->second;
        const bool long_enough = r.in.now - since >= r.in.rules.reservation_delay;
        if (long_enough && r.all.reservations.size() < max_reservations &&
            r.all.reservations.count(j.id) == 0)
        {
            reserve_host(r, j);
        }
    }
}

void remove_stale_claims(pool_jobs& all, const round_input& in)
{
    const auto is_waiting = [&](const std::string& id)
    {
        const auto& b = all.buckets.at(static_cast<std::size_t>(bucket_of(id)));
        const job* j = find_job(b.document, id);
        return j != nullptr && j->state == job_state::waiting;
    };
    const auto is_usable = [&](const std::string& host)
    {
        const model::host_record* it = model::find_host(in.hosts, host);
        return it != nullptr && it->state == model::host_state::serving &&
               !is_set_aside(all.health, host);
    };
    std::erase_if(all.capacity_claims,
        [&](const auto& it)
        {
            return !is_waiting(it.first) || !is_usable(it.second.host) ||
                   in.now - it.second.since > in.rules.capacity_claim_timeout;
        });
    std::erase_if(all.reservations,
        [&](const auto& it)
        {
            const bool is_overdue = in.now > it.second.free_at + in.rules.reservation_delay;
            return !is_waiting(it.first) || !is_usable(it.second.host) || is_overdue;
        });
}

} // namespace camphorhitch::jobs
