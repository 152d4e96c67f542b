/// \file
/// Rules for values, checked after their type. Writers ignore them.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <limits>
#include <string>

namespace camphorhitch::checked_json
{

/// Range of an integer, both bounds included.
struct int_range
{
    std::int64_t lowest = 0;
    std::int64_t highest = std::numeric_limits<std::int64_t>::max();
};

/// Range of a number, both bounds included.
struct real_range
{
    double lowest = 0;
    double highest = std::numeric_limits<double>::max();
};

/// Range of a duration, both bounds included. The JSON value is an integer in milliseconds.
struct millis_range
{
    core::millis shortest{0};
    core::millis longest{std::numeric_limits<std::int64_t>::max()};
};

/// Range of the length of a text, both bounds included.
struct text_size
{
    std::size_t min_bytes = 0;
    std::size_t max_bytes = 1u << 20;
};

/// Checks a text.
/// \return the text of the finding, or an empty string when the text is valid.
using text_check = std::string (*)(const std::string& text);

/// Requires that the member \p id is unique among the records of an array.
template <class T>
struct unique_by
{
    const char* key; ///< key of the member, for findings
    std::string T::*id;
};

/// Requires that the texts of an array are unique, and a minimum number of them.
struct unique_texts
{
    std::size_t min_count = 0;
};

/// Checks a name: 1 to 64 characters of `A-Z a-z 0-9 . _ -`, which are valid in keys, paths and in
/// labels.
std::string check_name(const std::string& text);

/// Checks an IP address and port, "10.0.0.7:8080" or "[fd00::7]:8080". Host names are not allowed,
/// because they would make the process depend on a resolver.
std::string check_address(const std::string& text);

/// As check_address(), but an empty text is valid.
std::string check_address_or_empty(const std::string& text);

} // namespace camphorhitch::checked_json
