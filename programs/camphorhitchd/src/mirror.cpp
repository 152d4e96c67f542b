#include "mirror.hpp"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <set>

namespace camphorhitch::daemon
{

struct mirror::parts : std::enable_shared_from_this<mirror::parts>
{
    mirror_settings settings;
    const ports::key_value& store;
    const ports::scheduler& scheduler;
    const ports::telemetry& telemetry;
    mirror_events events;
    boost::random::mt19937_64 random;

    std::map<std::string, ports::kv_entry> entries;
    std::map<std::string, ports::revision> deleted; ///< revision of the last known deletion, by key
    ports::revision read_revision = 0;
    bool loaded = false;
    bool reading = false;
    bool read_again_requested = false;
    ports::watch_id watch = 0;
    core::mono_time watch_started_at{};
    ports::timer_id timer = 0;
    core::millis retry_delay{0};

    parts(mirror_settings s,
        const ports::key_value& kv,
        const ports::scheduler& sch,
        const ports::telemetry& tel,
        mirror_events ev)
        : settings(std::move(s)), store(kv), scheduler(sch), telemetry(tel), events(std::move(ev)),
          random(settings.seed), retry_delay(settings.min_retry_delay)
    {
    }

    core::millis jittered(core::millis max_delay)
    {
        boost::random::uniform_int_distribution<std::int64_t> pick(
            max_delay.count() / 2, max_delay.count());
        return core::millis{pick(random)};
    }

    void schedule_read(core::millis delay)
    {
        scheduler.cancel(timer);
        timer = scheduler.after(delay,
            [weak = weak_from_this()]
            {
                if (auto self = weak.lock())
                {
                    self->timer = 0;
                    self->read();
                }
            });
    }

    void read()
    {
        if (reading)
        {
            read_again_requested = true;
            return;
        }
        reading = true;
        const auto asked_at = scheduler.now();
        store.range(settings.prefix,
            [weak = weak_from_this(), asked_at](const ports::kv_read& reply)
            {
                if (auto self = weak.lock())
                {
                    self->reading = false;
                    self->on_reply(reply, asked_at);
                }
            });
    }

    void on_reply(const ports::kv_read& reply, core::mono_time asked_at)
    {
        if (reply.status != ports::kv_status::ok)
        {
            telemetry.count("camphorhitch_mirror_read_failures_total", {}, 1);
            schedule_read(jittered(retry_delay));
            retry_delay = std::min(retry_delay * 2, settings.max_retry_delay);
            return;
        }
        retry_delay = settings.min_retry_delay;
        apply_read(reply);
        loaded = true;
        if (watch == 0)
        {
            start_watch(reply.store_revision + 1);
        }
        events.on_read(asked_at);
        schedule_read(
            read_again_requested ? settings.min_retry_delay : jittered(settings.reread_interval));
        read_again_requested = false;
    }

    /// A read that is older than the mirror (a stale replica answered) must not bring back an old
    /// document or hide a new one, so each entry is compared by its own revision.
    void apply_read(const ports::kv_read& reply)
    {
        std::set<std::string> seen;
        for (const auto& it : reply.entries)
        {
            seen.insert(it.key);
            apply_entry(it);
        }
        std::vector<std::string> deleted_keys;
        for (const auto& [key, entry] : entries)
        {
            if (seen.count(key) == 0 && entry.modified <= reply.store_revision)
            {
                deleted_keys.push_back(key);
            }
        }
        for (const auto& key : deleted_keys)
        {
            apply_deletion(key, reply.store_revision);
        }
        read_revision = std::max(read_revision, reply.store_revision);
    }

    void apply_entry(const ports::kv_entry& entry)
    {
        const auto deletion = deleted.find(entry.key);
        if (deletion != deleted.end() && entry.modified <= deletion->second)
        {
            return;
        }
        auto& known = entries[entry.key];
        if (entry.modified > known.modified)
        {
            known = entry;
            deleted.erase(entry.key);
            events.on_change(known);
        }
    }

    void apply_deletion(const std::string& key, ports::revision at)
    {
        const auto it = entries.find(key);
        if (it == entries.end() || it->second.modified > at)
        {
            return;
        }
        ports::kv_entry gone;
        gone.key = key;
        entries.erase(it);
        deleted[key] = at;
        events.on_change(gone);
    }

    void start_watch(ports::revision from)
    {
        watch_started_at = scheduler.now();
        watch = store.watch(
            settings.prefix,
            from,
            [weak = weak_from_this()](const std::vector<ports::kv_event>& all)
            {
                if (auto self = weak.lock())
                {
                    self->on_events(all);
                }
            },
            [weak = weak_from_this()]
            {
                if (auto self = weak.lock())
                {
                    self->on_watch_end();
                }
            });
    }

    /// A watch that lasted for min_watch_time has most likely ended because no event arrived. The
    /// next watch continues from the last revision, which saves a read of all documents. After a
    /// watch that ended earlier, the mirror reads all documents again, because the service may not
    /// be able to continue from that revision.
    void on_watch_end()
    {
        watch = 0;
        telemetry.count("camphorhitch_mirror_watch_ends_total", {}, 1);
        if (scheduler.now() - watch_started_at < settings.min_watch_time)
        {
            schedule_read(jittered(retry_delay));
            return;
        }
        start_watch(read_revision + 1);
    }

    void on_events(const std::vector<ports::kv_event>& all)
    {
        for (const auto& it : all)
        {
            read_revision = std::max(read_revision, it.entry.modified);
            if (it.deleted)
            {
                apply_deletion(it.entry.key, it.entry.modified);
            }
            else
            {
                apply_entry(it.entry);
            }
        }
    }
};

mirror::mirror(mirror_settings settings,
    const ports::key_value& store,
    const ports::scheduler& scheduler,
    const ports::telemetry& telemetry,
    mirror_events events)
    : parts_(std::make_shared<parts>(
          std::move(settings), store, scheduler, telemetry, std::move(events)))
{
}

mirror::~mirror()
{
    parts_->scheduler.cancel(parts_->timer);
    if (parts_->watch != 0)
    {
        parts_->store.cancel_watch(parts_->watch);
    }
}

void mirror::start()
{
    parts_->read();
}

bool mirror::loaded() const
{
    return parts_->loaded;
}

ports::revision mirror::read_revision() const
{
    return parts_->read_revision;
}

const ports::kv_entry* mirror::find(const std::string& key) const
{
    const auto it = parts_->entries.find(key);
    return it == parts_->entries.end() ? nullptr : &it->second;
}

std::vector<const ports::kv_entry*> mirror::entries_with_prefix(const std::string& prefix) const
{
    std::vector<const ports::kv_entry*> found;
    for (auto it = parts_->entries.lower_bound(prefix); it != parts_->entries.end(); ++it)
    {
        if (it->first.compare(0, prefix.size(), prefix) != 0)
        {
            break;
        }
        found.push_back(&it->second);
    }
    return found;
}

void mirror::apply_entry(const ports::kv_entry& entry)
{
    if (entry.modified > 0)
    {
        parts_->apply_entry(entry);
    }
}

void mirror::refresh()
{
    if (parts_->reading)
    {
        parts_->read_again_requested = true;
        return;
    }
    parts_->schedule_read(parts_->jittered(core::millis{50}));
}

} // namespace camphorhitch::daemon
