#include "core/base64.hpp"

#include <array>
#include <cstdint>

namespace camphorhitch::core
{

namespace
{

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::uint8_t invalid_character = 255;

std::array<std::uint8_t, 256> character_values()
{
    std::array<std::uint8_t, 256> values{};
    values.fill(invalid_character);
    for (std::size_t i = 0; i < alphabet.size(); ++i)
    {
        values[static_cast<unsigned char>(alphabet[i])] = static_cast<std::uint8_t>(i);
    }
    return values;
}

} // namespace

std::string to_base64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    std::uint32_t bits = 0;
    int n = 0;
    for (const char it : bytes)
    {
        bits = (bits << 8) | static_cast<unsigned char>(it);
        n += 8;
        while (n >= 6)
        {
            n -= 6;
            text += alphabet[(bits >> n) & 63];
        }
    }
    if (n > 0)
    {
        text += alphabet[(bits << (6 - n)) & 63];
    }
    text.append((4 - text.size() % 4) % 4, '=');
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    static const auto values = character_values();
    if (text.size() % 4 != 0)
    {
        return std::nullopt;
    }
    while (!text.empty() && text.back() == '=')
    {
        text.remove_suffix(1);
    }
    std::string bytes;
    std::uint32_t bits = 0;
    int n = 0;
    for (const char it : text)
    {
        const auto v = values[static_cast<unsigned char>(it)];
        if (v == invalid_character)
        {
            return std::nullopt;
        }
        bits = (bits << 6) | v;
        n += 6;
        if (n >= 8)
        {
            n -= 8;
            bytes += static_cast<char>((bits >> n) & 255);
        }
    }
    return bytes;
}

} // namespace camphorhitch::core
