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

runner_list::runner_list(term& t, runner_list_events events) : term_(t), events_(std::move(events))
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
    events_.on_all();
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
    events_.on_all();
}

void runner_list::apply_changes(std::vector<ports::stored_change> all)
{
    std::vector<listing_change> changed;
    for (auto& it : all)
    {
        auto change = apply_change(std::move(it));
        if (change.before != change.after)
        {
            changed.push_back(std::move(change));
        }
    }
    update_unusable_gauge();
    if (!changed.empty())
    {
        events_.on_changes(changed);
    }
}

listing_change runner_list::apply_change(ports::stored_change c)
{
    const auto found = entries_.find(c.item.key);
    listing_change out;
    out.before = found == entries_.end() ? optional_listing{} : std::move(found->second.runner);
    if (c.removed)
    {
        entries_.erase(c.item.key);
        return out;
    }
    out.after = read(c.item);
    auto key = c.item.key;
    entries_.insert_or_assign(std::move(key), entry{std::move(c.item), out.after});
    return out;
}

/// An entry that is not usable counts as not listed. A runner that is already known then keeps its
/// runs and its leases, which end only by its own answers or by expiry, and gets no new work.
optional_listing runner_list::read(const ports::stored_item& it)
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
