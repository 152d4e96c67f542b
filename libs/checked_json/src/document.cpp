#include "checked_json/document.hpp"

#include "tree_builder.hpp"

#include <algorithm>
#include <charconv>

namespace camphorhitch::checked_json
{

namespace
{

constexpr std::size_t max_excerpt_bytes = 200;
constexpr std::size_t max_token_bytes = 64;

std::string truncate(std::string_view text, std::size_t max_bytes)
{
    std::size_t n = std::min(max_bytes, text.size());
    while (n < text.size() && n > 0 && (static_cast<unsigned char>(text[n]) & 0xc0) == 0x80)
    {
        --n; // no cut inside a UTF-8 character
    }
    std::string out{text.substr(0, n)};
    for (char& c : out)
    {
        if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
        {
            c = '?';
        }
    }
    if (n < text.size())
    {
        out += "...";
    }
    return out;
}

std::string unescape(std::string_view token)
{
    std::string out;
    for (std::size_t i = 0; i < token.size(); ++i)
    {
        const bool escape = token[i] == '~' && i + 1 < token.size();
        out += escape ? (token[++i] == '1' ? '/' : '~') : token[i];
    }
    return out;
}

const node* child(const node& parent, const std::string& token)
{
    if (const auto* members = std::get_if<object>(&parent.value))
    {
        for (const auto& it : *members)
        {
            if (it.key == token)
            {
                return &it.value;
            }
        }
        return nullptr;
    }
    const auto* list = std::get_if<array>(&parent.value);
    std::size_t index = 0;
    const auto [end, ec] = std::from_chars(token.data(), token.data() + token.size(), index);
    const bool is_index = ec == std::errc{} && end == token.data() + token.size();
    return list != nullptr && is_index && index < list->size() ? &(*list)[index] : nullptr;
}

} // namespace

std::variant<document, core::findings> parse(
    const std::string& text, const std::string& name, const parse_limits& limits)
{
    if (text.size() > limits.bytes)
    {
        return core::findings{{{name, {}, 0, 0},
            "is " + std::to_string(text.size()) + " bytes long, at most " +
                std::to_string(limits.bytes) + " are allowed",
            {}}};
    }
    document d;
    d.name = name;
    text_cursor cursor{text};
    tree_builder builder{d, cursor, limits};
    const counting_iterator it{cursor, text.size()};
    nlohmann::json::sax_parse(it, it, &builder);
    if (!builder.fatal().empty())
    {
        return builder.fatal();
    }
    return d;
}

core::place place_of(const document& d, const std::string& pointer)
{
    core::place where{d.name, pointer, d.root.line, d.root.column};
    const node* it = &d.root;
    std::string_view rest = pointer;
    while (!rest.empty())
    {
        rest.remove_prefix(1);
        const auto end = std::min(rest.find('/'), rest.size());
        it = child(*it, unescape(rest.substr(0, end)));
        if (it == nullptr)
        {
            break;
        }
        where.line = it->line;
        where.column = it->column;
        rest.remove_prefix(end);
    }
    return where;
}

std::string printable_excerpt(std::string_view text)
{
    return truncate(text, max_excerpt_bytes);
}

std::string pointer_token(std::string_view token)
{
    std::string out;
    for (const char c : truncate(token, max_token_bytes))
    {
        switch (c)
        {
        case '~':
            out += "~0";
            break;
        case '/':
            out += "~1";
            break;
        default:
            out += c;
        }
    }
    return out;
}

} // namespace camphorhitch::checked_json
