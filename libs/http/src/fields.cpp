#include "fields.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace camphorhitch::http
{

namespace
{

constexpr std::array<std::string_view, 9> hop_fields = {"Connection",
    "Content-Length",
    "Expect",
    "Keep-Alive",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade"};

constexpr std::string_view token_marks = "!#$%&'*+-.^_`|~";

bool is_token_char(unsigned char c)
{
    return std::isalnum(c) != 0 || token_marks.find(static_cast<char>(c)) != token_marks.npos;
}

bool is_text_char(unsigned char c)
{
    return c == '\t' || (c >= 0x20 && c != 0x7f);
}

bool same_letter(unsigned char a, unsigned char b)
{
    return std::tolower(a) == std::tolower(b);
}

} // namespace

bool same_name(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), same_letter);
}

bool is_hop_field(std::string_view name)
{
    return std::any_of(hop_fields.begin(),
        hop_fields.end(),
        [&](std::string_view it) { return same_name(it, name); });
}

bool is_token(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

bool is_safe_field(std::string_view name, std::string_view text)
{
    return is_token(name) && std::all_of(text.begin(), text.end(), is_text_char);
}

std::optional<std::uint64_t> content_length(const ports::http_fields& fields)
{
    const auto* const text = ports::find_field(fields, "Content-Length");
    if (text == nullptr)
    {
        return std::nullopt;
    }
    std::uint64_t length = 0;
    const auto* const end = text->data() + text->size();
    const auto [stop, ec] = std::from_chars(text->data(), end, length);
    if (ec != std::errc{} || stop != end)
    {
        return std::nullopt;
    }
    return length;
}

} // namespace camphorhitch::http
