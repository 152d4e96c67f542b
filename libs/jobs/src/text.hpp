/// \file
/// Sizes as text for people.
#pragma once

#include "jobs/job.hpp"

#include <string>

namespace camphorhitch::jobs
{

/// \return a number without needless digits, such as "2.5".
std::string number_text(double v);

/// \return such as "4 processors, 16 GB, 1 accelerators".
std::string to_text(const amounts& a);

/// \return what \p room lacks for \p need, such as "32 processors".
std::string lacking_text(const amounts& need, const amounts& room);

} // namespace camphorhitch::jobs
