#include "make_room.hpp"

#include "text.hpp"

#include <algorithm>

namespace camphorhitch::jobs
{

namespace
{

/// How a less urgent task makes room.
enum class way
{
    throttle,  ///< gives up processors at once and keeps its memory
    checkpoint ///< gives up everything after its checkpoint
};

struct victim
{
    std::size_t task = 0; ///< index into the host's tasks
    way how = way::throttle;
};

struct plan
{
    host_view* host = nullptr;
    std::vector<victim> victims;
    double cost = 0;
};

/// Costs for each processor that stands still: a checkpoint repeats work and waits for a new host.
constexpr double throttle_cost = 1.0;
constexpr double checkpoint_cost = 4.0;

/// Jobs of the same urgency never make room for one another.
bool is_less_urgent(const job& j)
{
    return j.klass >= job_class::normal;
}

bool can_throttle(const job& j)
{
    return j.state == job_state::running && is_less_urgent(j) && !j.throttled &&
           j.releasing == release_reason::none;
}

/// A job that may run once only is never stopped: what it did can't be taken back or done again.
bool can_checkpoint(const job& j, const settings& rules)
{
    return j.state == job_state::running && is_less_urgent(j) && j.idempotent &&
           j.releasing == release_reason::none && j.preemptions < rules.most_preemptions;
}

amounts freed_by(const placed_job& t, way how, const amounts& capacity, const round_input& in)
{
    const amounts load = load_of(t, capacity, in);
    if (how == way::checkpoint)
    {
        return load;
    }
    return {load.processors * (1 - in.rules.throttled_share), 0, 0};
}

/// What the host will have free when everything under way has happened.
amounts room_to_come(const host_view& v, const round_input& in)
{
    amounts room = v.capacity - v.load - v.claimed;
    for (const auto& it : v.tasks)
    {
        const job& j = *it.it;
        if (j.state == job_state::checkpointing || j.state == job_state::cancelled)
        {
            room = room + load_of(it, v.capacity, in);
        }
        else if (j.throttled && it.task->throttled_there != true)
        {
            room = room + freed_by(it, way::throttle, v.capacity, in);
        }
    }
    return room;
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

bool is_chosen(const plan& p, std::size_t task)
{
    return std::any_of(
        p.victims.begin(), p.victims.end(), [&](const victim& it) { return it.task == task; });
}

void choose(plan& p, amounts& room, std::size_t task, way how, const round_input& in)
{
    const amounts freed = freed_by(p.host->tasks[task], how, p.host->capacity, in);
    room = room + freed;
    p.victims.push_back({task, how});
    p.cost += freed.processors * (how == way::throttle ? throttle_cost : checkpoint_cost);
}

/// \return whether the host can make the room; the plan is filled in then.
bool plan_room(plan& p, host_view& v, const amounts& need, const round_input& in)
{
    p = plan{&v, {}, 0};
    amounts room = room_to_come(v, in);
    const std::vector<std::size_t> order = tasks_by_class(v);
    const auto short_of_memory = [&]
    {
        return need.memory_gb > room.memory_gb || need.accelerators > room.accelerators;
    };
    for (const std::size_t it : order)
    {
        if (short_of_memory() && can_checkpoint(*v.tasks[it].it, in.rules))
        {
            choose(p, room, it, way::checkpoint, in);
        }
    }
    for (const std::size_t it : order)
    {
        if (need.processors > room.processors && !is_chosen(p, it) && can_throttle(*v.tasks[it].it))
        {
            choose(p, room, it, way::throttle, in);
        }
    }
    for (const std::size_t it : order)
    {
        if (need.processors > room.processors && !is_chosen(p, it) &&
            can_checkpoint(*v.tasks[it].it, in.rules))
        {
            choose(p, room, it, way::checkpoint, in);
        }
    }
    return fits(need, room);
}

bool may_hold(const host_view& v, const job& j, const estimate& size, const settings& rules)
{
    const amounts declared = v.declared + j.declared;
    return v.open && !v.aside && v.allowed > 0 && size.run_time < v.leaving_in &&
           fits(j.declared, v.capacity) &&
           declared.processors <= v.capacity.processors * rules.most_overcommit &&
           declared.memory_gb <= v.capacity.memory_gb * rules.most_overcommit;
}

plan cheapest_plan(round_state& r, const job& j, const estimate& size)
{
    plan best;
    for (auto& v : r.views.hosts)
    {
        if (!may_hold(v, j, size, r.in.rules))
        {
            continue;
        }
        plan p;
        const amounts need = need_on(size.size, j.declared, v.capacity);
        if (plan_room(p, v, need, r.in) && (best.host == nullptr || p.cost < best.cost))
        {
            best = std::move(p);
        }
    }
    return best;
}

void carry_out(round_state& r, const plan& p, const job& urgent, const amounts& need)
{
    const auto now = core::to_unix_ms(r.in.wall_now);
    for (const auto& it : p.victims)
    {
        placed_job& t = p.host->tasks[it.task];
        const std::string why = "room for " + urgent.id + ", which needs " + to_text(need);
        if (it.how == way::throttle)
        {
            t.it->throttled = true;
            t.it->why = {"throttled_for_urgent", why, now};
            t.task->throttle_sent.reset();
        }
        else
        {
            t.it->releasing = release_reason::preempted;
            enter(*t.it, job_state::checkpointing, now, "preempted_for_urgent", why);
            t.task->release_since = r.in.now;
        }
        touch(*t.bucket, *t.it, write_need::soon, r.in.now);
    }
    p.host->claimed = p.host->claimed + need;
    p.host->allowed -= 1;
    r.all.claims[urgent.id] = {p.host->record->id, need, r.in.now};
}

bool leaves(const model::host_record& host)
{
    return host.state == model::host_state::draining;
}

void leave(round_state& r, placed_job& t, const model::host_record& host)
{
    job& j = *t.it;
    const bool near_end = time_left(j, t.task, r.in.now) <= r.in.rules.finish_patience;
    if (j.state != job_state::running || !j.idempotent || near_end)
    {
        return;
    }
    j.releasing = release_reason::drained;
    j.moved_in = host.wave;
    enter(j,
        job_state::checkpointing,
        core::to_unix_ms(r.in.wall_now),
        "host_drains",
        host.id + " leaves for " +
            std::string{core::name_of(model::drain_purpose_names, host.purpose)});
    t.task->release_since = r.in.now;
    touch(*t.bucket, j, write_need::soon, r.in.now);
}

/// \return when the host is predicted to have the room, or nothing when its tasks' ends won't do.
std::optional<core::mono_time> free_at(
    const host_view& v, const amounts& need, const round_input& in)
{
    std::vector<std::pair<core::millis, amounts>> ends;
    ends.reserve(v.tasks.size());
    for (const auto& it : v.tasks)
    {
        ends.emplace_back(time_left(*it.it, it.task, in.now), load_of(it, v.capacity, in));
    }
    std::sort(
        ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    amounts room = v.capacity - v.load;
    for (const auto& it : ends)
    {
        room = room + it.second;
        if (fits(need, room))
        {
            return in.now + it.first;
        }
    }
    return std::nullopt;
}

bool keep_one(round_state& r, job& j)
{
    const estimate size = corrected(j, group_view_of(r, j).size);
    host_view* best = nullptr;
    core::mono_time best_at{};
    for (auto& v : r.views.hosts)
    {
        const bool suits = v.open && !v.aside && v.kept_for == nullptr &&
                           size.run_time < v.leaving_in && fits(j.declared, v.capacity);
        const auto at =
            suits ? free_at(v, need_on(size.size, j.declared, v.capacity), r.in) : std::nullopt;
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
    best->kept_for = &it.first->first;
    best->kept_free_at = best_at;
    return true;
}

} // namespace

void leave_draining_hosts(round_state& r)
{
    for (auto& v : r.views.hosts)
    {
        if (!leaves(*v.record))
        {
            continue;
        }
        for (auto& it : v.tasks)
        {
            leave(r, it, *v.record);
        }
    }
}

void make_room_for_urgent(round_state& r)
{
    for (auto& w : r.waiting)
    {
        job& j = *w.it;
        if (j.klass != job_class::urgent)
        {
            return;
        }
        const bool claimed = r.all.claims.count(j.id) != 0;
        if (claimed)
        {
            j.waits_for = wait_reason::making_room;
        }
        if (claimed || j.waits_for != wait_reason::no_room)
        {
            continue;
        }
        const estimate size = corrected(j, group_view_of(r, j).size);
        const plan p = cheapest_plan(r, j, size);
        if (p.host != nullptr)
        {
            carry_out(r, p, j, need_on(size.size, j.declared, p.host->capacity));
            j.waits_for = wait_reason::making_room;
        }
    }
}

void unthrottle(round_state& r)
{
    for (auto& v : r.views.hosts)
    {
        for (auto& it : v.tasks)
        {
            job& j = *it.it;
            if (!j.throttled || it.task->throttled_there != true || j.state != job_state::running)
            {
                continue;
            }
            const amounts now = load_of(it, v.capacity, r.in);
            const double full = now.processors / r.in.rules.throttled_share;
            const amounts more{full - now.processors, 0, 0};
            if (!fits(v.load + v.claimed + more, v.capacity))
            {
                continue;
            }
            j.throttled = false;
            j.why = {"unthrottled", "room again on " + j.host, core::to_unix_ms(r.in.wall_now)};
            it.task->throttle_sent.reset();
            touch(*it.bucket, j, write_need::soon, r.in.now);
            v.load = v.load + more;
        }
    }
}

void keep_hosts_for_the_longest_waiting(round_state& r)
{
    const auto most =
        std::min(static_cast<std::size_t>(r.in.rules.most_reservations), r.views.hosts.size() / 2);
    for (const auto& w : r.waiting)
    {
        job& j = *w.it;
        if (j.waits_for != wait_reason::no_room)
        {
            continue;
        }
        const auto since = r.all.waiting_since.try_emplace(j.id, r.in.now).first->second;
        const bool long_enough = r.in.now - since >= r.in.rules.reserve_after;
        if (long_enough && r.all.reservations.size() < most && r.all.reservations.count(j.id) == 0)
        {
            keep_one(r, j);
        }
    }
}

void drop_old_claims(pool_jobs& all, const round_input& in)
{
    const auto waits = [&](const std::string& id)
    {
        const auto& b = all.buckets.at(static_cast<std::size_t>(bucket_of(id)));
        const job* j = find_job(b.document, id);
        return j != nullptr && j->state == job_state::waiting;
    };
    const auto is_open = [&](const std::string& host)
    {
        const model::host_record* it = model::find_host(in.hosts, host);
        return it != nullptr && it->state == model::host_state::serving &&
               !is_set_aside(all.health, host);
    };
    std::erase_if(all.claims,
        [&](const auto& it)
        {
            return !waits(it.first) || !is_open(it.second.host) ||
                   in.now - it.second.since > in.rules.claim_timeout;
        });
    std::erase_if(all.reservations,
        [&](const auto& it)
        {
            const bool overdue = in.now > it.second.free_at + in.rules.reserve_after;
            return !waits(it.first) || !is_open(it.second.host) || overdue;
        });
}

} // namespace camphorhitch::jobs
