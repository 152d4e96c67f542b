#include "hosted_fakes/store.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted_fakes
{

using daemon_fakes::process;
using daemon_fakes::wire_delay;
using ports::kv_status;

namespace
{

ports::kv_lease lease_answer(kv_status s, ports::lease_id id, core::millis ttl)
{
    ports::kv_lease out;
    out.status = s;
    out.id = id;
    out.ttl = ttl;
    return out;
}

template <class Answer>
Answer with_status(kv_status s)
{
    Answer out;
    out.status = s;
    return out;
}

} // namespace

store::store(daemon_fakes::virtual_time& time) : time_(time)
{
}

template <class Answer>
void store::call(process& p,
    std::function<Answer()> serve,
    Answer lost,
    Answer refused,
    std::function<void(Answer)> done)
{
    time_.after(wire_delay,
        [this, &p, serve = std::move(serve), lost, refused, done = std::move(done)]
        {
            if (p.dead)
            {
                return;
            }
            if (down || p.store_cut)
            {
                time_.after(timeout, [&p, lost, done] { p.enter([=] { done(lost); }); });
                return;
            }
            const auto answer = busy ? refused : serve();
            time_.after(wire_delay, [&p, answer, done] { p.enter([=] { done(answer); }); });
        });
}

void store::record_change(const ports::stored_change& change)
{
    history_.push_back(change);
    const auto waiting = waiters_;
    for (const auto& [id, w] : waiting)
    {
        if (change.item.key.starts_with(w.prefix) && waiters_.erase(id) > 0)
        {
            answer_watch(w);
        }
    }
}

ports::revision store::put(const std::string& key, const std::string& value)
{
    commit({{}, {{key, value, 0}}, {}});
    return revision_;
}

void store::remove(const std::string& key)
{
    commit({{}, {}, {key}});
}

const ports::stored_item* store::find(const std::string& key) const
{
    const auto it = items_.find(key);
    return it == items_.end() ? nullptr : &it->second;
}

void store::revoke(const std::string& key)
{
    remove(key); // its lease continues, and renewals do not reveal the removal
}

void store::compact()
{
    compacted_ = revision_;
    history_.clear();
    const auto waiting = std::exchange(waiters_, {});
    for (const auto& [id, w] : waiting)
    {
        if (!answer_watch(w))
        {
            w.answer(with_status<ports::changes_read>(kv_status::unknown)); // the watch ends
        }
    }
}

ports::commit_result store::commit(const ports::store_transaction& t)
{
    ports::commit_result out;
    out.status = kv_status::ok;
    for (const auto& it : t.conditions)
    {
        const auto* const found = find(it.key);
        if ((found == nullptr ? 0 : found->modified) != it.expected)
        {
            out.status = kv_status::conflict;
        }
        if (found != nullptr)
        {
            out.current.push_back(*found);
        }
    }
    for (const auto& it : t.puts)
    {
        if (it.lease != 0 && !leases_.contains(it.lease))
        {
            out.status = kv_status::rejected;
            out.lease_missing = true;
        }
    }
    if (out.status != kv_status::ok)
    {
        return out;
    }
    out.current.clear();
    out.modified = ++revision_;
    std::vector<ports::stored_change> changes;
    for (const auto& it : t.puts)
    {
        auto& item = items_[it.key];
        const auto created = item.created == 0 ? revision_ : item.created;
        item = {it.key, it.value, revision_, created, it.lease};
        changes.push_back({false, item});
    }
    for (const auto& key : t.removals)
    {
        if (items_.erase(key) > 0)
        {
            ports::stored_change gone;
            gone.removed = true;
            gone.item.key = key;
            gone.item.modified = revision_;
            changes.push_back(gone);
        }
    }
    for (const auto& it : changes)
    {
        record_change(it);
    }
    return out;
}

void store::commit_call(process& p,
    const ports::store_transaction& t,
    const std::function<void(ports::commit_result)>& done)
{
    const auto unknown = with_status<ports::commit_result>(kv_status::unknown);
    if (writes_to_delay > 0 && !down && !busy && !p.store_cut)
    {
        --writes_to_delay;
        time_.after(delayed_write_time, [this, t] { commit(t); });
        time_.after(timeout, [&p, unknown, done] { p.enter([=] { done(unknown); }); });
        return;
    }
    const bool lose = answers_to_lose > 0;
    answers_to_lose -= lose ? 1 : 0;
    const auto serve = [this, t]
    {
        ++writes;
        return commit(t);
    };
    auto on_answer = done;
    if (lose)
    {
        on_answer = [this, &p, unknown, done](const ports::commit_result&)
        {
            time_.after(timeout, [&p, unknown, done] { p.enter([=] { done(unknown); }); });
        };
    }
    call<ports::commit_result>(p,
        serve,
        unknown,
        with_status<ports::commit_result>(kv_status::rejected),
        std::move(on_answer));
}

ports::page_read store::range(const std::string& prefix, const std::string& after)
{
    ++reads;
    ports::page_read out;
    out.status = kv_status::ok;
    out.store_revision = revision_;
    for (auto it = items_.lower_bound(prefix); it != items_.end(); ++it)
    {
        if (!it->first.starts_with(prefix))
        {
            break;
        }
        if (!after.empty() && it->first <= after)
        {
            continue;
        }
        if (out.items.size() == page_size)
        {
            out.more = true;
            break;
        }
        out.items.push_back(it->second);
    }
    return out;
}

bool store::answer_watch(const waiter& w)
{
    auto read = with_status<ports::changes_read>(kv_status::ok);
    read.store_revision = revision_;
    if (w.after < compacted_)
    {
        read.status = kv_status::rejected;
        read.change_log_truncated = true;
        w.answer(read);
        return true;
    }
    for (const auto& it : history_)
    {
        if (it.item.modified > w.after && it.item.key.starts_with(w.prefix))
        {
            read.changes.push_back(it);
        }
    }
    const bool has_changes = !read.changes.empty();
    if (has_changes)
    {
        w.answer(read);
    }
    return has_changes;
}

void store::watch(process& p, waiter w, core::millis wait)
{
    ++reads;
    if (down || p.store_cut || busy)
    {
        const auto s = busy && !down ? kv_status::rejected : kv_status::unknown;
        // The caller notices only by its timeout, however short the wait.
        time_.after(
            std::max(wait, timeout), [w, s] { w.answer(with_status<ports::changes_read>(s)); });
        return;
    }
    if (answer_watch(w))
    {
        return;
    }
    const auto id = ++last_waiter_;
    waiters_.emplace(id, w);
    time_.after(wait,
        [this, id]
        {
            const auto found = waiters_.find(id);
            if (found != waiters_.end())
            {
                const auto waited = found->second;
                waiters_.erase(found);
                auto nothing =
                    with_status<ports::changes_read>(down ? kv_status::unknown : kv_status::ok);
                nothing.store_revision = revision_;
                waited.answer(nothing);
            }
        });
}

void store::expire(ports::lease_id id, std::uint64_t renewals)
{
    const auto it = leases_.find(id);
    if (it != leases_.end() && it->second.renewals == renewals)
    {
        if (down && pauses_leases_while_down)
        {
            time_.after(it->second.ttl, [this, id, renewals] { expire(id, renewals); });
            return;
        }
        end_lease(id);
    }
}

void store::end_lease(ports::lease_id id)
{
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, it] : items_)
    {
        if (it.lease == id)
        {
            keys.push_back(key);
        }
    }
    if (!keys.empty())
    {
        commit({{}, {}, keys});
    }
}

ports::metadata_store store::port(process& p)
{
    ports::metadata_store out;
    out.get = [this, &p](const std::string& key,
                  ports::read_freshness,
                  std::function<void(ports::item_read)> done)
    {
        const auto serve = [this, key]
        {
            ++reads;
            ports::item_read read;
            read.status = kv_status::ok;
            read.store_revision = revision_;
            if (const auto* const it = find(key))
            {
                read.item = *it;
            }
            return read;
        };
        call<ports::item_read>(p,
            serve,
            with_status<ports::item_read>(kv_status::unknown),
            with_status<ports::item_read>(kv_status::rejected),
            std::move(done));
    };
    out.range = [this, &p](const std::string& prefix,
                    const std::string& after,
                    std::function<void(ports::page_read)> done)
    {
        call<ports::page_read>(
            p,
            [this, prefix, after] { return range(prefix, after); },
            with_status<ports::page_read>(kv_status::unknown),
            with_status<ports::page_read>(kv_status::rejected),
            std::move(done));
    };
    out.watch = [this, &p](const std::string& prefix,
                    ports::revision after,
                    core::millis wait,
                    const std::function<void(ports::changes_read)>& done)
    {
        const auto answer = [this, &p, done](const ports::changes_read& read)
        {
            time_.after(wire_delay, [&p, read, done] { p.enter([=] { done(read); }); });
        };
        time_.after(
            wire_delay, [this, &p, w = waiter{prefix, after, answer}, wait] { watch(p, w, wait); });
    };
    out.commit = [this, &p](const ports::store_transaction& t,
                     const std::function<void(ports::commit_result)>& done)
    {
        commit_call(p, t, done);
    };
    out.grant_lease = [this, &p](core::millis ttl, std::function<void(ports::kv_lease)> done)
    {
        const auto serve = [this, ttl]
        {
            const auto id = ++last_lease_;
            leases_[id] = {ttl, 0};
            time_.after(ttl, [this, id] { expire(id, 0); });
            return lease_answer(kv_status::ok, id, ttl);
        };
        call<ports::kv_lease>(p,
            serve,
            lease_answer(kv_status::unknown, 0, {}),
            lease_answer(kv_status::rejected, 0, {}),
            std::move(done));
    };
    out.keep_alive = [this, &p](ports::lease_id id, std::function<void(ports::kv_lease)> done)
    {
        const auto serve = [this, id]
        {
            const auto it = leases_.find(id);
            if (it == leases_.end())
            {
                return lease_answer(kv_status::ok, id, {});
            }
            const auto n = ++it->second.renewals;
            time_.after(it->second.ttl, [this, id, n] { expire(id, n); });
            return lease_answer(kv_status::ok, id, it->second.ttl);
        };
        call<ports::kv_lease>(p,
            serve,
            lease_answer(kv_status::unknown, 0, {}),
            lease_answer(kv_status::rejected, 0, {}),
            std::move(done));
    };
    out.end_lease = [this, &p](ports::lease_id id, std::function<void(kv_status)> done)
    {
        struct answer
        {
            kv_status status = kv_status::ok;
        };
        const auto serve = [this, id]
        {
            end_lease(id);
            return answer{};
        };
        call<answer>(p,
            serve,
            {kv_status::unknown},
            {kv_status::rejected},
            [done = std::move(done)](answer it) { done(it.status); });
    };
    return out;
}

} // namespace camphorhitch::hosted_fakes
