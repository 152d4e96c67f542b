/// \file
/// A parsed JSON value that knows its place in the text.
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

struct node
{
    /// Whole numbers are std::int64_t where they fit, std::uint64_t above that.
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

/// One key and its value, in the order of the text.
struct member
{
    std::string key;
    node value;
    int line = 0;   ///< of the key
    int column = 0; ///< of the key
};

} // namespace camphorhitch::checked_json
