/// \file
/// What a value must satisfy beside its type. Writers ignore these.
#pragma once

#include "core/time.hpp"

#include <cstdint>
#include <limits>
#include <string>

namespace camphorhitch::checked_json
{

/// Lowest and highest whole number, both allowed.
struct int_range
{
    std::int64_t lowest = 0;
    std::int64_t highest = std::numeric_limits<std::int64_t>::max();
};

/// Lowest and highest number, both allowed.
struct real_range
{
    double lowest = 0;
    double highest = std::numeric_limits<double>::max();
};

/// Shortest and longest duration, both allowed. The text holds whole milliseconds.
struct millis_range
{
    core::millis shortest{0};
    core::millis longest{std::numeric_limits<std::int64_t>::max()};
};

/// Length of a text in bytes.
struct text_size
{
    std::size_t least = 0;
    std::size_t most = 1u << 20;
};

/// Looks at a text: \return what is wrong with it, or an empty string.
using text_check = std::string (*)(const std::string& text);

/// Asks that no two records of a list have the same text in \p id.
template <class T>
struct unique_by
{
    const char* key; ///< of the text within the record
    std::string T::*id;
};

/// Asks that no two texts of a list be the same, and for some number of them.
struct unique_texts
{
    std::size_t least = 0;
};

/// A name: 1 to 64 of `A-Z a-z 0-9 . _ -`, fit for keys, paths and labels.
std::string check_name(const std::string& text);

/// An IP number and a port, "10.0.0.7:8080" or "[fd00::7]:8080"; no host names, which would make a
/// process depend on a resolver.
std::string check_address(const std::string& text);

/// As check_address(), or empty.
std::string check_address_or_empty(const std::string& text);

} // namespace camphorhitch::checked_json
