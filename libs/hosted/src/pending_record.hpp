/// \file
/// The record under pending_key: the number of waiting jobs by queue, as counted by the
/// coordinator.
#pragma once

#include "core/result.hpp"
#include "ports/key_value.hpp"

#include <map>
#include <string>

namespace camphorhitch::hosted
{

struct pending_record
{
    /// Store revision up to which every accepted job was included in the count. Revisions are used
    /// because they mean the same on every node, unlike any clock.
    ports::revision through_revision = 0;
    /// Number of waiting jobs by queue; a queue without an entry has none.
    std::map<std::string, int> waiting;
};

std::string write_pending(const pending_record& r);

/// \return the record, or an error if any part of the text is not valid. A damaged count is
/// reported as not known, never as zero jobs.
core::result<pending_record> read_pending(const std::string& text);

} // namespace camphorhitch::hosted
