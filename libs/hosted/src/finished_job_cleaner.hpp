/// \file
/// Removes records that no caller can ask for any more from the store: states of jobs that ended
/// longer ago than the retention time, and cancels that were stored after their job's end.
#pragma once

#include "term.hpp"

#include <string>
#include <vector>

namespace camphorhitch::hosted
{

class finished_job_cleaner
{
public:
    explicit finished_job_cleaner(term& t);

    /// Schedules the next removal, and each later one, at the interval in the driver's settings.
    void start();

private:
    void remove_expired();
    void send_removals(
        std::vector<coordinator::finished_job> jobs, std::vector<std::string> cancels);
    void handle_result(const std::vector<coordinator::finished_job>& jobs,
        const std::vector<std::string>& cancels,
        const ports::commit_result& result);

    term& term_;
};

} // namespace camphorhitch::hosted
