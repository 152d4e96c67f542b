/// \file
/// Keeps up with the runners that the platform lists.
///
/// A watch, not a repeated reading: a runner that joins a pool that lacks hosts is known at once,
/// and what has not changed costs nothing to read. Runners write their entries again every second
/// or so with nothing new in them; such a write is told to nobody.
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
    /// \param on_change the usable runners are others than before
    runner_list(term& t, std::function<void()> on_change);
    runner_list(const runner_list&) = delete;
    runner_list& operator=(const runner_list&) = delete;

    /// Sets the measure of unusable entries to 0: left standing, it would hold an alert for a list
    /// that this node follows no more.
    ~runner_list();

    void start();

    /// The pools of the configuration in force; an entry of another names no runner to use. None:
    /// not known yet, all are taken.
    void set_pools(const std::vector<pool_settings>& pools);

    bool has_entries() const
    {
        return !entries_.empty();
    }

    /// \return the runners that entries name which can be read.
    std::vector<coordinator::host_listing> usable() const;

private:
    using listing = std::optional<coordinator::host_listing>;

    struct entry
    {
        ports::stored_item item;
        listing runner; ///< nothing: the entry can't be used
    };

    void take_all(std::vector<ports::stored_item> all);
    void take_changes(std::vector<ports::stored_change> all);
    bool take_change(ports::stored_change c);
    listing read(const ports::stored_item& it);
    void tell_unusable() const;

    term& term_;
    std::function<void()> on_change_;
    std::map<std::string, entry> entries_; ///< by key
    std::set<std::string> pools_;
    damaged_record_log damaged_;
    std::unique_ptr<prefix_follower> follower_;
};

} // namespace camphorhitch::hosted
