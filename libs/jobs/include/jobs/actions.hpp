/// \file
/// The actions that a placement round returns to its caller.
#pragma once

#include "jobs/job.hpp"
#include "jobs/quota.hpp"
#include "ports/platform.hpp"

#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::jobs
{

/// Order this task once. Its result must be passed to record_order_result().
struct start_task
{
    ports::task_order order;
};

/// Send one action to several tasks of a host. The result must be passed to
/// record_command_result().
struct command_tasks
{
    std::string host;
    std::vector<std::string> tasks;
    ports::task_action what = ports::task_action::renew;
};

/// Read the host's task reports soon, because an urgent job waits for their content.
struct poll_host
{
    std::string host;
};

/// For logs and metrics: a worker was set aside because it fails everything, or has recovered.
struct worker_health_changed
{
    std::string host;
    bool set_aside = false;
    std::string reason;
};

/// A quota_request: the caller changes the team's document by adjust_grant(), and calls
/// record_grant() when the document is stored.
using action =
    std::variant<start_task, command_tasks, poll_host, quota_request, worker_health_changed>;

} // namespace camphorhitch::jobs
