/// \file
/// The text under the parser: places in it, and where statements end.
#pragma once

#include "language/statements.hpp"

#include <string>
#include <vector>

namespace camphorhitch::language
{

/// \return whether \p c may stand in a name or value without quotes.
bool is_word_char(char c);

class source
{
public:
    /// \param text must outlive the source.
    explicit source(const std::string& text);

    const char* begin() const;
    const char* end() const;
    position position_of(const char* it) const;

    /// \return the next place from \p it on where a statement begins, or the end.
    const char* skip_blank(const char* it) const;

    /// \return the separator that ends the statement which begins at \p it, or the end. Quotes and
    ///     braces hide separators.
    const char* end_of_statement(const char* it) const;

    /// \return the place after the brace that closes the one at \p it, or nullptr.
    const char* after_braces(const char* it) const;

private:
    const char* end_of_line(const char* it) const;
    const char* after_quotes(const char* it) const;

    const std::string& text_;
    std::vector<const char*> line_starts_;
};

} // namespace camphorhitch::language
