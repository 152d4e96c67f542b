#include "core/rendezvous.hpp"

#include <algorithm>
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

} // namespace camphorhitch::core
