/// \file
/// Follows the platform's list of runners.
///
/// The list is watched rather than read repeatedly: a runner that joins a pool that lacks hosts is
/// known at once, and unchanged entries cost no reads. Runners rewrite their entries about every
/// second without a change; such a write is not reported.
#pragma once

#include "damaged_record_log.hpp"
#include "hosted/prefix_follower.hpp"
#include "term.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorhitch::hosted
{

using optional_listing = std::optional<coordinator::host_listing>;

/// Change of one entry; empty: the entry is missing or not usable.
struct listing_change
{
    optional_listing before;
    optional_listing after;
};

struct runner_list_events
{
    std::function<void()> on_all; ///< all entries were read again
    std::function<void(const std::vector<listing_change>&)> on_changes;
};

class runner_list
{
public:
    runner_list(term& t, runner_list_events events);
    runner_list(const runner_list&) = delete;
    runner_list& operator=(const runner_list&) = delete;

    /// Sets the gauge of unusable entries to 0: left as it is, it would keep an alert raised for a
    /// list that this node no longer follows.
    ~runner_list();

    void start();

    /// Sets the pools of the configuration in force. An entry of a runner in any other pool is not
    /// usable. While no pool is set, the pools are not known and all entries are accepted.
    void set_pools(const std::vector<pool_settings>& pools);

    bool has_entries() const
    {
        return !entries_.empty();
    }

    /// Calls \p fn for each runner whose entry is readable and names a pool in force.
    template <class Fn>
    void for_each_usable(Fn fn) const
    {
        for (const auto& [key, it] : entries_)
        {
            if (it.runner)
            {
                fn(*it.runner);
            }
        }
    }

private:
    struct entry
    {
        ports::stored_item item;
        optional_listing runner; ///< empty: the entry is not usable
    };

    void apply_all(std::vector<ports::stored_item> all);
    void apply_changes(std::vector<ports::stored_change> all);
    listing_change apply_change(ports::stored_change c);
    optional_listing read(const ports::stored_item& it);
    void update_unusable_gauge() const;

    term& term_;
    runner_list_events events_;
    std::map<std::string, entry> entries_; ///< by key
    std::set<std::string> pools_;
    damaged_record_log damaged_;
    std::unique_ptr<prefix_follower> follower_;
};

} // namespace camphorhitch::hosted
