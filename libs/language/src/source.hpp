/// \file
/// The text that is parsed: positions in it, and boundaries of statements.
#pragma once

#include "language/statements.hpp"

#include <string>
#include <vector>

namespace camphorhitch::language
{

/// \return whether a name or value may contain \p c without quotes.
bool is_word_char(char c);

/// A text with an index of its lines. Positions in the text are pointers.
class source
{
public:
    /// \param text must outlive the source.
    explicit source(const std::string& text);

    const char* begin() const;
    const char* end() const;
    position position_of(const char* it) const;

    /// Skips blanks, separators and comments.
    /// \return the start of the next statement at or after \p it, or the end of the text.
    const char* skip_separators(const char* it) const;

    /// \return the separator after the statement that starts at \p it, or the end of the text.
    ///     Separators inside quotes and braces are ignored.
    const char* end_of_statement(const char* it) const;

    /// \return the position after the brace that matches the opening brace at \p it, or nullptr
    ///     when there is none.
    const char* end_of_braces(const char* it) const;

private:
    const char* end_of_line(const char* it) const;
    const char* end_of_quotes(const char* it) const;

    const std::string& text_;
    std::vector<const char*> line_starts_;
};

} // namespace camphorhitch::language
