/// \file
/// Conversion between records and JSON text by their describe().
#pragma once

#include "checked_json/reader.hpp"
#include "checked_json/writer.hpp"

namespace camphorhitch::checked_json
{

/// Reads \p out from \p d.
/// \return all findings: duplicate keys of \p d, and those of reading the record.
template <record T>
core::findings read_record(const document& d, strictness mode, T& out)
{
    report found{d.name, mode};
    for (const auto& it : d.duplicate_keys)
    {
        found.add(it);
    }
    read(value{&d.root, &found, nullptr, {}, 0}, out);
    return found.found();
}

/// \param name name of the document in findings.
/// \return the record, or all findings of the text.
template <record T>
std::variant<T, core::findings> decode(const std::string& text,
    const std::string& name,
    strictness mode,
    const parse_limits& limits = {})
{
    auto parsed = parse(text, name, limits);
    if (auto* found = std::get_if<core::findings>(&parsed))
    {
        return std::move(*found);
    }
    T out{};
    core::findings found = read_record(std::get<document>(parsed), mode, out);
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
