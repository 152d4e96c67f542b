/// \file
/// Asks for the teams' quotas to follow what their jobs in this pool use and want.
#pragma once

#include "place.hpp"

namespace camphorhitch::jobs
{

void wish_for_quota(round_state& r);

} // namespace camphorhitch::jobs
