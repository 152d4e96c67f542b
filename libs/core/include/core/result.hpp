/// \file
/// Results: a value or an error, as a std::variant.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace camphorhitch::core
{

/// The kinds of error that callers of a function can act upon.
enum class error_code
{
    invalid,       ///< the input is wrong; repeating it cannot help
    not_found,     ///< the thing named does not exist
    conflict,      ///< somebody else's change came first
    unavailable,   ///< certainly had no effect; may work later
    unknown_effect ///< may or may not have had its effect
};

/// An error with a sentence for a person.
struct error
{
    error_code code = error_code::invalid;
    std::string message;
};

/// Nothing, as the value of a result that only tells success.
using done = std::monostate;

template <class T>
using result = std::variant<T, error>;

template <class T>
bool is_ok(const result<T>& r)
{
    return r.index() == 0;
}

/// \return the value; \p r must be ok.
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

/// \return the error; \p r must not be ok.
template <class T>
const error& failure(const result<T>& r)
{
    return std::get<1>(r);
}

} // namespace camphorhitch::core
