/// \file
/// Which relay calls a runner, kept up to date as relays come and go.
///
/// Weighted rendezvous hashing: a runner keeps its relay while that is well, and a relay that comes
/// or goes moves only its own runners. So each such event costs one look at each runner. Chosen
/// anew among all relays, the runners of a fleet with a thousand of them would take the
/// coordinator's whole processor, since some relay's record changes all the time.
#pragma once

#include "ports/relays.hpp"
#include "ports/runners.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace camphorhitch::relay
{

/// The relay chosen for one runner.
struct route
{
    std::string member; ///< empty: no relay is well
    std::string zone;   ///< of the runner
    std::string avoids; ///< a relay that may not be chosen; empty: none
    bool same_zone = false;
    double score = 0;
};

struct route_table
{
    /// Shares of a processor of the relays that take orders, by zone and member.
    std::map<std::string, std::map<std::string, double>> relays;
    std::unordered_map<std::string, route> routes; ///< by runner
    std::uint64_t scored = 0;                      ///< pairs of runner and relay that were compared
};

/// The relay takes orders from now on, or has another zone or share than before.
void add_relay(route_table& t, const ports::relay_endpoint& place);

/// The relay takes no orders any more. Its runners are given to others when they are next asked
/// for.
void remove_relay(route_table& t, const std::string& member);

/// \param avoids a relay that may not be chosen for this runner; empty: none. Looked at when the
/// runner has no route: forget_route() makes a change count.
/// \return the relay that calls the runner; empty: none is well.
const std::string& find_route(route_table& t, const ports::runner_ref& to, std::string_view avoids);

void forget_route(route_table& t, const std::string& runner);

} // namespace camphorhitch::relay
