/// \file
/// What a run left behind, in the words of those outside the system: callers, targets, workers, the
/// key-value service, and whoever caused the faults.
#pragma once

#include "core/findings.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::checker
{

/// One call of a caller (caller_load --record). Times are wall time in ms since 1970.
struct call
{
    std::string id;
    std::string entry; ///< "ip:port" of the entry host
    bool keyed = false;
    int status = 0;
    std::string outcome;
    std::string attempt;
    std::string reason;
    bool own = true; ///< an answered body carried the request's own id
    std::int64_t begin_ms = 0;
    std::int64_t end_ms = 0;
};

/// One run of a request at a target.
struct run
{
    std::string host;
    std::int64_t at_ms = 0;
};

struct target_counts
{
    std::string host;
    std::int64_t runs = 0;
    std::int64_t cut_off = 0;         ///< requests in flight when it went down
    std::int64_t cut_off_planned = 0; ///< of those, by a planned stop
};

/// One start of a task at a worker.
struct task_start
{
    std::string task; ///< "job/submission.attempt"
    std::string host;
    std::int64_t started_ms = 0;
    std::int64_t ended_ms = 0;
    std::string end; ///< "lost": its host went down under it
};

/// One job, as its submitter sent it.
struct submitted_job
{
    std::string id;
    bool idempotent = false;
};

/// One write in the key-value service.
struct change
{
    std::string key;
    std::int64_t revision = 0;
    std::int64_t at_ms = 0;
    bool deleted = false;
    std::string value;
};

/// One fault or planned stop that the driver caused.
struct fault
{
    std::string kind; ///< see README.md
    std::string member;
    std::string address;            ///< callers' address of the member
    std::vector<std::string> hosts; ///< target hosts
    std::int64_t at_ms = 0;
    std::int64_t until_ms = 0; ///< healed
};

/// A daemon's line that it took up a configuration.
struct adoption
{
    std::string member;
    std::int64_t version = 0;
    std::int64_t at_ms = 0;
};

struct records
{
    std::vector<call> calls;
    std::map<std::string, std::vector<run>> runs;       ///< of each request id
    std::map<std::string, std::vector<run>> duplicates; ///< ids that ran more than once
    std::vector<target_counts> targets;
    std::vector<task_start> starts;
    std::vector<submitted_job> jobs;
    std::vector<change> history; ///< in order of revision
    std::vector<fault> faults;
    std::vector<adoption> adoptions; ///< of each member in order
    std::int64_t end_ms = 0;         ///< when the records were taken
};

/// Reads the files of a folder (README.md lists them). A record that isn't there or can't be read
/// is a finding: a promise can't be judged without it.
std::variant<records, core::findings> read_records(const std::string& folder);

/// \return the adoption that a daemon's log line tells, or one with version 0.
adoption read_adoption(const std::string& line);

} // namespace camphorhitch::checker
