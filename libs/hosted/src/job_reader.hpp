/// \file
/// Reads accepted jobs and cancels from the metadata store into the fleet.
#pragma once

#include "damaged_record_log.hpp"
#include "hosted/prefix_follower.hpp"
#include "term.hpp"

#include <map>
#include <set>

namespace camphorhitch::hosted
{

/// \param link_mbps speed of this node's link in Mbit/s; 0: not known
/// \return whether jobs are read in small parts, so that renewals of the lease pass in between.
bool reads_in_parts(double link_mbps);

class job_reader
{
public:
    explicit job_reader(term& t);

    /// Reads the stored progress and then all jobs, and follows the jobs from then on. \p done is
    /// called once all jobs have been added to the fleet.
    void start(std::function<void()> done);

    /// \return the store revision up to which accepted jobs have been added to the fleet; 0 before
    /// the jobs have been read.
    ports::revision intake_revision() const;

    /// \return when the store last answered a read or watch of accepted jobs; the start of the term
    /// before the first answer.
    core::mono_time last_job_answer_at() const;

    /// \return the number of pages of progress and of jobs read so far.
    int pages_read() const;

private:
    void read_states();
    void apply_states(ports::page_read page);
    void follow();
    bool detect_successor(const std::vector<ports::stored_item>& items);
    void apply_items(const std::vector<ports::stored_item>& items);
    void record_arrivals();
    void record_finished_jobs();
    void record_added_job(const std::string& id, std::int64_t accepted_unix_ms);
    void apply_item(const ports::stored_item& it, coordinator::task_events& out);
    std::optional<workflow::job> read_spec(const ports::stored_item& it, const std::string& id);
    void log_damaged_record(const ports::stored_item& it, const std::string& reason);

    term& term_;
    core::mono_time term_started_at_;
    /// Stored progress by job id; emptied once the jobs are read.
    std::map<std::string, ports::stored_item> states_;
    std::string last_state_key_; ///< last key of the pages of progress read so far
    int state_pages_ = 0;
    /// Prefixes under which progress is read one after the other; empty: under state_prefix.
    std::vector<std::string> state_parts_;
    std::size_t state_part_ = 0; ///< index of the one that is read at present
    /// Ids of jobs whose progress can't be read. They are left out in each later read of all jobs
    /// too, which comes without their states.
    std::set<std::string> unreadable_progress_;
    damaged_record_log damaged_records_;
    /// Jobs added to the fleet and not yet recorded as arrivals.
    std::vector<workflow::job> arrivals_;
    std::unique_ptr<prefix_follower> follower_;
    std::function<void()> done_;
};

} // namespace camphorhitch::hosted
