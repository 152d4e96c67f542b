#include "language/table.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace camphorhitch::language
{

namespace
{

constexpr const char* column_separator = "  ";

template <class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};

template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

std::string number_text(double n)
{
    // Significant digits. More digits would show rounding errors of the binary format.
    constexpr int digits = 6;
    std::array<char, 32> buf{};
    const auto end =
        std::to_chars(buf.data(), buf.data() + buf.size(), n, std::chars_format::general, digits);
    return {buf.data(), end.ptr};
}

/// Replaces control characters by '?'. Any user who may submit jobs chooses job names, and these
/// must not be able to control the operator's terminal.
std::string replace_control_characters(std::string text)
{
    constexpr char last_control = 0x1f;
    constexpr char delete_character = 0x7f;
    for (auto& it : text)
    {
        it = (it >= 0 && it <= last_control) || it == delete_character ? '?' : it;
    }
    return text;
}

std::string cell_text(const cell& c)
{
    return std::visit(
        overloaded{
            [](std::monostate) { return std::string("-"); },
            [](const std::string& s) { return replace_control_characters(s); },
            [](std::int64_t n) { return std::to_string(n); },
            [](double n) { return number_text(n); },
            [](core::millis t) { return to_text(t); },
            [](bool b) { return std::string(b ? "true" : "false"); },
        },
        c);
}

/// \return the number of characters in UTF-8 text.
std::size_t character_count(const std::string& text)
{
    constexpr unsigned char continuation_mask = 0xc0;
    constexpr unsigned char continuation = 0x80;
    return static_cast<std::size_t>(std::count_if(text.begin(),
        text.end(),
        [](char it)
        { return (static_cast<unsigned char>(it) & continuation_mask) != continuation; }));
}

bool is_right_aligned(value_kind kind)
{
    return kind != value_kind::text && kind != value_kind::boolean;
}

using text_row = std::vector<std::string>;

std::string format_line(
    const text_row& cells, const std::vector<std::size_t>& widths, const table& t)
{
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i)
    {
        const std::string padding(widths[i] - character_count(cells[i]), ' ');
        line += i == 0 ? "" : column_separator;
        line += is_right_aligned(t.columns[i].kind) ? padding + cells[i] : cells[i] + padding;
    }
    line.erase(line.find_last_not_of(' ') + 1);
    return line + '\n';
}

std::vector<text_row> text_rows(const table& t)
{
    std::vector<text_row> all(1);
    for (const auto& it : t.columns)
    {
        all.front().push_back(it.name);
    }
    for (const auto& it : t.rows)
    {
        auto& line = all.emplace_back();
        std::transform(it.begin(), it.end(), std::back_inserter(line), cell_text);
    }
    return all;
}

nlohmann::ordered_json cell_json(const cell& c)
{
    return std::visit(
        overloaded{
            [](std::monostate) { return nlohmann::ordered_json(nullptr); },
            [](core::millis t) { return nlohmann::ordered_json(t.count()); },
            [](const auto& v) { return nlohmann::ordered_json(v); },
        },
        c);
}

} // namespace

std::string to_text(const table& t)
{
    const auto lines = text_rows(t);
    std::vector<std::size_t> widths(t.columns.size(), 0);
    for (const auto& line : lines)
    {
        for (std::size_t i = 0; i < line.size(); ++i)
        {
            widths[i] = std::max(widths[i], character_count(line[i]));
        }
    }
    std::string text;
    for (const auto& it : lines)
    {
        text += format_line(it, widths, t);
    }
    return text;
}

std::string to_json(const table& t)
{
    auto all = nlohmann::ordered_json::array();
    for (const auto& r : t.rows)
    {
        auto& object = all.emplace_back(nlohmann::ordered_json::object());
        for (std::size_t i = 0; i < t.columns.size(); ++i)
        {
            object[t.columns[i].name] = cell_json(r[i]);
        }
    }
    return all.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace camphorhitch::language
