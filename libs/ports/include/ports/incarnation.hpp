/// \file
/// Identifies the incarnations of a runner.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorhitch::ports
{

/// One life of a runner's process. A runner may keep its id when it starts again, and then knows
/// nothing of its earlier runs; the time of its start tells its incarnations apart.
struct incarnation
{
    std::string runner;       ///< id that the platform gave the runner; contains no '/'
    std::int64_t born_ms = 0; ///< start of the process, in milliseconds since 1970; 0: unknown

    bool operator==(const incarnation&) const = default;
};

/// \return "runner/born_ms", or only the runner's id when the start is unknown.
std::string write_incarnation(const incarnation& it);

/// Reads any text. A text that does not end in a valid start time is an id with an unknown start.
incarnation read_incarnation(std::string_view text);

/// \return the runner's id in the text of an incarnation.
std::string_view runner_of(std::string_view text);

/// \return whether both texts name the same runner, in any incarnation.
bool is_same_runner(std::string_view a, std::string_view b);

} // namespace camphorhitch::ports
