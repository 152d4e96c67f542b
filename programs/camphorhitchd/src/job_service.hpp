/// \file
/// Schedules the jobs of the pools that this member owns.
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

/// Stored jobs of all pools, and the scheduler of the pools that this member owns.
class job_service
{
public:
    job_service(context& c,
        membership_service& members,
        permit_service& permits,
        fleet_service& fleet,
        jobs::settings rules);

    /// Starts the periodic placement rounds.
    void start();
    /// Takes over pools that this member now owns, and releases the others.
    void on_roster();
    /// Applies a changed document under jobs/; other keys are ignored.
    void on_document(const ports::kv_entry& entry);

    /// \return the number of tasks that may still run on the host, or nothing when this member has
    /// no complete count.
    std::optional<int> tasks_on(const std::string& pool, const std::string& host) const;
    /// Requests that the host's tasks are moved to other hosts within \p time_left.
    void move_off(const std::string& pool, const std::string& host, core::millis time_left);

    /// All stored jobs by pool.
    std::map<std::string, std::vector<const jobs::job*>> all_jobs() const;
    /// \param pool receives the name of the job's pool.
    /// \return the stored job, or nullptr.
    const jobs::job* find(const std::string& id, std::string& pool) const;

private:
    /// Scheduling state of a pool that this member owns.
    struct owned_pool
    {
        jobs::pool_jobs jobs;
        /// Revision of each bucket's document that `jobs` is based on; -1: none was loaded.
        std::array<ports::revision, jobs::buckets_per_pool> stored_revisions{};
        /// Base revision of each bucket's write whose answer was lost; -1: none.
        std::array<ports::revision, jobs::buckets_per_pool> uncertain_revisions{};
        std::set<std::string> polls_in_flight;
        core::mono_time last_poll_at{};
    };

    void take_over(const std::string& pool);
    void load_bucket(owned_pool& o, int bucket);
    void run_round(const std::string& pool);
    void poll(const std::string& pool, const std::string& host);
    void execute(const std::string& pool, const jobs::start_task& it);
    void execute(const std::string& pool, const jobs::command_tasks& it);
    void execute(const std::string& pool, const jobs::poll_host& it);
    void execute(const std::string& pool, const jobs::quota_request& it);
    void execute(const std::string& pool, const jobs::worker_health_changed& it);
    void write_due_documents(const std::string& pool);
    void on_written(
        const std::string& pool, int bucket, const std::string& text, const ports::kv_write& reply);
    std::map<std::string, core::millis> leaving_hosts(const std::string& pool) const;
    owned_pool* find_owned(const std::string& pool);

    context& context_;
    membership_service& members_;
    permit_service& permits_;
    fleet_service& fleet_;
    jobs::settings rules_;
    std::map<std::string, owned_pool> owned_;
    std::map<std::string, jobs::job_document> stored_; ///< by key
    /// Time left to move tasks off a host, by pool and host.
    std::map<std::string, std::map<std::string, core::millis>> evacuation_requests_;
    /// "team/pool" of each quota grant with a write in flight.
    std::set<std::string> quota_updates_in_flight_;
    std::uint64_t takeover_count_ = 0;
};

} // namespace camphorhitch::daemon
