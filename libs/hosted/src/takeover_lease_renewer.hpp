/// \file
/// Renews the leases of inherited runners while a new coordinator still reads the jobs.
///
/// Reading thousands of jobs takes up to several seconds, and the leases that the previous
/// coordinator granted end within two seconds: tasks on healthy runners would end with them. A
/// lease can be renewed without knowledge of what the runner runs, so these calls only renew. Only
/// the runner's clock is taken from their answers, and no run end is acknowledged; the polls that
/// follow report all runs and ends.
#pragma once

#include "term.hpp"

#include <set>
#include <string>

namespace camphorhitch::hosted
{

class takeover_lease_renewer
{
public:
    explicit takeover_lease_renewer(term& t);

    /// Renews the leases of all runners in the previous coordinator's record until stop().
    void start();

    /// Stops renewing. To be called once the jobs are read: polls renew the leases from then on.
    void stop();

private:
    void renew_all();
    void renew(const std::string& host);
    void handle_answer(const std::string& host, const ports::runner_answer& answer);
    bool is_unresponsive(const std::string& host) const;

    term& term_;
    std::set<std::string> in_flight_; ///< hosts with an unanswered call
    bool stopped_ = false;
};

} // namespace camphorhitch::hosted
