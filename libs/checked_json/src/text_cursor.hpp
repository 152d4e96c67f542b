/// \file
/// Counts lines and columns while nlohmann's lexer reads a text.
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

/// Where the lexer is in the text, and where the token it last began starts.
///
/// The lexer tells of a token only after its end, and of a number only after the character behind
/// it. So the cursor itself notes the first significant character after the token before. What may
/// stand behind a number (white space, a comma, a closing bracket) never begins a value.
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

    void advance();

    /// The start of the token that is being read, or else the place of the character read last.
    position here() const
    {
        return in_token_ ? token_ : last_;
    }

    /// \return the start of the token read last; the next token begins after this call.
    position take_token();

private:
    std::string_view text_;
    std::size_t offset_ = 0;
    position last_;
    position token_;
    bool in_token_ = false;
    bool line_ended_ = false;
};

/// The input iterator that the lexer sees.
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

    /// Compares with the end only; that is all an input iterator is asked for here.
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
