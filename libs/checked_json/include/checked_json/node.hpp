/// \file
/// A parsed JSON value with its position in the text.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::checked_json
{

struct node;
struct member;
using array = std::vector<node>;
using object = std::vector<member>;

/// A JSON value and its position.
struct node
{
    /// An integer is std::int64_t when it fits, and std::uint64_t above that.
    using content = std::variant<std::monostate,
        bool,
        std::int64_t,
        std::uint64_t,
        double,
        std::string,
        array,
        object>;

    content value;
    int line = 0;   ///< 1-based
    int column = 0; ///< 1-based, in bytes
};

/// A key of an object and its value. Members are in the order of the text.
struct member
{
    std::string key;
    node value;
    int line = 0;   ///< line of the key, 1-based
    int column = 0; ///< column of the key, 1-based, in bytes
};

} // namespace camphorhitch::checked_json
