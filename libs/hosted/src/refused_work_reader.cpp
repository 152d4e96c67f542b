#include "refused_work_reader.hpp"

#include "hosted/keys.hpp"

#include <utility>

namespace camphorhitch::hosted
{

namespace
{

/// A record that has not changed for this long is removed: its node may have ended.
constexpr core::millis record_lifetime{60000};
constexpr core::millis removal_interval{10000};
/// Gathers the records of nodes, each of which writes at most once a second.
constexpr core::millis watch_delay{400};

} // namespace

refused_work_reader::refused_work_reader(
    term& t, std::function<void(const std::string& pool, double core_seconds)> on_refused)
    : term_(t), on_refused_(std::move(on_refused))
{
    follower_settings s;
    s.prefix = refused_prefix;
    s.watch_delay = watch_delay;
    follower_events e;
    e.on_all = [this](const std::vector<ports::stored_item>& all)
    {
        apply_all(all);
    };
    e.on_changes = [this](const std::vector<ports::stored_change>& changes)
    {
        apply_changes(changes);
    };
    follower_ = std::make_unique<prefix_follower>(t.ctx, std::move(s), std::move(e));
}

void refused_work_reader::start()
{
    follower_->start();
    tick();
}

void refused_work_reader::apply_all(const std::vector<ports::stored_item>& all)
{
    for (auto& [key, it] : entries_)
    {
        it.exists = false;
    }
    for (const auto& it : all)
    {
        apply(it);
    }
}

void refused_work_reader::apply_changes(const std::vector<ports::stored_change>& changes)
{
    for (const auto& it : changes)
    {
        if (!it.removed)
        {
            apply(it.item);
        }
        else if (const auto known = entries_.find(it.item.key); known != entries_.end())
        {
            known->second.exists = false;
        }
    }
}

void refused_work_reader::apply(const ports::stored_item& it)
{
    auto& e = entries_[it.key];
    e.exists = true;
    // All records are read again when the store's change log was truncated.
    if (e.modified == it.modified)
    {
        return;
    }
    e.modified = it.modified;
    e.changed_at = term_.now();
    const auto read = read_refused_work(it.value);
    if (!core::is_ok(read))
    {
        if (should_log(damaged_, it))
        {
            term_.log(ports::log_level::error,
                "record_damaged",
                {{"key", it.key},
                    {"revision", std::to_string(it.modified)},
                    {"reason", core::failure(read).message}});
        }
        return;
    }
    const auto& now = core::value(read);
    if (!e.counted || e.counted->start != now.start)
    {
        e.counted = now;
        return;
    }
    for (const auto& [pool, work] : refused_since(*e.counted, now))
    {
        e.counted->pools[pool] += work;
        term_.ctx.tel.count("camphorhitch_refused_core_seconds_total", {{"pool", pool}}, work);
        on_refused_(pool, work);
    }
}

void refused_work_reader::tick()
{
    term_.ctx.time.after(removal_interval, term_.guarded([this] { tick(); }));
    if (!term_.lead->holds_lease())
    {
        return;
    }
    for (const auto& [key, it] : entries_)
    {
        if (it.exists && term_.now() - it.changed_at >= record_lifetime)
        {
            remove(key, it.modified);
        }
    }
}

/// Removes the record unless its node has written it again.
void refused_work_reader::remove(const std::string& key, ports::revision modified)
{
    ports::store_transaction t;
    t.conditions = {{leader_key, term_.token}, {key, modified}};
    t.removals = {key};
    term_.ctx.store.commit(std::move(t),
        term_.guarded(
            [this](const ports::commit_result& result) { term_.lost_leadership(result); }));
}

} // namespace camphorhitch::hosted
