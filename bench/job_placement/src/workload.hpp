/// \file
/// Random jobs whose declared sizes differ from the actual ones, by kind and by job.
#pragma once

#include "job_fakes/member.hpp"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorhitch::bench
{

/// Model of the difference between real and declared sizes.
enum class error_model
{
    none,
    by_job, ///< each job has independent factors of 0.3 to 3
    by_kind ///< the factor depends mostly on the kind of job; 0.3 to 3 in total
};

/// Settings of the random jobs.
struct workload_settings
{
    error_model errors = error_model::none;
    double min_run_time_s = 30;
    double max_run_time_s = 600;
    int kinds = 12;
    bool fixed_class = false; ///< all jobs are of class normal
};

/// Generates jobs and records their actual sizes and run times.
class workload
{
public:
    workload(std::uint64_t seed, const workload_settings& settings);

    /// \return a new job.
    jobs::submission next();

    /// \return the actual sizes and run time of a job that next() returned.
    job_fakes::real_task real_task_of(const std::string& job) const;

    /// \return the time to the next arrival in seconds.
    /// \param rate arrivals per second
    double next_gap_s(double rate);

    /// \return a uniformly distributed number.
    double uniform(double low, double high);

private:
    double log_uniform(double low, double high);

    boost::random::mt19937_64 random_;
    workload_settings settings_;
    std::vector<double> kind_factors_;
    std::map<std::string, job_fakes::real_task> real_;
    int job_count_ = 0;
};

/// \return hosts of 32 processors and 128 GB, four per rack and zone.
/// \param accelerators whether
/// every fifth host has four accelerators
job_fakes::pool_environment make_environment(int hosts, int zones, bool accelerators);

/// \return the total capacity of the environment's hosts.
jobs::resources capacity_of(const job_fakes::pool_environment& env);

/// \return the quantile \p share, 0 to 1, of the values; 0 without values.
double quantile(std::vector<double> values, double share);

} // namespace camphorhitch::bench
