/// \file
/// Conversion of the documents of jobs and quotas to JSON text and back, and of submissions from
/// it. Stored documents are read leniently, because a newer version may have written more.
#pragma once

#include "checked_json/reader.hpp"
#include "core/findings.hpp"
#include "jobs/quota.hpp"
#include "jobs/submit.hpp"

#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::jobs
{

template <class T>
using decoded = std::variant<T, core::findings>;

std::string encode(const job_document& d);
std::string encode(const quota_document& d);

/// One job in the form that operators and callers see.
std::string encode(const job& j);

/// \param name the document's name in findings.
decoded<job_document> decode_jobs(const std::string& text, const std::string& name);
decoded<quota_document> decode_quota(const std::string& text, const std::string& name);

/// Reads `{"jobs": [...]}` strictly.
decoded<std::vector<submission>> decode_submissions(
    const std::string& text, const std::string& name);

} // namespace camphorhitch::jobs
