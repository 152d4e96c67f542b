/// \file
/// Writes records as compact JSON text by the describe() with which they are read.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace camphorhitch::checked_json
{

/// Position in the JSON tree at which a value is written. The root object_writer owns the tree.
struct json_slot
{
    nlohmann::ordered_json* it;
};

/// Adds a key to an object.
/// \return the slot of its value.
json_slot add_key(json_slot object, std::string_view key);
/// Appends an element to an array.
/// \return the slot of the element.
json_slot append_element(json_slot list);
/// Makes the value at \p at an empty array with capacity for \p size elements.
void make_array(json_slot at, std::size_t size);

void write(json_slot at, bool v);
void write(json_slot at, double v);
void write(json_slot at, std::int64_t v);
void write(json_slot at, std::uint64_t v);
void write(json_slot at, const std::string& v);
void write(json_slot at, core::millis v);

/// Writes the keys of one object.
class object_writer
{
public:
    object_writer();
    explicit object_writer(json_slot at);
    object_writer(const object_writer&) = delete;
    object_writer& operator=(const object_writer&) = delete;
    ~object_writer();

    template <class T, class... Rules>
    object_writer& required(std::string_view key, const T& v, const Rules&... rules)
    {
        write_any(add_key(at_, key), v, rules...);
        return *this;
    }

    template <class T, class... Rules>
    object_writer& defaulted(std::string_view key, const T& v, const Rules&... rules)
    {
        return required(key, v, rules...);
    }

    /// Writes the key unless the value is empty, zero, false or the first name.
    template <class T, class... Rules>
    object_writer& optional(std::string_view key, const T& v, const Rules&... rules)
    {
        if (!is_empty(v))
        {
            required(key, v, rules...);
        }
        return *this;
    }

    /// \return compact JSON. Bytes that are not valid UTF-8 are replaced, because JSON cannot
    /// contain them.
    std::string text() const;

private:
    template <class T>
    static bool is_empty(const T& v)
    {
        if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>)
        {
            return v == T{};
        }
        else if constexpr (std::is_same_v<T, core::millis>)
        {
            return v.count() == 0;
        }
        else
        {
            return v.empty();
        }
    }

    template <class E, std::size_t N>
    static void write_any(json_slot at, E v, const core::name_table<E, N>& table)
    {
        write(at, std::string{core::name_of(table, v)});
    }

    template <class T, class... Rules>
    static void write_any(json_slot at, const std::vector<T>& v, const Rules&...)
    {
        make_array(at, v.size());
        for (const auto& it : v)
        {
            write_any(append_element(at), it);
        }
    }

    template <class T, class... Rules>
    static void write_any(json_slot at, const T& v, const Rules&...)
    {
        constexpr bool is_plain = std::is_arithmetic_v<T> || std::is_same_v<T, std::string> ||
                                  std::is_same_v<T, core::millis>;
        if constexpr (std::is_integral_v<T> && !std::is_same_v<T, bool> &&
                      !std::is_same_v<T, std::uint64_t>)
        {
            write(at, static_cast<std::int64_t>(v));
        }
        else if constexpr (is_plain)
        {
            write(at, v);
        }
        else
        {
            object_writer keys{at};
            describe(keys, v);
        }
    }

    std::unique_ptr<nlohmann::ordered_json> root_;
    json_slot at_;
};

} // namespace camphorhitch::checked_json
