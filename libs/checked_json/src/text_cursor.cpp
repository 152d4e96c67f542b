#include "text_cursor.hpp"

namespace camphorhitch::checked_json
{

namespace
{

bool is_separator(char c)
{
    return c == ' ' || c == '\t' || c == '\r' || c == '\n' || c == ',' || c == ':';
}

} // namespace

void text_cursor::advance()
{
    const char c = text_[offset_++];
    if (at_line_end_)
    {
        ++last_.line;
        last_.column = 0;
    }
    ++last_.column;
    at_line_end_ = c == '\n';
    if (!in_token_ && !is_separator(c))
    {
        in_token_ = true;
        token_ = last_;
    }
}

position text_cursor::take_token()
{
    in_token_ = false;
    return token_;
}

} // namespace camphorhitch::checked_json
