/// \file
/// Rendezvous hashing: every process ranks the same members for a key in the same order.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace camphorhitch::core
{

/// \return a 64-bit hash that is the same on every host and in every version.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// \param members identities; the order does not matter to the outcome.
/// \return indices into \p members, the best for \p key first.
std::vector<std::size_t> rendezvous_order(
    std::string_view key, const std::vector<std::string_view>& members);

/// Of members scored for the same key, the one with the highest score takes the key, and each gets
/// keys in proportion to its weight. A member that comes or goes moves only its own keys.
/// \param weight above 0
double weighted_score(std::string_view key, std::string_view member, double weight);

} // namespace camphorhitch::core
