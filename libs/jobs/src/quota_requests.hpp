/// \file
/// Requests changes of the teams' grants, so that they follow what the jobs in this pool use and
/// want.
#pragma once

#include "place.hpp"

namespace camphorhitch::jobs
{

void request_quotas(round_state& r);

} // namespace camphorhitch::jobs
