#include "daemon_fakes/key_value.hpp"

namespace camphorhitch::daemon_fakes
{

namespace
{

/// Time after which a call to a service that does not answer fails.
constexpr core::millis call_timeout{1000};

bool starts_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

key_value::key_value(virtual_time& time) : time_(time)
{
}

const ports::kv_entry* key_value::find(const std::string& key) const
{
    const auto it = now_.entries.find(key);
    return it == now_.entries.end() ? nullptr : &it->second;
}

ports::revision key_value::put(
    const std::string& key, const std::string& value, ports::lease_id lease)
{
    ++writes;
    const auto modified = ++now_.revision;
    now_.entries[key] = {key, value, modified, lease};
    publish({false, now_.entries[key]});
    return modified;
}

void key_value::remove(const std::string& key)
{
    if (now_.entries.erase(key) > 0)
    {
        ++writes;
        publish({true, {key, "", ++now_.revision, 0}});
    }
}

void key_value::set_down(bool down)
{
    down_ = down;
    if (down)
    {
        end_watches();
    }
}

void key_value::freeze_range_reads()
{
    frozen_ = now_;
}

void key_value::unfreeze_range_reads()
{
    frozen_.reset();
}

void key_value::end_watches()
{
    const auto all = watchers_;
    for (const auto& [id, it] : all)
    {
        end_watch(id);
    }
}

void key_value::publish(const ports::kv_event& event)
{
    history_.push_back(event);
    for (const auto& [id, it] : watchers_)
    {
        if (starts_with(event.entry.key, it.prefix))
        {
            deliver(id, {event});
        }
    }
}

void key_value::deliver(ports::watch_id id, std::vector<ports::kv_event> events)
{
    time_.after(wire_delay,
        [this, id, events = std::move(events)]
        {
            const auto it = watchers_.find(id);
            if (it == watchers_.end())
            {
                return;
            }
            if (it->second.owner->store_cut)
            {
                end_watch(id); // The event is lost, so the watch must not continue.
                return;
            }
            it->second.owner->enter(
                [this, id, events]
                {
                    const auto still = watchers_.find(id);
                    if (still != watchers_.end())
                    {
                        const auto on_events = still->second.on_events;
                        on_events(events);
                    }
                });
        });
}

void key_value::end_watch(ports::watch_id id)
{
    time_.after(wire_delay,
        [this, id]
        {
            const auto it = watchers_.find(id);
            if (it == watchers_.end())
            {
                return;
            }
            const auto ended_watch = it->second;
            watchers_.erase(it);
            ended_watch.owner->enter(ended_watch.on_end);
        });
}

void key_value::remove_lease(ports::lease_id id)
{
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, it] : now_.entries)
    {
        if (it.lease == id)
        {
            keys.push_back(key);
        }
    }
    for (const auto& key : keys)
    {
        remove(key);
    }
}

void key_value::expire_lease(ports::lease_id id)
{
    const auto it = leases_.find(id);
    if (it == leases_.end())
    {
        return;
    }
    if (down_)
    {
        // Leases do not expire while the service is down.
        it->second.until = time_.now() + it->second.ttl;
    }
    if (it->second.until <= time_.now())
    {
        remove_lease(id);
        return;
    }
    const auto remaining = std::chrono::ceil<core::millis>(it->second.until - time_.now());
    time_.after(remaining, [this, id] { expire_lease(id); });
}

ports::kv_read key_value::read(const std::string& key, bool prefix)
{
    const auto& from = prefix && frozen_ ? *frozen_ : now_;
    ports::kv_read out;
    out.status = ports::kv_status::ok;
    out.store_revision = from.revision;
    for (auto it = from.entries.lower_bound(key); it != from.entries.end(); ++it)
    {
        if (prefix ? !starts_with(it->first, key) : it->first != key)
        {
            break;
        }
        out.entries.push_back(it->second);
    }
    range_reads += prefix ? 1 : 0;
    return out;
}

ports::kv_write key_value::compare(const std::string& key, ports::revision expected) const
{
    const auto* known = find(key);
    ports::kv_write out;
    out.modified = known == nullptr ? 0 : known->modified;
    out.status = out.modified == expected ? ports::kv_status::ok : ports::kv_status::conflict;
    if (out.status == ports::kv_status::conflict && known != nullptr)
    {
        out.current = *known;
    }
    return out;
}

void key_value::call(
    process& p, std::function<std::function<void()>()> serve, std::function<void()> lost)
{
    const auto to_owner = [this, &p](core::millis delay, std::function<void()> fn)
    {
        time_.after(delay, [&p, fn = std::move(fn)] { p.enter(fn); });
    };
    if (down_ || p.store_cut)
    {
        to_owner(call_timeout, std::move(lost));
        return;
    }
    time_.after(wire_delay,
        [this, &p, to_owner, serve = std::move(serve), lost = std::move(lost)]
        {
            const bool reached = !down_ && !p.store_cut;
            to_owner(reached ? wire_delay : call_timeout, reached ? serve() : lost);
        });
}

void key_value::call_write(
    process& p, std::function<ports::kv_write()> serve, const write_callback& done)
{
    call(
        p,
        [this, serve = std::move(serve), done]() -> std::function<void()>
        {
            auto reply = serve();
            if (reply.status == ports::kv_status::ok && answers_to_lose > 0)
            {
                --answers_to_lose;
                reply = {};
                reply.status = ports::kv_status::unknown;
            }
            return [done, reply]
            {
                done(reply);
            };
        },
        [done] { done({}); });
}

} // namespace camphorhitch::daemon_fakes
