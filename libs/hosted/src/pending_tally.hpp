/// \file
/// The counts of a pending record, combined with the jobs accepted since according to the store's
/// change log.
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
    /// Replaces the base record. Jobs that are included in its counts are removed from the added
    /// jobs; jobs accepted after it stay.
    void set_base(pending_record r);

    /// Applies the changes of jobs between a revision of at most through_revision() and revision \p
    /// to.
    void add_changes(const std::vector<ports::stored_change>& changes, ports::revision to);

    /// \return the store revision up to which accepted jobs are included; 0: there is no base
    /// record.
    ports::revision through_revision() const;

    /// \return the store revision up to which accepted jobs are included in the base record.
    ports::revision base_through_revision() const;

    /// \return the number of waiting jobs of the queue according to the base record.
    int recorded_count(const std::string& queue) const;

    /// \return the number of jobs of the queue that were accepted after the base record was counted
    /// and neither cancelled nor ended. Some of them may have started.
    int added_count(const std::string& queue) const;

    /// \return the number of jobs of all queues accepted after the base record was counted.
    std::size_t size() const;

private:
    struct accepted_job
    {
        std::string queue;
        ports::revision revision = 0;
    };

    pending_record base_;
    ports::revision through_revision_ = 0;
    std::unordered_map<std::string, accepted_job> added_jobs_; ///< accepted jobs by id
};

} // namespace camphorhitch::hosted
