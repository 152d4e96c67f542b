/// \file
/// Builds members and rosters for tests.
#pragma once

#include "core/time.hpp"
#include "membership/owners.hpp"

#include <string>
#include <utility>

namespace camphorhitch::membership::testing
{

inline core::mono_time at_ms(int ms)
{
    return core::mono_time{core::millis{ms}};
}

inline model::member_record member(int n, const std::string& incarnation = "1")
{
    const auto id = "e" + std::to_string(n);
    return {id, incarnation, "10.0.0." + std::to_string(n) + ":7", "z" + std::to_string(n % 3)};
}

inline member_list members(int count)
{
    member_list all;
    for (int n = 1; n <= count; ++n)
    {
        all.push_back(member(n));
    }
    return all;
}

inline model::roster_document roster(std::uint64_t epoch, member_list now)
{
    return {epoch, std::move(now), {}};
}

} // namespace camphorhitch::membership::testing
