/// \file
/// Stores the progress of jobs, and records which run ends may be acknowledged to their runners.
#pragma once

#include "term.hpp"

#include <map>
#include <string>
#include <vector>

namespace camphorhitch::hosted
{

class progress_writer
{
public:
    explicit progress_writer(term& t);

    /// Schedules a write of the changed jobs.
    void request();

    /// Calls request() if there is progress to store or a run end to be recorded as stored.
    void request_if_due();

private:
    struct batch
    {
        std::vector<std::string> jobs;
        ports::store_transaction change;

        std::size_t rows() const
        {
            return change.conditions.size() + change.puts.size() + change.removals.size();
        }
    };

    void start_writes();
    void add_job(const std::string& id, batch& to);
    void send_batch(batch b);
    void handle_result(const batch& b, const ports::commit_result& result);
    void apply_stored(coordinator::job_entry& j, ports::revision at);
    void handle_conflict(const batch& b, const ports::commit_result& result);
    void finish_batch(bool stored, const std::vector<std::string>& jobs);
    void finish_writes();

    term& term_;
    bool requested_ = false;
    std::size_t batches_in_flight_ = 0;
    bool all_stored_ = true;
    /// By host: last run end applied before the current writes started.
    std::map<std::string, std::int64_t> covered_ends_;
};

} // namespace camphorhitch::hosted
