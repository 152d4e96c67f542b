#include "membership/accept_config.hpp"

namespace camphorhitch::membership
{

bool accept_config(std::optional<std::int64_t> current, std::int64_t offered, config_source source)
{
    if (!current)
    {
        return source != config_source::stale_peer;
    }
    return offered > *current;
}

} // namespace camphorhitch::membership
