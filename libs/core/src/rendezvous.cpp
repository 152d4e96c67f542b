#include "core/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <xxhash.h>

namespace camphorhitch::core
{

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::vector<std::size_t> rendezvous_order(
    std::string_view key, const std::vector<std::string_view>& members)
{
    std::vector<std::uint64_t> scores;
    scores.reserve(members.size());
    const std::uint64_t seed = stable_hash(key);
    for (const auto& it : members)
    {
        scores.push_back(stable_hash(it, seed));
    }
    std::vector<std::size_t> order(members.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(),
        order.end(),
        [&](std::size_t a, std::size_t b)
        {
            if (scores[a] != scores[b])
            {
                return scores[a] > scores[b];
            }
            return members[a] < members[b];
        });
    return order;
}

double weighted_score(std::string_view key, std::string_view member, double weight)
{
    constexpr int mantissa_bits = 53;
    constexpr int dropped_bits = 64 - mantissa_bits;
    const auto hash = stable_hash(member, stable_hash(key)) >> dropped_bits;
    const double uniform = (static_cast<double>(hash) + 0.5) / std::exp2(mantissa_bits);
    return -weight / std::log(uniform);
}

} // namespace camphorhitch::core
