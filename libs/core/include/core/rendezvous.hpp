/// \file
/// Rendezvous hashing: for a given key, every process ranks the same members in the same order.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace camphorhitch::core
{

/// \return a 64-bit hash that is the same on every host and in every version.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// \param members unique names; their order does not affect the ranking
/// \return indices into \p members, ordered by descending rank for \p key.
std::vector<std::size_t> rendezvous_order(
    std::string_view key, const std::vector<std::string_view>& members);

/// \return the score of a member for a key. When each key is assigned to the member with the
/// highest score, every member receives keys in proportion to its weight, and adding or removing a
/// member moves only the keys of that member. \param weight greater than 0
double weighted_score(std::string_view key, std::string_view member, double weight);

} // namespace camphorhitch::core
