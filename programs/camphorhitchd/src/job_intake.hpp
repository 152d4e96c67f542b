/// \file
/// Submissions and cancellations of jobs, at any member. Requests that arrive while a write is in
/// flight are combined in the next write, so that a burst costs few writes.
#pragma once

#include "context.hpp"
#include "fleet_service.hpp"
#include "jobs/settings.hpp"
#include "jobs/submit.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

/// Result of one submission or cancellation.
struct intake_outcome
{
    std::string id;
    core::error_code code = core::error_code::invalid; ///< valid only when not accepted
    bool accepted = false;
    std::string text;
};

/// Receives one outcome per submission or cancellation, in the order of the request.
using intake_callback = std::function<void(std::vector<intake_outcome>)>;

/// Writes submissions and cancellations to the pools' job documents, in batches.
class job_intake
{
public:
    job_intake(context& c, fleet_service& fleet, jobs::settings rules);

    /// Submits jobs. \p done is called once, with one outcome per submission in the same order,
    /// after the last write has ended.
    void submit(
        const std::string& pool, const std::vector<jobs::submission>& all, intake_callback done);
    /// Cancels jobs by id; \p done is called once, with one outcome per id.
    /// \param command id of the operator's command; a repeated command takes effect once.
    void cancel(const std::string& pool,
        const std::vector<std::string>& ids,
        const std::string& command,
        intake_callback done);

private:
    /// A submission or cancellation that waits for its write.
    struct entry
    {
        std::optional<jobs::submission> submitted; ///< empty for a cancellation
        std::string id;
        std::string command;
        std::function<void(intake_outcome)> done;
    };
    /// Requests for one job document.
    struct queue
    {
        std::vector<entry> waiting;
        bool writing = false;   ///< a write is in flight
        bool scheduled = false; ///< a write is scheduled
    };

    void add(const std::string& pool, entry it);
    void schedule_write(const std::string& key);
    void write(const std::string& key);
    void finish(const std::string& key,
        const std::vector<entry>& batch,
        const std::vector<intake_outcome>& outcomes,
        const core::result<core::done>& end);
    change_result apply_batch(const std::string& key,
        const std::string* current,
        const std::vector<entry>& batch,
        std::vector<intake_outcome>& outcomes);

    context& context_;
    fleet_service& fleet_;
    jobs::settings rules_;
    std::map<std::string, queue> queues_; ///< by key of the document
    std::map<std::string, std::string> pool_of_key_;
};

} // namespace camphorhitch::daemon
