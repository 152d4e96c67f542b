#include "runner_list.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

namespace
{

void set_unusable_gauge(const ports::telemetry& tel, std::int64_t entries)
{
    tel.gauge("camphorhitch_runner_entries_unusable", {}, static_cast<double>(entries));
}

} // namespace

runner_list::runner_list(term& t, std::function<void()> on_change)
    : term_(t), on_change_(std::move(on_change))
{
}

runner_list::~runner_list()
{
    set_unusable_gauge(term_.ctx.tel, 0);
}

void runner_list::start()
{
    follower_settings s;
    s.prefix = term_.text_formats->runner_prefix;
    s.watch_delay = term_.settings.runner_list_interval;
    s.max_wait = term_.settings.runner_list_max_wait;
    follower_events events;
    events.on_all = [this](std::vector<ports::stored_item> all)
    {
        apply_all(std::move(all));
    };
    events.on_changes = [this](std::vector<ports::stored_change> all)
    {
        apply_changes(std::move(all));
    };
    follower_ = std::make_unique<prefix_follower>(term_.ctx, s, std::move(events));
    follower_->start();
}

void runner_list::set_pools(const std::vector<pool_settings>& pools)
{
    pools_.clear();
    for (const auto& it : pools)
    {
        pools_.insert(it.name);
    }
    if (entries_.empty())
    {
        return;
    }
    for (auto& [key, it] : entries_)
    {
        it.runner = read(it.item);
    }
    update_unusable_gauge();
    on_change_();
}

std::vector<coordinator::host_listing> runner_list::usable() const
{
    std::vector<coordinator::host_listing> out;
    for (const auto& [key, it] : entries_)
    {
        if (it.runner)
        {
            out.push_back(*it.runner);
        }
    }
    return out;
}

void runner_list::apply_all(std::vector<ports::stored_item> all)
{
    entries_.clear();
    for (auto& it : all)
    {
        auto runner = read(it);
        auto key = it.key;
        entries_.insert_or_assign(std::move(key), entry{std::move(it), std::move(runner)});
    }
    update_unusable_gauge();
    on_change_();
}

void runner_list::apply_changes(std::vector<ports::stored_change> all)
{
    bool changed = false;
    for (auto& it : all)
    {
        changed = apply_change(std::move(it)) || changed;
    }
    update_unusable_gauge();
    if (changed)
    {
        on_change_();
    }
}

/// \return whether a usable runner was added or removed, or its description changed.
bool runner_list::apply_change(ports::stored_change c)
{
    const auto found = entries_.find(c.item.key);
    auto before = found == entries_.end() ? listing{} : std::move(found->second.runner);
    if (c.removed)
    {
        entries_.erase(c.item.key);
        return before.has_value();
    }
    auto runner = read(c.item);
    const bool changed = runner != before;
    auto key = c.item.key;
    entries_.insert_or_assign(std::move(key), entry{std::move(c.item), std::move(runner)});
    return changed;
}

/// An entry that is not usable counts as not listed. A runner that is already known then keeps its
/// runs and its leases, which end only by its own answers or by expiry, and gets no new work.
runner_list::listing runner_list::read(const ports::stored_item& it)
{
    auto runner = term_.text_formats->read_runner(
        it.key.substr(term_.text_formats->runner_prefix.size()), it.value);
    if (core::is_ok(runner) && !pools_.empty() && !pools_.contains(core::value(runner).pool))
    {
        runner = core::error{
            core::error_code::invalid, "no pool " + core::value(runner).pool + " in force"};
    }
    if (core::is_ok(runner))
    {
        return std::move(core::value(runner));
    }
    if (should_log(damaged_, it))
    {
        term_.log(ports::log_level::error,
            "runner_entry_damaged",
            {{"key", it.key},
                {"revision", std::to_string(it.modified)},
                {"reason", core::failure(runner).message}});
    }
    return {};
}

void runner_list::update_unusable_gauge() const
{
    set_unusable_gauge(term_.ctx.tel,
        std::count_if(entries_.begin(),
            entries_.end(),
            [](const auto& it) { return !it.second.runner.has_value(); }));
}

} // namespace camphorhitch::hosted
