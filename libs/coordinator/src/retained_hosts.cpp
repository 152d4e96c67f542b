#include "retained_hosts.hpp"

#include <algorithm>
#include <cmath>

namespace camphorhitch::coordinator
{

void release_retained_hosts(rebalancer& r, std::map<std::string, balance>& all, core::mono_time now)
{
    const double passed = std::chrono::duration<double>(now - r.retained_at).count();
    r.retained_at = now;
    r.pools_without_spare.clear();
    for (auto& [name, b] : all)
    {
        auto& retained = r.retained[name];
        const double released_share = b.busy || b.busy_expected ? 0 : r.settings.release_share;
        const double released = passed * (r.settings.release_rate + released_share * retained);
        retained = std::max(static_cast<double>(b.wanted), retained - released);
        retained = std::min(retained, static_cast<double>(std::max(b.have, 0)));
        b.retained = static_cast<int>(std::ceil(retained));
        if (!b.standby && b.have <= b.retained)
        {
            r.pools_without_spare.insert(name);
        }
    }
}

void reset_surplus_timers(rebalancer& r, core::mono_time now)
{
    r.surplus_since.clear();
    r.retained_at = now;
}

std::set<std::string> pools_without_spare(const rebalancer& r)
{
    return r.pools_without_spare;
}

} // namespace camphorhitch::coordinator
