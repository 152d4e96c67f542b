#include "runner_list.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

namespace
{

void tell_unusable_entries(const ports::telemetry& tel, std::int64_t entries)
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
    tell_unusable_entries(term_.ctx.tel, 0);
}

void runner_list::start()
{
    follower_settings s;
    s.prefix = term_.spelling->runner_prefix;
    s.watch_delay = term_.settings.hosts_pause;
    s.max_wait = term_.settings.hosts_wait;
    follower_events events;
    events.on_all = [this](std::vector<ports::stored_item> all)
    {
        take_all(std::move(all));
    };
    events.on_changes = [this](std::vector<ports::stored_change> all)
    {
        take_changes(std::move(all));
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
    tell_unusable();
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

void runner_list::take_all(std::vector<ports::stored_item> all)
{
    entries_.clear();
    for (auto& it : all)
    {
        auto runner = read(it);
        auto key = it.key;
        entries_.insert_or_assign(std::move(key), entry{std::move(it), std::move(runner)});
    }
    tell_unusable();
    on_change_();
}

void runner_list::take_changes(std::vector<ports::stored_change> all)
{
    bool changed = false;
    for (auto& it : all)
    {
        changed = take_change(std::move(it)) || changed;
    }
    tell_unusable();
    if (changed)
    {
        on_change_();
    }
}

/// \return whether a runner comes, goes, or is described otherwise.
bool runner_list::take_change(ports::stored_change c)
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

/// What is left out here is not listed: a runner that is known keeps its runs and its leases, which
/// only its own answers or their lapse end, and gets no new work.
runner_list::listing runner_list::read(const ports::stored_item& it)
{
    auto runner =
        term_.spelling->read_runner(it.key.substr(term_.spelling->runner_prefix.size()), it.value);
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

void runner_list::tell_unusable() const
{
    tell_unusable_entries(term_.ctx.tel,
        std::count_if(entries_.begin(),
            entries_.end(),
            [](const auto& it) { return !it.second.runner.has_value(); }));
}

} // namespace camphorhitch::hosted
