/// \file
/// Run-time checks of invariants, active in release builds too.
#pragma once

#include <functional>
#include <string>

namespace camphorhitch::core
{

/// Called with the text of a violated invariant. The default handler prints the text and aborts.
using invariant_handler = std::function<void(const std::string& text)>;

/// Replaces the handler, so that a test can observe a failing check.
/// \return the previous handler.
invariant_handler set_invariant_handler(invariant_handler next);

/// Calls the handler when \p holds is false.
void require(bool holds, const char* text);

/// Calls the handler with \p text and \p detail when \p holds is false.
void require(bool holds, const char* text, const std::string& detail);

} // namespace camphorhitch::core
