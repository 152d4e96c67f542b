/// \file
/// Position in a text while nlohmann's lexer reads it.
#pragma once

#include <cstddef>
#include <iterator>
#include <string_view>

namespace camphorhitch::checked_json
{

struct position
{
    int line = 1;
    int column = 0;
};

/// Tracks the position of the lexer and the start of the current token.
///
/// The lexer reports a token only after its end, and a number only after the next character. The
/// cursor therefore records the position of the first significant character after the previous
/// token. This is correct after a number too, because the characters that can follow a number
/// (white space, a comma, a closing bracket) never start a value.
class text_cursor
{
public:
    explicit text_cursor(std::string_view text) : text_(text)
    {
    }

    std::size_t offset() const
    {
        return offset_;
    }

    char current() const
    {
        return text_[offset_];
    }

    /// Moves to the next character and updates the positions.
    void advance();

    /// \return the start of the current token, or between tokens the position of the last
    /// character.
    position current_position() const
    {
        return in_token_ ? token_ : last_;
    }

    /// Ends the current token: the next significant character starts a new one.
    /// \return the start of the current token.
    position take_token();

private:
    std::string_view text_;
    std::size_t offset_ = 0;
    position last_;
    position token_;
    bool in_token_ = false;
    bool at_line_end_ = false;
};

/// Input iterator of the lexer. It advances the cursor.
class counting_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = char;

    counting_iterator(text_cursor& cursor, std::size_t end) : cursor_(&cursor), end_(end)
    {
    }

    char operator*() const
    {
        return cursor_->current();
    }

    counting_iterator& operator++()
    {
        cursor_->advance();
        return *this;
    }

    /// Compares with the end only. The lexer makes no other comparison.
    friend bool operator==(const counting_iterator& a, const counting_iterator&)
    {
        return a.cursor_->offset() == a.end_;
    }

    friend bool operator!=(const counting_iterator& a, const counting_iterator& b)
    {
        return !(a == b);
    }

private:
    text_cursor* cursor_;
    std::size_t end_;
};

} // namespace camphorhitch::checked_json
