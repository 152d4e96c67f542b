/// \file
/// Counts the members of an aggregate and the keys in its describe().
#pragma once

#include <cstddef>
#include <string_view>
#include <utility>

namespace camphorhitch::model
{

/// Converts to the type of any member.
struct any_member_value
{
    template <class T>
    operator T() const; // NOLINT: implicit on purpose
};

/// \return whether \p T can be initialized from as many values as there are indices.
template <class T, std::size_t... I>
constexpr bool is_initializable(std::index_sequence<I...>)
{
    return requires
    {
        T{(static_cast<void>(I), any_member_value{})...};
    };
}

/// \return the number of members of the aggregate \p T.
template <class T, std::size_t N = 0>
constexpr std::size_t field_count()
{
    if constexpr (is_initializable<T>(std::make_index_sequence<N + 1>{}))
    {
        return field_count<T, N + 1>();
    }
    else
    {
        return N;
    }
}

/// Replaces an object_reader or object_writer, and counts the keys.
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

/// \return the number of keys in the describe() of \p T.
template <class T>
std::size_t key_count()
{
    key_counter counter;
    const T record{};
    describe(counter, record);
    return counter.keys;
}

} // namespace camphorhitch::model
