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

class runner_list
{
public:
    /// \param on_change called whenever the usable runners or their descriptions have changed
    runner_list(term& t, std::function<void()> on_change);
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

    /// \return the runners whose entries are readable and name a pool in force.
    std::vector<coordinator::host_listing> usable() const;

private:
    using listing = std::optional<coordinator::host_listing>;

    struct entry
    {
        ports::stored_item item;
        listing runner; ///< empty: the entry is not usable
    };

    void apply_all(std::vector<ports::stored_item> all);
    void apply_changes(std::vector<ports::stored_change> all);
    bool apply_change(ports::stored_change c);
    listing read(const ports::stored_item& it);
    void update_unusable_gauge() const;

    term& term_;
    std::function<void()> on_change_;
    std::map<std::string, entry> entries_; ///< by key
    std::set<std::string> pools_;
    damaged_record_log damaged_;
    std::unique_ptr<prefix_follower> follower_;
};

} // namespace camphorhitch::hosted
