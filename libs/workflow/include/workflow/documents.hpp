/// \file
/// Jobs as operators write them: one JSON object, whose keys docs/operators/hosted.md lists.
#pragma once

#include "core/findings.hpp"
#include "workflow/model.hpp"

#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::workflow
{

/// What a caller of the product's own interface says of a job; the rest comes from its queue.
struct job_request
{
    std::string id;
    std::string queue;
    std::string payload; ///< handed to each task byte for byte
    std::vector<step> steps;
    schedule timing;
};

/// \param name the document's name in findings
/// \return the request, or all that is wrong with it, each with its place.
std::variant<job_request, core::findings> read_request(
    const std::string& text, const std::string& name);

} // namespace camphorhitch::workflow
