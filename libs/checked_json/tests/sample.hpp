/// \file
/// A record with a key of each supported type.
#pragma once

#include "checked_json/record.hpp"

#include <string>
#include <type_traits>
#include <vector>

namespace camphorhitch::checked_json
{

enum class colour
{
    red,
    green
};

inline constexpr core::name_table<colour, 2> colour_names{
    {{colour::red, "red"}, {colour::green, "green"}}};

struct part
{
    std::string id;
    int count = 3;
};

struct sample
{
    std::string name;
    bool ready = false;
    int size = 5;
    std::uint64_t epoch = 0;
    double share = 0.5;
    core::millis wait{100};
    colour shade = colour::red;
    std::string address;
    std::vector<std::string> tags;
    std::vector<part> parts;
};

template <class Keys, class R>
requires std::is_same_v<std::remove_const_t<R>, part>
void describe(Keys& keys, R& r)
{
    keys.required("id", r.id, text_size{1, 8}).defaulted("count", r.count, int_range{0, 9});
}

template <class Keys, class R>
requires std::is_same_v<std::remove_const_t<R>, sample>
void describe(Keys& keys, R& r)
{
    keys.required("name", r.name, check_name)
        .optional("ready", r.ready)
        .defaulted("size", r.size, int_range{1, 10})
        .optional("epoch", r.epoch)
        .defaulted("share", r.share, real_range{0, 1})
        .defaulted("wait_ms", r.wait, millis_range{core::millis{1}, core::millis{1000}})
        .optional("shade", r.shade, colour_names)
        .optional("address", r.address, check_address)
        .optional("tags", r.tags, unique_texts{})
        .optional("parts", r.parts, unique_by<part>{"id", &part::id});
}

} // namespace camphorhitch::checked_json
