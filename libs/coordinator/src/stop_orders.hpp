/// \file
/// Orders the stops that are due.
#pragma once

#include "coordinator/placement.hpp"

namespace camphorhitch::coordinator
{

/// Orders the stops that are due. With forecasts, stops that free capacity for which jobs wait come
/// first: after a mass cancellation the bound of the plan spreads the stops over several plans.
void order_stops(fleet& f, core::mono_time now, plan& to);

} // namespace camphorhitch::coordinator
