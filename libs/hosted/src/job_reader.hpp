/// \file
/// Brings accepted jobs and cancels from the metadata store into the fleet.
#pragma once

#include "damage_notes.hpp"
#include "hosted/prefix_follower.hpp"
#include "term.hpp"

#include <map>

namespace camphorhitch::hosted
{

class job_reader
{
public:
    explicit job_reader(term& t);

    /// Reads the stored progress, then all jobs, then follows. \p done is called once all are in.
    void start(std::function<void()> done);

    /// \return the store revision up to which accepted jobs were taken in; 0: not read yet.
    ports::revision read_through() const;

    /// \return when the store last answered about accepted jobs; the term's begin before it did.
    core::mono_time last_heard() const;

    /// \return the pages of progress and of jobs that were read.
    int pages_read() const;

private:
    void read_states();
    void take_states(ports::page_read page);
    void follow();
    bool ends_term(const std::vector<ports::stored_item>& items);
    void take_items(const std::vector<ports::stored_item>& items);
    void note_arrivals();
    void note_finished();
    void note_read(const std::string& id, std::int64_t accepted_unix_ms);
    void take_item(const ports::stored_item& it, coordinator::task_events& out);
    std::optional<workflow::job> read_spec(const ports::stored_item& it, const std::string& id);
    void tell_damage(const ports::stored_item& it, const std::string& reason);

    term& term_;
    core::mono_time began_;
    std::map<std::string, ports::stored_item> states_; ///< by job, until the jobs are read
    std::string states_after_; ///< last key of the pages of progress that were read
    int state_pages_ = 0;
    damage_notes damaged_;
    std::vector<workflow::job> arrivals_; ///< taken in and not noted yet
    std::unique_ptr<prefix_follower> follower_;
    std::function<void()> done_;
};

} // namespace camphorhitch::hosted
