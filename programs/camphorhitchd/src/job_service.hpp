/// \file
/// Places the jobs of the pools that this member owns.
#pragma once

#include "context.hpp"
#include "fleet_service.hpp"
#include "jobs/quota.hpp"
#include "jobs/round.hpp"
#include "membership_service.hpp"
#include "permit_service.hpp"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

class job_service
{
public:
    job_service(context& c,
        membership_service& members,
        permit_service& permits,
        fleet_service& fleet,
        jobs::settings rules);

    void start();
    void on_roster();
    /// A document under jobs/ or quotas/ changed.
    void on_document(const ports::kv_entry& entry);

    /// \return tasks that may still run on the host, or nothing when this member can't tell.
    std::optional<int> tasks_on(const std::string& pool, const std::string& host) const;
    void move_off(const std::string& pool, const std::string& host, core::millis time_left);

    /// All jobs as stored, of all pools, by pool.
    std::map<std::string, std::vector<const jobs::job*>> all_jobs() const;
    const jobs::job* find(const std::string& id, std::string& pool) const;

private:
    struct owned
    {
        jobs::pool_jobs jobs;
        std::array<ports::revision, jobs::buckets_per_pool> revisions{};
        std::array<ports::revision, jobs::buckets_per_pool> tried{};
        std::set<std::string> polling;
        core::mono_time polled{};
    };

    void take_over(const std::string& pool);
    void offer(owned& o, int bucket);
    void round(const std::string& pool);
    void poll(const std::string& pool, const std::string& host);
    void act(const std::string& pool, const jobs::start_task& it);
    void act(const std::string& pool, const jobs::command_tasks& it);
    void act(const std::string& pool, const jobs::poll_host& it);
    void act(const std::string& pool, const jobs::quota_request& it);
    void act(const std::string& pool, const jobs::worker_health_changed& it);
    void write_due(const std::string& pool);
    void on_written(
        const std::string& pool, int bucket, const std::string& text, const ports::kv_write& reply);
    std::map<std::string, core::millis> leaving_in(const std::string& pool) const;
    owned* find_owned(const std::string& pool);

    context& context_;
    membership_service& members_;
    permit_service& permits_;
    fleet_service& fleet_;
    jobs::settings rules_;
    std::map<std::string, owned> owned_;
    std::map<std::string, jobs::job_document> stored_;                          ///< by key
    std::map<std::string, std::map<std::string, core::millis>> asked_to_leave_; ///< pool, host
    std::set<std::string> adjusting_; ///< "team/pool" whose share of a quota is being written
    std::uint64_t take_overs_ = 0;
};

} // namespace camphorhitch::daemon
