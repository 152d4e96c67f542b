/// \file
/// Brings accepted jobs and cancels from the metadata store into the fleet.
#pragma once

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

private:
    void read_states(const std::string& after);
    void take_states(ports::page_read page);
    void follow();
    bool ends_term(const std::vector<ports::stored_item>& items);
    void take_items(const std::vector<ports::stored_item>& items);
    void note_arrivals();
    void note_finished();
    void note_read(const std::string& id, std::int64_t accepted_unix_ms);
    void take_item(const ports::stored_item& it, coordinator::task_events& out);

    term& term_;
    std::map<std::string, ports::stored_item> states_; ///< by job, until the jobs are read
    std::vector<workflow::job> arrivals_;              ///< taken in and not noted yet
    std::unique_ptr<prefix_follower> follower_;
    std::function<void()> done_;
};

} // namespace camphorhitch::hosted
