/// \file
/// Ids of jobs whose submission to this node may still take effect. Such a job must not be refused
/// by the forecast: it would run although its caller was told that it never will.
#pragma once

#include "core/time.hpp"

#include <string>
#include <unordered_map>

namespace camphorhitch::hosted
{

class unsettled_submissions
{
public:
    /// Records that a write of the job begins.
    void begin(const std::string& id);

    /// Records the result of a write that began.
    /// \param certain false: the write may still take effect
    void end(const std::string& id, bool certain, core::mono_time now);

    /// \return whether a write of the job may take effect from now on.
    bool contains(const std::string& id, core::mono_time now) const;

private:
    struct entry
    {
        int in_flight = 0;
        core::mono_time uncertain_until;
    };

    void remove_settled(core::mono_time now);

    std::unordered_map<std::string, entry> entries_;
    core::mono_time removed_at_;
};

} // namespace camphorhitch::hosted
