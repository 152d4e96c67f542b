#include "hosted/formats.hpp"

#include <algorithm>
#include <cctype>

namespace camphorhitch::hosted
{

namespace
{

bool same_host(const std::string& a, const std::string& b)
{
    return std::equal(a.begin(),
        a.end(),
        b.begin(),
        b.end(),
        [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

} // namespace

const queue* find_queue(
    const fleet_config& config, const std::string& host, const std::string& path)
{
    const auto name = host.substr(0, host.find(':'));
    const queue* best = nullptr;
    for (const auto& it : config.queues)
    {
        const bool fits = same_host(it.host, name) && path.starts_with(it.prefix);
        if (fits && (best == nullptr || it.prefix.size() > best->prefix.size()))
        {
            best = &it;
        }
    }
    return best;
}

} // namespace camphorhitch::hosted
