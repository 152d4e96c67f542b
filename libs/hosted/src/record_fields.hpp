/// \file
/// Checked reading of numbers in stored records.
#pragma once

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

namespace camphorhitch::hosted
{

/// \return the number, or nullopt if it is not a whole number from 0 to \p most.
template <class Whole>
std::optional<Whole> whole_number_up_to(const nlohmann::json& from, Whole most)
{
    const bool fits =
        from.is_number_unsigned() && from.get<std::uint64_t>() <= static_cast<std::uint64_t>(most);
    return fits ? std::optional{from.get<Whole>()} : std::nullopt;
}

/// \return the number, or nullopt if it is not a finite number from 0 to \p most.
inline std::optional<double> number_up_to(const nlohmann::json& from, double most)
{
    if (!from.is_number())
    {
        return std::nullopt;
    }
    const auto n = from.get<double>();
    return std::isfinite(n) && n >= 0 && n <= most ? std::optional{n} : std::nullopt;
}

} // namespace camphorhitch::hosted
