/// \file
/// What a node's lines say.
#pragma once

#include "hosted_fakes/cluster.hpp"

#include <string>
#include <vector>

namespace camphorhitch::hosted_fakes
{

/// \return the value of a key in a line; empty without the key.
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

/// \return the value of a key in a line that has it, as a number.
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
