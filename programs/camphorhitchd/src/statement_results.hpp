/// \file
/// Results of statements, made from what became of them.
#pragma once

#include "core/findings.hpp"
#include "core/result.hpp"
#include "operator_parts.hpp"

#include <string>

namespace camphorhitch::daemon
{

statement_result good(const std::string& text);
/// \param text a line break is added where it ends with none.
statement_result bad(core::error_code code, std::string text);
statement_result bad(const core::findings& all);

/// \return \p text when \p end is ok, and the error otherwise.
template <class T>
statement_result told(const core::result<T>& end, const std::string& text)
{
    return core::is_ok(end) ? good(text) : bad(core::failure(end).code, core::failure(end).message);
}

} // namespace camphorhitch::daemon
