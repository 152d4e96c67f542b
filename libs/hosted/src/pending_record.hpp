/// \file
/// The record under pending_key: how many jobs wait, by queue, as the coordinating node counted.
#pragma once

#include "core/result.hpp"
#include "ports/key_value.hpp"

#include <map>
#include <string>

namespace camphorhitch::hosted
{

struct pending_record
{
    /// Each job accepted up to this revision of the store was known when they were counted. Of all
    /// clocks only the store's revisions mean the same to every node.
    ports::revision through = 0;
    std::map<std::string, int> waiting; ///< by queue; a queue that is left out has none
};

std::string write_pending(const pending_record& r);

/// \return the record, or an error when any part of the text is none of it: what can't be read is
/// not known, and never taken for no job.
core::result<pending_record> read_pending(const std::string& text);

} // namespace camphorhitch::hosted
