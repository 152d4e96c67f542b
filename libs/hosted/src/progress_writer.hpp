/// \file
/// Stores the progress of jobs, and tells which ends may be acknowledged since.
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

    /// Writes soon what has changed.
    void request();

    /// As request(), when there is anything to store or any end to be counted as stored.
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

    void begin();
    void add_job(const std::string& id, batch& to);
    void send(batch b);
    void take(const batch& b, const ports::commit_result& result);
    void take_stored(coordinator::job_entry& j, ports::revision at);
    void take_conflict(const batch& b, const ports::commit_result& result);
    void batch_over(bool stored, const std::vector<std::string>& jobs);
    void end();

    term& term_;
    bool requested_ = false;
    std::size_t batches_out_ = 0;
    bool all_stored_ = true;
    std::map<std::string, std::int64_t> ends_; ///< by host: taken in before the writes began
};

} // namespace camphorhitch::hosted
