#include "line.hpp"

#include <algorithm>
#include <boost/locale/utf.hpp>
#include <fmt/format.h>

namespace camphorhitch::telemetry
{

namespace
{

constexpr std::size_t max_value_bytes = 1024;

/// A line with its time stamp is shorter than the size of an atomic write to a pipe (4096 bytes),
/// so that the lines of several processes on one pipe are not interleaved.
constexpr std::size_t max_line_bytes = 3900;

using utf8 = boost::locale::utf::utf_traits<char>;
using boost::locale::utf::code_point;

bool needs_no_quotes(char c)
{
    return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
}

bool is_key_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' ||
           c == '.' || c == '-';
}

/// \return whether some viewers treat the character as a line break or a change of text direction.
bool is_unsafe(code_point c)
{
    return (c >= 0x80 && c <= 0x9f) || (c >= 0x2028 && c <= 0x202e) || (c >= 0x2066 && c <= 0x2069);
}

void append_ascii(std::string& out, char c)
{
    switch (c)
    {
    case '"':
    case '\\':
        out += '\\';
        out += c;
        break;
    case '\n':
        out += "\\n";
        break;
    case '\r':
        out += "\\r";
        break;
    case '\t':
        out += "\\t";
        break;
    default:
        out += c >= ' ' && c < 0x7f ? std::string{c}
                                    : fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    }
}

/// Names, paths and header fields come from callers. A line break in one of them would start a new
/// line, which a reader of the log would mistake for an event of this process. Therefore every
/// character that is not printable is escaped, and a value can't end its quotes.
void append_quoted(std::string& out, std::string_view value)
{
    out += '"';
    const char* it = value.data();
    const char* end = it + value.size();
    while (it != end)
    {
        const char* begin = it;
        const code_point c = utf8::decode(it, end);
        if (c < 0x80)
        {
            append_ascii(out, *begin);
        }
        else if (c == boost::locale::utf::illegal || c == boost::locale::utf::incomplete)
        {
            out += fmt::format("\\x{:02x}", static_cast<unsigned char>(*begin));
            it = begin + 1;
        }
        else if (is_unsafe(c))
        {
            out += fmt::format("\\u{:04x}", c);
        }
        else
        {
            out.append(begin, it);
        }
    }
    out += '"';
}

void append_key(std::string& out, std::string_view key)
{
    for (const char c : key)
    {
        out += is_key_character(c) ? c : '_';
    }
    out += '=';
}

} // namespace

void append_field(std::string& line, std::string_view key, std::string_view value)
{
    if (!line.empty())
    {
        line += ' ';
    }
    append_key(line, key);
    if (value.size() > max_value_bytes)
    {
        append_quoted(line, std::string{value.substr(0, max_value_bytes)} + "...");
    }
    else if (!value.empty() && std::all_of(value.begin(), value.end(), needs_no_quotes))
    {
        line += value;
    }
    else
    {
        append_quoted(line, value);
    }
}

std::string event_text(
    std::string_view event, const ports::log_fields& fixed, const ports::log_fields& fields)
{
    std::string line;
    append_field(line, "event", event);
    for (const auto* list : {&fixed, &fields})
    {
        for (const auto& [key, value] : *list)
        {
            const std::size_t before = line.size();
            append_field(line, key, value);
            if (line.size() > max_line_bytes)
            {
                line.resize(before);
                line += " cut=true";
                return line;
            }
        }
    }
    return line;
}

} // namespace camphorhitch::telemetry
