/// \file
/// A random simulation of a pool with several owners and with faults of the store, of orders and of
/// workers, and the checks that must hold after each event.
#pragma once

#include "fixture.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphorhitch::jobs_test
{

enum class event_kind : std::uint8_t
{
    pass_time,
    take_over,        ///< the roster changes: another member owns the pool
    wake_old_owner,   ///< a former owner continues with its old state
    predecessor_gone, ///< the former owners have certainly stopped
    fault_writes,
    fault_orders,
    submit_some,
    submit_again,
    cancel_some,
    cut_worker_off,
    pause_worker,
    reboot_worker,
    break_worker,
    drain_host,
    late_write_arrives,
    announce_drain
};

inline constexpr int event_kind_count = 16;

struct event
{
    event_kind kind = event_kind::pass_time;
    std::uint32_t random = 0;
};

class pool_simulation
{
public:
    pool_simulation();

    void apply(const event& e);

    /// Checks everything that must hold at any moment; throws std::runtime_error with a
    /// description.
    void check() const;

    /// Ends all faults, runs until every job has reached a terminal state, and checks that each one
    /// has.
    void end_faults_and_check();

private:
    void advance_time(core::millis time);
    void run_member(job_fakes::member& m);
    void submit_some(std::uint32_t random);
    void cancel_some(std::uint32_t random);
    ports::platform_status send_order(const ports::task_order& it);
    job_fakes::worker& random_worker(std::uint32_t random);
    void check_starts() const;
    void check_accepted() const;
    void check_quotas() const;
    void check_hosts() const;

    job_fakes::pool_environment environment_;
    std::list<job_fakes::member> owners_; ///< the newest last
    std::uint64_t epoch_ = 1;
    int write_faults_left_ = 0;
    std::uint32_t write_fault_seed_ = 0;
    int order_faults_left_ = 0;
    std::uint32_t order_fault_seed_ = 0;
    int lost_commands_left_ = 0;
    int submitted_ = 0;
    std::map<std::string, jobs::submission> accepted_;
    std::set<std::string> refused_tasks_;
};

} // namespace camphorhitch::jobs_test
