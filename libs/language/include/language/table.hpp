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

/// Empty when the value isn't known or doesn't apply. Must be of its column's kind otherwise.
using cell = std::variant<std::monostate, std::string, std::int64_t, double, core::millis, bool>;

struct column
{
    std::string name;
    value_kind kind = value_kind::text;

    bool operator==(const column&) const = default;
};

using row = std::vector<cell>; ///< a cell for each column

struct table
{
    std::vector<column> columns;
    std::vector<row> rows;

    bool operator==(const table&) const = default;
};

/// Indices of rows, or what is wrong with the conditions.
using selected = std::variant<std::vector<std::size_t>, core::findings>;

/// \param document the name in findings of the text that the conditions come from.
/// \return the rows of \p t, in their order, for which all conditions hold. An empty cell is equal
///     to "" only, and neither less nor greater than anything.
selected select_rows(const table& t, const conditions& where, const std::string& document);

/// \return the rows that \p query asks for, in the order that it asks for. Empty cells come last.
std::variant<table, core::findings> evaluate(
    const show_statement& query, const table& t, const std::string& document);

/// \return an aligned table with a line of column names, for people. Control characters of cells
///     are replaced, since they could steer a terminal.
std::string to_text(const table& t);

/// \return a JSON list with an object for each row, keys in the order of the columns; durations in
///     milliseconds, empty cells null.
std::string to_json(const table& t);

} // namespace camphorhitch::language
