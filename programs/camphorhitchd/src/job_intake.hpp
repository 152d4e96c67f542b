/// \file
/// Submissions and cancellations of jobs, at any member: those that come while a write is under way
/// go together in the next one, so that a burst costs few writes.
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

/// What became of one submission or cancellation.
struct intake_outcome
{
    std::string id;
    core::error_code code = core::error_code::invalid; ///< counts only when not accepted
    bool accepted = false;
    std::string text;
};

using intake_callback = std::function<void(std::vector<intake_outcome>)>;

class job_intake
{
public:
    job_intake(context& c, fleet_service& fleet, jobs::settings rules);

    /// Calls \p done once, with an outcome for each submission, when all were decided.
    void submit(
        const std::string& pool, const std::vector<jobs::submission>& all, intake_callback done);
    /// \param command id of the command behind it.
    void cancel(const std::string& pool,
        const std::vector<std::string>& ids,
        const std::string& command,
        intake_callback done);

private:
    struct entry
    {
        std::optional<jobs::submission> submitted; ///< none: a cancellation
        std::string id;
        std::string command;
        std::function<void(intake_outcome)> done;
    };
    struct queue
    {
        std::vector<entry> waiting;
        bool writing = false;
        bool planned = false;
    };

    void add(const std::string& pool, entry it);
    void plan(const std::string& key);
    void write(const std::string& key);
    void finish(const std::string& key,
        const std::vector<entry>& batch,
        const std::vector<intake_outcome>& outcomes,
        const core::result<core::done>& end);
    change_result change(const std::string& key,
        const std::string* current,
        const std::vector<entry>& batch,
        std::vector<intake_outcome>& outcomes);

    context& context_;
    fleet_service& fleet_;
    jobs::settings rules_;
    std::map<std::string, queue> queues_; ///< by document key
    std::map<std::string, std::string> pool_of_key_;
};

} // namespace camphorhitch::daemon
