/// \file
/// Converts single values of messages to and from their Cap'n Proto form.
#pragma once

#include "core/time.hpp"

#include <algorithm>
#include <capnp/blob.h>
#include <capnp/list.h>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::peer
{

inline capnp::Text::Reader to_text(const std::string& s)
{
    return {s.c_str(), s.size()};
}

inline std::string from_text(capnp::Text::Reader r)
{
    return {r.begin(), r.size()};
}

inline capnp::Data::Reader to_data(const std::string& s)
{
    return {reinterpret_cast<const kj::byte*>(s.data()), s.size()};
}

inline std::string from_data(capnp::Data::Reader r)
{
    return {reinterpret_cast<const char*>(r.begin()), r.size()};
}

/// Upper bound of all times in messages, in milliseconds. A larger number from a peer could
/// overflow when it is converted to microseconds or added to a time point, which is undefined
/// behaviour. No valid message contains a longer time.
inline constexpr std::int64_t max_ms = std::int64_t{30} * 24 * 3600 * 1000;

inline core::millis from_ms(std::int64_t ms)
{
    return core::millis{std::clamp(ms, std::int64_t{0}, max_ms)};
}

inline core::micros from_us(std::int64_t us)
{
    return core::micros{std::clamp(us, std::int64_t{0}, max_ms * 1000)};
}

/// The enumerators have the same order in the ports and in the schema.
template <class To, class From>
To to_enum(From v)
{
    return static_cast<To>(v);
}

/// \param last the last enumerator that this version knows.
/// \param fallback the value to use for an enumerator of a newer version.
template <class To, class From>
To from_enum(From v, To last, To fallback)
{
    const auto n = static_cast<std::uint16_t>(v);
    return n <= static_cast<std::uint16_t>(last) ? static_cast<To>(n) : fallback;
}

inline void encode_texts(const std::vector<std::string>& from, capnp::List<capnp::Text>::Builder to)
{
    for (unsigned i = 0; i < to.size(); ++i)
    {
        to.set(i, to_text(from[i]));
    }
}

inline std::vector<std::string> decode_texts(capnp::List<capnp::Text>::Reader from)
{
    std::vector<std::string> to;
    to.reserve(from.size());
    for (auto it : from)
    {
        to.push_back(from_text(it));
    }
    return to;
}

} // namespace camphorhitch::peer
