/// \file
/// Removes from the store what no caller can ask for any more: states of jobs that ended long ago,
/// and cancels that came after their job's end.
#pragma once

#include "term.hpp"

#include <string>
#include <vector>

namespace camphorhitch::hosted
{

class tidier
{
public:
    explicit tidier(term& t);

    /// Begins; looks every driver_settings::cleanup_interval from then on.
    void start();

private:
    void look();
    void send(std::vector<coordinator::finished_job> jobs, std::vector<std::string> cancels);
    void take(const std::vector<coordinator::finished_job>& jobs,
        const std::vector<std::string>& cancels,
        const ports::commit_result& result);

    term& term_;
};

} // namespace camphorhitch::hosted
