/// \file
/// Functions that make the results of statements.
#pragma once

#include "core/findings.hpp"
#include "core/result.hpp"
#include "service_refs.hpp"

#include <string>

namespace camphorhitch::daemon
{

/// \return a successful result; the text is also its JSON data.
statement_result success_result(const std::string& text);
/// \param text a newline is appended if the text does not end with one.
statement_result error_result(core::error_code code, std::string text);
statement_result error_result(const core::findings& all);

/// \return a result with \p text when \p end is ok, otherwise the error.
template <class T>
statement_result result_of(const core::result<T>& end, const std::string& text)
{
    return core::is_ok(end) ? success_result(text)
                            : error_result(core::failure(end).code, core::failure(end).message);
}

} // namespace camphorhitch::daemon
