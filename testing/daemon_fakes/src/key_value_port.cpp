#include "daemon_fakes/key_value.hpp"

namespace camphorhitch::daemon_fakes
{

ports::key_value key_value::port(process& p)
{
    ports::key_value out;
    const auto read_by = [this, &p](bool prefix)
    {
        return [this, &p, prefix](
                   const std::string& key, const std::function<void(ports::kv_read)>& done)
        {
            call(
                p,
                [this, key, prefix, done]() -> std::function<void()>
                {
                    return [done, reply = read(key, prefix)]
                    {
                        done(reply);
                    };
                },
                [done] { done({}); });
        };
    };
    out.get = read_by(false);
    out.range = read_by(true);
    out.check = [this, &p](std::string key, ports::revision expected, const write_callback& done)
    {
        call(
            p,
            [this, key = std::move(key), expected, done]() -> std::function<void()>
            {
                auto reply = compare(key, expected);
                reply.current = {};
                return [done, reply]
                {
                    done(reply);
                };
            },
            [done] { done({}); });
    };
    out.put_if = [this, &p](std::string key,
                     std::string value,
                     ports::revision expected,
                     ports::lease_id lease,
                     const write_callback& done)
    {
        call_write(
            p,
            [this, key = std::move(key), value = std::move(value), expected, lease]
            {
                auto reply = compare(key, expected);
                if (lease != 0 && leases_.count(lease) == 0)
                {
                    reply.status = ports::kv_status::rejected;
                }
                else if (reply.status == ports::kv_status::ok)
                {
                    reply.modified = put(key, value, lease);
                }
                return reply;
            },
            done);
    };
    out.delete_if = [this, &p](
                        std::string key, ports::revision expected, const write_callback& done)
    {
        call_write(
            p,
            [this, key = std::move(key), expected]
            {
                auto reply = compare(key, expected);
                if (reply.status == ports::kv_status::ok)
                {
                    remove(key);
                }
                return reply;
            },
            done);
    };
    out.grant_lease = [this, &p](core::millis ttl, const std::function<void(ports::kv_lease)>& done)
    {
        call(
            p,
            [this, ttl, done]() -> std::function<void()>
            {
                const auto id = ++last_lease_;
                leases_[id] = {ttl, time_.now() + ttl};
                time_.after(ttl, [this, id] { expire_lease(id); });
                return [done, id, ttl]
                {
                    done({ports::kv_status::ok, id, ttl});
                };
            },
            [done] { done({}); });
    };
    out.keep_alive = [this, &p](
                         ports::lease_id id, const std::function<void(ports::kv_lease)>& done)
    {
        call(
            p,
            [this, id, done]() -> std::function<void()>
            {
                const auto it = leases_.find(id);
                core::millis remaining{0};
                if (it != leases_.end())
                {
                    remaining = it->second.ttl;
                    it->second.until = time_.now() + remaining;
                }
                return [done, id, remaining]
                {
                    done({ports::kv_status::ok, id, remaining});
                };
            },
            [done] { done({}); });
    };
    out.revoke_lease = [this, &p](
                           ports::lease_id id, const std::function<void(ports::kv_status)>& done)
    {
        call(
            p,
            [this, id, done]() -> std::function<void()>
            {
                remove_lease(id);
                return [done]
                {
                    done(ports::kv_status::ok);
                };
            },
            [done] { done(ports::kv_status::unavailable); });
    };
    out.watch = [this, &p](std::string prefix,
                    ports::revision from,
                    std::function<void(std::vector<ports::kv_event>)> on_events,
                    std::function<void()> on_end)
    {
        const auto id = ++last_watch_;
        watchers_[id] = {&p, std::move(prefix), std::move(on_events), std::move(on_end)};
        if (down_ || p.store_cut)
        {
            end_watch(id);
            return id;
        }
        std::vector<ports::kv_event> missed;
        for (const auto& it : history_)
        {
            if (it.entry.modified >= from &&
                it.entry.key.compare(0, watchers_[id].prefix.size(), watchers_[id].prefix) == 0)
            {
                missed.push_back(it);
            }
        }
        if (!missed.empty())
        {
            deliver(id, missed);
        }
        return id;
    };
    out.cancel_watch = [this](ports::watch_id id)
    {
        watchers_.erase(id);
    };
    return out;
}

} // namespace camphorhitch::daemon_fakes
