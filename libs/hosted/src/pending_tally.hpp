/// \file
/// The counts of a record, and what the store's history tells of jobs accepted since.
#pragma once

#include "pending_record.hpp"
#include "ports/metadata_store.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace camphorhitch::hosted
{

class pending_tally
{
public:
    /// Takes a record that was read for the base. Jobs that it has in its counts leave the tally;
    /// what is known beyond it stays.
    void set_base(pending_record r);

    /// Takes in what changed among the jobs after some revision up to through(), and up to \p to.
    void add_changes(const std::vector<ports::stored_change>& changes, ports::revision to);

    /// \return the store revision up to which accepted jobs are in the tally; 0: there is no base.
    ports::revision through() const;

    /// \return as through, of the record alone.
    ports::revision base_through() const;

    /// \return jobs of the queue that waited by the record.
    int in_record(const std::string& queue) const;

    /// \return jobs of the queue accepted since the record was counted and neither cancelled nor
    /// ended. Which of them have begun is not known.
    int added(const std::string& queue) const;

    /// \return jobs that were accepted since, of all queues.
    std::size_t size() const;

private:
    struct accepted_job
    {
        std::string queue;
        ports::revision revision = 0;
    };

    pending_record base_;
    ports::revision through_ = 0;
    std::unordered_map<std::string, accepted_job> added_; ///< by id
};

} // namespace camphorhitch::hosted
