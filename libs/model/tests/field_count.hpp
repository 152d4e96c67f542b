/// \file
/// Counts the members of a plain struct and the keys that its describe() names.
#pragma once

#include <cstddef>
#include <string_view>
#include <utility>

namespace camphorhitch::model
{

/// Converts to any member's type.
struct any_member_value
{
    template <class T>
    operator T() const; // NOLINT: implicit on purpose
};

template <class T, std::size_t... I>
constexpr bool takes(std::index_sequence<I...>)
{
    return requires
    {
        T{(static_cast<void>(I), any_member_value{})...};
    };
}

/// \return how many members the aggregate \p T has.
template <class T, std::size_t N = 0>
constexpr std::size_t field_count()
{
    if constexpr (takes<T>(std::make_index_sequence<N + 1>{}))
    {
        return field_count<T, N + 1>();
    }
    else
    {
        return N;
    }
}

/// Stands in for an object_reader or object_writer.
struct key_counter
{
    std::size_t keys = 0;

    template <class... Arguments>
    key_counter& required(std::string_view, const Arguments&...)
    {
        ++keys;
        return *this;
    }

    template <class... Arguments>
    key_counter& defaulted(std::string_view key, const Arguments&... arguments)
    {
        return required(key, arguments...);
    }

    template <class... Arguments>
    key_counter& optional(std::string_view key, const Arguments&... arguments)
    {
        return required(key, arguments...);
    }
};

/// \return how many keys describe() names for \p T.
template <class T>
std::size_t key_count()
{
    key_counter counter;
    const T record{};
    describe(counter, record);
    return counter.keys;
}

} // namespace camphorhitch::model
