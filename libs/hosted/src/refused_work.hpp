/// \file
/// The record under refused_key(): the work that a node has refused. Refused work is demand too;
/// otherwise a pool would never get hosts for it.
#pragma once

#include "core/result.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace camphorhitch::hosted
{

/// Sums since the start of a node.
struct refused_work
{
    /// Identifies the start: the sums of a node that has restarted begin at zero.
    std::int64_t start = 0;
    std::map<std::string, double> pools; ///< core-seconds refused, by pool
};

std::string write_refused_work(const refused_work& it);

/// \return the record, or an error if any part of the text is not valid.
core::result<refused_work> read_refused_work(const std::string& text);

/// \return by pool, the work refused between two records of a node. Nothing if \p before is of
/// another start; a sum that is lower than before counts as unchanged, since a delayed write may
/// take effect after a later one.
std::map<std::string, double> refused_since(const refused_work& before, const refused_work& now);

} // namespace camphorhitch::hosted
