/// \file
/// The tables that `show` reads, made from the mirrored documents.
#pragma once

#include "language/table.hpp"
#include "operator_parts.hpp"

namespace camphorhitch::daemon
{

/// \return the rows as this member sees the fleet now, in a stable order.
language::table make_table(language::table_kind what, const operator_parts& parts);

} // namespace camphorhitch::daemon
