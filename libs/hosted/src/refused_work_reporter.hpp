/// \file
/// Reports the work that this node refuses to the coordinator, through the store.
#pragma once

#include "hosted/context.hpp"

#include <memory>
#include <string>

namespace camphorhitch::hosted
{

struct refused_work_settings
{
    core::millis write_interval{1000}; ///< minimum time between two writes
    core::millis idle_removal{60000};  ///< the key is removed when nothing was refused for so long
};

struct refused_work_state;

/// The first refusal is written at once, since the coordinator counts only what follows the first
/// record that it reads. A write without an answer is repeated: the sums contain what it had.
class refused_work_reporter
{
public:
    refused_work_reporter(context c, refused_work_settings s);
    refused_work_reporter(const refused_work_reporter&) = delete;
    refused_work_reporter& operator=(const refused_work_reporter&) = delete;
    ~refused_work_reporter();

    /// Adds a refused job's work.
    void record(const std::string& pool, double core_seconds);

    /// Removes the key and writes no more, as the node shuts down.
    void withdraw();

private:
    std::shared_ptr<refused_work_state> state_;
};

} // namespace camphorhitch::hosted
