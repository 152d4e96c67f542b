/// \file
/// Tables that map the values of an enum class to their names.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace camphorhitch::core
{

/// One enum value and its name.
template <class E>
struct name_entry
{
    E value;
    std::string_view name;
};

/// All values of an enum class with their names.
template <class E, std::size_t N>
using name_table = std::array<name_entry<E>, N>;

/// \return the name of \p v, or "?" when the table does not contain it.
template <class E, std::size_t N>
constexpr std::string_view name_of(const name_table<E, N>& table, E v)
{
    for (const auto& it : table)
    {
        if (it.value == v)
        {
            return it.name;
        }
    }
    return "?";
}

/// \return the value called \p name, or nothing when the table does not contain it.
template <class E, std::size_t N>
constexpr std::optional<E> value_of(const name_table<E, N>& table, std::string_view name)
{
    for (const auto& it : table)
    {
        if (it.name == name)
        {
            return it.value;
        }
    }
    return std::nullopt;
}

} // namespace camphorhitch::core
