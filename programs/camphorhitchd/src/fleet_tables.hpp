/// \file
/// Tables for `show` statements, made from the mirrored documents.
#pragma once

#include "language/table.hpp"
#include "service_refs.hpp"

namespace camphorhitch::daemon
{

/// \return the rows by this member's current documents, sorted by id.
language::table make_table(language::table_kind what, const service_refs& services);

} // namespace camphorhitch::daemon
