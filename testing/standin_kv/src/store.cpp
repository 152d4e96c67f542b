#include "store.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::standin_kv
{

namespace
{

const std::string from_key_on(1, '\0');

bool is_current(const store& s, std::size_t index)
{
    return s.versions.at(s.history[index].now.key).back() == index;
}

/// Removes the oldest values from the history, except present values of keys, to limit the memory.
void trim_history(store& s)
{
    while (s.kept_bytes > s.max_kept_bytes && s.first_kept + 1 < s.history.size())
    {
        auto& oldest = s.history[s.first_kept];
        if (!is_current(s, s.first_kept))
        {
            s.kept_bytes -= oldest.now.value.size();
            oldest.now.value = std::string();
            oldest.value_dropped = true;
        }
        s.compacted = oldest.now.mod_revision;
        ++s.first_kept;
    }
}

void append(store& s, change c)
{
    s.kept_bytes += c.now.value.size();
    s.versions[c.now.key].push_back(s.history.size());
    s.history.push_back(std::move(c));
    trim_history(s);
}

void detach(store& s, const record& r)
{
    const auto it = s.leases.find(r.lease);
    if (it != s.leases.end())
    {
        it->second.keys.erase(r.key);
    }
}

void put(store& s, const transaction& t, const std::optional<record>& old, std::int64_t at_ms)
{
    if (old)
    {
        detach(s, *old);
    }
    ++s.revision;
    record r;
    r.key = t.key;
    r.value = t.value;
    r.create_revision = old ? old->create_revision : s.revision;
    r.mod_revision = s.revision;
    r.version = old ? old->version + 1 : 1;
    r.lease = t.lease;
    if (t.lease != 0)
    {
        s.leases.at(t.lease).keys.insert(t.key);
    }
    append(s, {false, std::move(r), at_ms, false});
}

/// Deletes keys. Keys that are deleted together get the same revision, as in etcd.
void remove(store& s, const std::vector<record>& removed, std::int64_t at_ms)
{
    if (removed.empty())
    {
        return;
    }
    ++s.revision;
    for (const auto& it : removed)
    {
        detach(s, it);
        record r;
        r.key = it.key;
        r.mod_revision = s.revision;
        append(s, {true, std::move(r), at_ms, false});
    }
}

/// \return the newest change among \p indices up to \p at, or nullptr.
const change* newest(const store& s, const std::vector<std::size_t>& indices, std::int64_t at)
{
    const auto after = [&s](std::int64_t revision, std::size_t index)
    {
        return revision < s.history[index].now.mod_revision;
    };
    const auto it = std::upper_bound(indices.begin(), indices.end(), at, after);
    return it == indices.begin() ? nullptr : &s.history[*std::prev(it)];
}

} // namespace

bool contains(const key_range& range, std::string_view key)
{
    if (range.to.empty())
    {
        return key == range.from;
    }
    return key >= range.from && (range.to == from_key_on || key < range.to);
}

std::vector<record> read(const store& s, const key_range& range, std::int64_t at, std::size_t limit)
{
    const auto revision = at == 0 ? s.revision : at;
    std::vector<record> all;
    for (auto it = s.versions.lower_bound(range.from); it != s.versions.end(); ++it)
    {
        if (!contains(range, it->first) || (limit != 0 && all.size() == limit))
        {
            break;
        }
        const auto* const found = newest(s, it->second, revision);
        if (found != nullptr && !found->deleted)
        {
            all.push_back(found->now);
        }
    }
    return all;
}

std::optional<record> read_one(const store& s, const std::string& key)
{
    auto found = read(s, {key, ""});
    return found.empty() ? std::nullopt : std::optional<record>(std::move(found.front()));
}

verdict apply(store& s, const transaction& t, std::int64_t at_ms)
{
    const auto old = read_one(s, t.key);
    if (t.expected != (old ? old->mod_revision : 0))
    {
        return verdict::conflict;
    }
    if (t.does == effect::none)
    {
        return verdict::done;
    }
    if (t.does == effect::remove)
    {
        remove(s, old ? std::vector<record>{*old} : std::vector<record>{}, at_ms);
        return verdict::done;
    }
    if (t.lease != 0 && !s.leases.contains(t.lease))
    {
        return verdict::no_lease;
    }
    put(s, t, old, at_ms);
    return verdict::done;
}

std::int64_t grant(store& s, core::millis ttl, core::mono_time now)
{
    const auto id = ++s.last_lease;
    s.leases[id] = {ttl, now + ttl, {}};
    return id;
}

std::optional<core::millis> keep_alive(store& s, std::int64_t id, core::mono_time now)
{
    const auto it = s.leases.find(id);
    if (it == s.leases.end())
    {
        return std::nullopt;
    }
    it->second.expires = now + it->second.ttl;
    return it->second.ttl;
}

bool revoke(store& s, std::int64_t id, std::int64_t at_ms)
{
    const auto it = s.leases.find(id);
    if (it == s.leases.end())
    {
        return false;
    }
    const auto keys = std::move(it->second.keys);
    s.leases.erase(it);
    std::vector<record> removed;
    for (const auto& key : keys)
    {
        removed.push_back(read_one(s, key).value());
    }
    remove(s, removed, at_ms);
    return true;
}

void expire(store& s, core::mono_time now, std::int64_t at_ms)
{
    std::vector<std::int64_t> expired_leases;
    for (const auto& [id, it] : s.leases)
    {
        if (it.expires <= now)
        {
            expired_leases.push_back(id);
        }
    }
    for (const auto id : expired_leases)
    {
        revoke(s, id, at_ms);
    }
}

void extend_all(store& s, core::mono_time now)
{
    for (auto& [id, it] : s.leases)
    {
        it.expires = now + it.ttl;
    }
}

std::size_t position_of(const store& s, std::int64_t revision)
{
    const auto before = [](const change& c, std::int64_t r)
    {
        return c.now.mod_revision < r;
    };
    const auto it = std::lower_bound(s.history.begin(), s.history.end(), revision, before);
    return static_cast<std::size_t>(it - s.history.begin());
}

} // namespace camphorhitch::standin_kv
