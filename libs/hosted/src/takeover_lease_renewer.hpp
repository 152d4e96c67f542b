/// \file
/// Keeps the leases of runners alive while a new coordinator still reads the jobs.
///
/// Reading thousands of jobs takes up to seconds, and what the former coordinator granted ends
/// within two of them: tasks on runners that are well would end with it. What runs there need not
/// be known for a lease to go on, so the first calls only renew. Nothing is taken from their
/// answers but the runner's clock, and no end is acknowledged; the polls that follow see it all.
#pragma once

#include "term.hpp"

#include <set>
#include <string>

namespace camphorhitch::hosted
{

class lease_bridge
{
public:
    explicit lease_bridge(term& t);

    /// Renews the leases of all runners in the record until stop().
    void start();

    /// The jobs are read: polls renew from now on.
    void stop();

private:
    void renew_all();
    void renew(const std::string& host);
    void take(const std::string& host, const ports::poll_answer& a);
    bool is_silent(const std::string& host) const;

    term& term_;
    std::set<std::string> under_way_;
    bool stopped_ = false;
};

} // namespace camphorhitch::hosted
