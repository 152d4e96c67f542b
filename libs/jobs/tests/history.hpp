/// \file
/// A random history of a pool: several deciders, faults of the store, of orders and of workers, and
/// what must hold after each step of it.
#pragma once

#include "small_world.hpp"

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
    wake_old_owner,   ///< a former owner goes on with what it knew
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

inline constexpr int event_kinds = 16;

struct event
{
    event_kind kind = event_kind::pass_time;
    std::uint32_t random = 0;
};

class history
{
public:
    history();

    void apply(const event& e);

    /// Everything that must hold at any moment; throws a sentence when something doesn't.
    void check() const;

    /// Ends all faults and lets the pool come to rest; then checks that every job has its end.
    void settle_and_check();

private:
    void pass(core::millis time);
    void work(job_fakes::member& m);
    void submit_some(std::uint32_t random);
    void cancel_some(std::uint32_t random);
    ports::platform_status order(const ports::task_order& it);
    job_fakes::worker& worker_of(std::uint32_t random);
    void check_starts() const;
    void check_accepted() const;
    void check_quotas() const;
    void check_hosts() const;

    job_fakes::world world_;
    std::list<job_fakes::member> owners_; ///< the newest last
    std::uint64_t epoch_ = 1;
    int faulty_writes_ = 0;
    std::uint32_t write_fault_ = 0;
    int faulty_orders_ = 0;
    std::uint32_t order_fault_ = 0;
    int faulty_commands_ = 0;
    int submitted_ = 0;
    std::map<std::string, jobs::submission> accepted_;
    std::set<std::string> refused_tasks_;
};

} // namespace camphorhitch::jobs_test
