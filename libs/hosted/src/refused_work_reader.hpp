/// \file
/// Reads the work that all nodes refuse, as the coordinator, and removes the records of nodes that
/// do not update them any more.
#pragma once

#include "damaged_record_log.hpp"
#include "hosted/prefix_follower.hpp"
#include "refused_work.hpp"
#include "term.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace camphorhitch::hosted
{

class refused_work_reader
{
public:
    /// \param on_refused receives the work of a pool, in core-seconds, that was refused since the
    /// previous record of the same node. The first record of a start that is read in a term counts
    /// nothing: a previous coordinator may have counted it.
    refused_work_reader(
        term& t, std::function<void(const std::string& pool, double core_seconds)> on_refused);

    void start();

private:
    struct entry
    {
        std::optional<refused_work> counted; ///< nothing: no record could be read yet
        core::mono_time changed_at;          ///< when its newest revision was read
        ports::revision modified = 0;
        bool exists = false;
    };

    void apply_all(const std::vector<ports::stored_item>& all);
    void apply_changes(const std::vector<ports::stored_change>& changes);
    void apply(const ports::stored_item& it);
    void tick();
    void remove(const std::string& key, ports::revision modified);

    term& term_;
    std::function<void(const std::string& pool, double core_seconds)> on_refused_;
    std::unique_ptr<prefix_follower> follower_;
    /// By key. An entry outlives its key: a node that refuses again continues its sums.
    std::map<std::string, entry> entries_;
    damaged_record_log damaged_;
};

} // namespace camphorhitch::hosted
