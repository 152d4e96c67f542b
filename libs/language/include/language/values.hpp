/// \file
/// Kinds of value, and conversion between values and their text.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorhitch::language
{

/// The kinds of value in tables and settings.
enum class value_kind
{
    text,
    integer,  ///< an integer
    number,   ///< a number that may have decimals
    duration, ///< an integer with a unit: 250ms, 30s, 5m, 2h, 1d
    boolean   ///< true or false
};

// Each function returns nothing when the whole text is not a value of its kind.
std::optional<std::int64_t> read_integer(std::string_view text);
std::optional<double> read_number(std::string_view text); // finite numbers only
std::optional<core::millis> read_duration(std::string_view text);
std::optional<bool> read_boolean(std::string_view text);

/// \return a description of the kind for findings, for example "a whole number".
std::string describe_kind(value_kind kind);

/// \return the duration as an integer with the largest unit that needs no decimals.
std::string to_text(core::millis t);

} // namespace camphorhitch::language
