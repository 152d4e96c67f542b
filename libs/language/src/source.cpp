#include "source.hpp"

#include <algorithm>
#include <string_view>

namespace camphorhitch::language
{

namespace
{

bool is_separator(char c)
{
    return c == ';' || c == '\n';
}

} // namespace

bool is_word_char(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    const bool is_letter_or_digit =
        (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    const bool is_utf8 = byte >= 0x80;
    return is_letter_or_digit || is_utf8 || std::string_view("_.:/@+-").find(c) < 7;
}

source::source(const std::string& text) : text_(text), line_starts_{begin()}
{
    for (const char* it = begin(); it != end(); ++it)
    {
        if (*it == '\n')
        {
            line_starts_.push_back(it + 1);
        }
    }
}

const char* source::begin() const
{
    return text_.data();
}

const char* source::end() const
{
    return text_.data() + text_.size();
}

position source::position_of(const char* it) const
{
    const auto next = std::upper_bound(line_starts_.begin(), line_starts_.end(), it);
    return {static_cast<int>(next - line_starts_.begin()), static_cast<int>(it - next[-1]) + 1};
}

const char* source::skip_separators(const char* it) const
{
    while (it != end())
    {
        if (*it == '#')
        {
            it = end_of_line(it);
        }
        else if (is_separator(*it) || *it == ' ' || *it == '\t' || *it == '\r')
        {
            ++it;
        }
        else
        {
            break;
        }
    }
    return it;
}

const char* source::end_of_statement(const char* it) const
{
    // After one search without a closing brace there is no further search: repeated searches would
    // take time quadratic in the length of the text.
    bool braces_close = true;
    while (it != end() && !is_separator(*it))
    {
        const char* after = it + 1;
        if (*it == '#')
        {
            after = end_of_line(it);
        }
        else if (*it == '"')
        {
            after = end_of_quotes(it);
        }
        else if (*it == '{' && braces_close)
        {
            const char* closed = end_of_braces(it);
            braces_close = closed != nullptr;
            after = braces_close ? closed : after;
        }
        it = after;
    }
    return it;
}

const char* source::end_of_braces(const char* it) const
{
    int open = 0;
    while (it != end())
    {
        const char c = *it;
        it = c == '"' ? end_of_quotes(it) : it + 1;
        open += c == '{' ? 1 : 0;
        open -= c == '}' ? 1 : 0;
        if (open == 0)
        {
            return it;
        }
    }
    return nullptr;
}

const char* source::end_of_line(const char* it) const
{
    return std::find(it, end(), '\n');
}

const char* source::end_of_quotes(const char* it) const
{
    ++it;
    while (it != end() && *it != '"' && *it != '\n')
    {
        const bool escapes = *it == '\\' && it + 1 != end() && it[1] != '\n';
        it += escapes ? 2 : 1;
    }
    return it != end() && *it == '"' ? it + 1 : it;
}

} // namespace camphorhitch::language
