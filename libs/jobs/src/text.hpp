/// \file
/// Sizes as text for operators.
#pragma once

#include "jobs/job.hpp"

#include <string>

namespace camphorhitch::jobs
{

/// \return the number without trailing zeros, such as "2.5".
std::string number_text(double v);

/// \return a text such as "4 processors, 16 GB, 1 accelerator".
std::string to_text(const resources& a);

/// \return what \p available lacks for \p need, such as "32 processors".
std::string shortfall_text(const resources& need, const resources& available);

} // namespace camphorhitch::jobs
