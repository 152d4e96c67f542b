/// \file
/// What written values mean.
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
    whole,    ///< a whole number
    number,   ///< with decimals
    duration, ///< a whole number with a unit: 250ms, 30s, 5m, 2h, 1d
    truth     ///< true or false
};

std::optional<std::int64_t> read_whole(std::string_view text);
std::optional<double> read_number(std::string_view text);
std::optional<core::millis> read_duration(std::string_view text);
std::optional<bool> read_truth(std::string_view text);

/// \return the kind in words, for findings: "a whole number".
std::string in_words(value_kind kind);

/// \return the duration with the largest unit that holds it in whole numbers.
std::string to_text(core::millis t);

} // namespace camphorhitch::language
