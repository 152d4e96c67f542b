/// \file
/// Reads the log lines of a node in tests.
#pragma once

#include "hosted_fakes/cluster.hpp"

#include <string>
#include <vector>

namespace camphorhitch::hosted_fakes
{

/// \return the value of a key in a log line; empty if the line has no such key.
inline std::string value_in(const std::string& line, const std::string& key)
{
    const auto at = line.find(" " + key + "=");
    if (at == std::string::npos)
    {
        return {};
    }
    const auto from = at + key.size() + 2;
    return line.substr(from, line.find(' ', from) - from);
}

/// \return the value of a key, as a number, in a log line that contains the key.
inline std::int64_t number_in(const std::string& line, const std::string& key)
{
    return std::stoll(value_in(line, key));
}

inline std::vector<std::string> lines_of(const node& n, const std::string& event)
{
    std::vector<std::string> out;
    for (const auto& it : n.log.lines)
    {
        if (it.find(" " + event + " ") != std::string::npos)
        {
            out.push_back(it);
        }
    }
    return out;
}

} // namespace camphorhitch::hosted_fakes
