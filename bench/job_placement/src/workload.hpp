/// \file
/// Jobs as the two users describe them: declared sizes that are off, by kind and by job.
#pragma once

#include "job_fakes/member.hpp"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorhitch::bench
{

/// How real sizes differ from declared ones.
enum class error_model
{
    none,
    by_job, ///< each job's real sizes are 0.3 to 3 times declared, on their own
    by_kind ///< mostly a factor of the team's kind of job, 0.3 to 3 times in all
};

struct workload_settings
{
    error_model errors = error_model::none;
    double shortest_s = 30;
    double longest_s = 600;
    int kinds = 12;
    bool fixed_class = false; ///< all jobs are of class normal
};

/// Makes jobs and knows what they really take.
class workload
{
public:
    workload(std::uint64_t seed, const workload_settings& how);

    jobs::submission next();

    /// What the task of a job that next() made really takes.
    job_fakes::real_task real_of(const std::string& job) const;

    /// Seconds between arrivals at \p rate a second.
    double next_gap_s(double rate);

    double uniform(double low, double high);

private:
    double log_uniform(double low, double high);

    boost::random::mt19937_64 random_;
    workload_settings how_;
    std::vector<double> kind_factors_;
    std::map<std::string, job_fakes::real_task> real_;
    int made_ = 0;
};

/// Hosts of 32 processors and 128 GB, four to a rack, every fifth with four accelerators when
/// asked.
job_fakes::world make_world(int hosts, int zones, bool accelerators);

/// \return a bound on what the world's hosts have together.
jobs::resources capacity_of(const job_fakes::world& w);

/// \return \p share of the values, 0 to 1; 0 when there is none.
double quantile(std::vector<double> values, double share);

} // namespace camphorhitch::bench
