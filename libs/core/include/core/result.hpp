/// \file
/// Results of functions that may fail: a std::variant of a value and an error.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace camphorhitch::core
{

/// Kinds of error that the callers of a function can handle differently.
enum class error_code
{
    invalid,       ///< the input is wrong; a repeat fails again
    not_found,     ///< the named object does not exist
    conflict,      ///< a concurrent change took effect first
    unavailable,   ///< the call certainly had no effect; a repeat may succeed later
    unknown_effect ///< the call may have taken effect
};

/// An error with a message for people.
struct error
{
    error_code code = error_code::invalid;
    std::string message;
};

/// The empty value of a result that only indicates success.
using done = std::monostate;

/// A value, or the error that prevented it.
template <class T>
using result = std::variant<T, error>;

template <class T>
bool is_ok(const result<T>& r)
{
    return r.index() == 0;
}

/// \return the value. Throws std::bad_variant_access when \p r is an error.
template <class T>
const T& value(const result<T>& r)
{
    return std::get<0>(r);
}

template <class T>
T& value(result<T>& r)
{
    return std::get<0>(r);
}

/// \return the error. Throws std::bad_variant_access when \p r is a value.
template <class T>
const error& failure(const result<T>& r)
{
    return std::get<1>(r);
}

} // namespace camphorhitch::core
