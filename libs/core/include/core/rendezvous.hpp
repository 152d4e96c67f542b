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

} // namespace camphorhitch::core
