/// \file
/// Whole records from JSON text and to it, by their describe().
#pragma once

#include "checked_json/reader.hpp"
#include "checked_json/writer.hpp"

namespace camphorhitch::checked_json
{

/// \return the findings of \p d and of reading \p out from it, all together.
template <record T>
core::findings read_record(const document& d, strictness how, T& out)
{
    report found{d.name, how};
    for (const auto& it : d.found)
    {
        found.add(it);
    }
    read(value{&d.root, &found, nullptr, {}, 0}, out);
    return found.found();
}

/// \param name the document's name in findings.
/// \return the record, or everything that is wrong with the text.
template <record T>
std::variant<T, core::findings> decode(
    const std::string& text, const std::string& name, strictness how, const bounds& most = {})
{
    auto parsed = parse(text, name, most);
    if (auto* found = std::get_if<core::findings>(&parsed))
    {
        return std::move(*found);
    }
    T out{};
    core::findings found = read_record(std::get<document>(parsed), how, out);
    if (!found.empty())
    {
        return found;
    }
    return out;
}

/// \return compact JSON text.
template <record T>
std::string encode(const T& r)
{
    object_writer keys;
    describe(keys, r);
    return keys.text();
}

} // namespace camphorhitch::checked_json
