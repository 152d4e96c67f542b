/// \file
/// Tables of typed cells, queries over them, and their output.
#pragma once

#include "core/findings.hpp"
#include "core/time.hpp"
#include "language/statements.hpp"
#include "language/values.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::language
{

/// Value of one cell, of the kind of its column. std::monostate: unknown or not applicable.
using cell = std::variant<std::monostate, std::string, std::int64_t, double, core::millis, bool>;

struct column
{
    std::string name;
    value_kind kind = value_kind::text;

    bool operator==(const column&) const = default;
};

using row = std::vector<cell>; ///< one cell for each column

struct table
{
    std::vector<column> columns;
    std::vector<row> rows;

    bool operator==(const table&) const = default;
};

/// Indices of the selected rows, or the findings of the conditions.
using row_selection = std::variant<std::vector<std::size_t>, core::findings>;

/// \param document name in findings of the text that contains the conditions.
/// \return the rows of \p t, in the order of the table, for which all conditions hold. An empty
///     cell is equal to "" only, and neither less nor greater than any value.
row_selection select_rows(const table& t, const conditions& where, const std::string& document);

/// \return the rows that \p query selects, in the order that it requests. Rows with an empty cell
///     in the ordering column come last.
std::variant<table, core::findings> evaluate(
    const show_statement& query, const table& t, const std::string& document);

/// \return an aligned table with a line of column names, for people. Control characters in cells
///     are replaced, because a terminal would interpret them.
std::string to_text(const table& t);

/// \return a JSON array with one object for each row. Keys are in the order of the columns,
///     durations in milliseconds; an empty cell is null.
std::string to_json(const table& t);

} // namespace camphorhitch::language
