/// \file
/// Records of a fault run, made by programs outside the system: callers, targets, workers, the
/// key-value service and the driver that causes the faults. All times are wall time in ms since
/// 1970.
#pragma once

#include "core/findings.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::checker
{

/// One call of a caller (caller_load --record).
struct call
{
    std::string id;
    std::string entry; ///< "ip:port" of the entry host
    bool keyed = false;
    int status = 0;
    std::string outcome;
    std::string attempt;
    std::string reason;
    bool own = true; ///< false if an answered body did not carry the request's own id
    std::int64_t begin_ms = 0;
    std::int64_t end_ms = 0;
};

/// One run of a request at a target.
struct run
{
    std::string host;
    std::int64_t at_ms = 0;
};

/// Counts of one target.
struct target_counts
{
    std::string host;
    std::int64_t runs = 0;
    std::int64_t cut_off = 0;         ///< requests that were in flight when the host went down
    std::int64_t cut_off_planned = 0; ///< the part of cut_off that a planned stop caused
};

/// One start of a task at a worker.
struct task_start
{
    std::string task; ///< "job/submission.attempt"
    std::string host;
    std::int64_t started_ms = 0;
    std::int64_t ended_ms = 0;
    std::string end; ///< "lost" if the host went down while the task ran
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
    std::string address;            ///< the member's address for callers
    std::vector<std::string> hosts; ///< target hosts
    std::int64_t at_ms = 0;
    std::int64_t until_ms = 0; ///< end of the fault
};

/// A daemon's log line that it adopted a configuration.
struct adoption
{
    std::string member;
    std::int64_t version = 0;
    std::int64_t at_ms = 0;
};

/// All records of one run.
struct records
{
    std::vector<call> calls;
    std::map<std::string, std::vector<run>> runs;       ///< by request id
    std::map<std::string, std::vector<run>> duplicates; ///< runs of each id that ran more than once
    std::vector<target_counts> targets;
    std::vector<task_start> starts;
    std::vector<submitted_job> jobs;
    std::vector<change> history; ///< in the order of revisions
    std::vector<fault> faults;
    std::vector<adoption> adoptions; ///< each member's in the order of its log
    std::int64_t end_ms = 0;         ///< time at which the records were collected
};

/// Reads the files of a folder (README.md lists them). A file that is missing or can't be read is a
/// finding, because a promise can't be checked without it.
std::variant<records, core::findings> read_records(const std::string& folder);

/// \return the adoption that a daemon's log line reports, or one with version 0 for other lines.
adoption read_adoption(const std::string& line);

} // namespace camphorhitch::checker
