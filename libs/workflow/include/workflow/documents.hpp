/// \file
/// Jobs as operators write them: one JSON object. docs/operators/hosted.md lists its keys.
#pragma once

#include "core/findings.hpp"
#include "workflow/model.hpp"

#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::workflow
{

/// The part of a job that is submitted through the product's own interface. The job takes its
/// remaining fields from the queue.
struct job_request
{
    std::string id;
    std::string queue;
    std::string payload; ///< handed to each task byte for byte
    std::vector<step> steps;
    schedule timing;
};

/// \param name the document's name in findings
/// \return the request, or everything that is wrong with it, each with its place.
std::variant<job_request, core::findings> read_request(
    const std::string& text, const std::string& name);

} // namespace camphorhitch::workflow
