/// \file
/// What a placement round asks its caller to do.
#pragma once

#include "jobs/job.hpp"
#include "jobs/quota.hpp"
#include "ports/platform.hpp"

#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::jobs
{

/// Order this task once; tell the end by note_order_ended().
struct start_task
{
    ports::task_order order;
};

/// Send one action to many tasks of a host; tell the end by note_command_ended().
struct command_tasks
{
    std::string host;
    std::vector<std::string> tasks;
    ports::task_action what = ports::task_action::renew;
};

/// Read the host's tasks soon: an urgent job waits for what it will report.
struct poll_host
{
    std::string host;
};

/// For logs and metrics: a worker fails everything, or is well again.
struct worker_judged
{
    std::string host;
    bool set_aside = false;
    std::string why;
};

/// A quota_wish: adjust() the team's document; when it is stored, tell note_granted().
using action = std::variant<start_task, command_tasks, poll_host, quota_wish, worker_judged>;

} // namespace camphorhitch::jobs
