/// \file
/// Maps each runner to the relay that calls it, and updates the mapping when relays are added or
/// removed.
///
/// The table uses weighted rendezvous hashing. A runner keeps its relay while the relay is
/// available, and adding or removing a relay moves only the runners of that relay, so each such
/// event costs at most one comparison for each runner. Choosing among all relays again for each
/// runner would use the coordinator's whole processor in a fleet with a thousand relays, because
/// the record of some relay changes all the time.
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
    std::string member;         ///< empty: no relay is available
    std::string zone;           ///< zone of the runner
    std::string avoided_member; ///< member whose relay must not be chosen; empty: none
    bool same_zone = false;
    double score = 0;
};

/// The available relays and the route of each runner.
struct route_table
{
    /// Processor shares of the relays that accept orders, by zone and member.
    std::map<std::string, std::map<std::string, double>> relays;
    std::unordered_map<std::string, route> routes; ///< key: runner
    std::uint64_t comparisons = 0; ///< number of comparisons of a runner with a relay
};

/// Adds a relay that accepts orders, or updates its zone and share.
void add_relay(route_table& t, const ports::relay_endpoint& endpoint);

/// Removes a relay that accepts no further orders. Its runners get another relay when find_route()
/// is next called for them.
void remove_relay(route_table& t, const std::string& member);

/// \param avoided_member member whose relay must not be chosen for this runner; empty: none.
/// Considered
///   only when the runner has no route yet; a change takes effect after forget_route().
/// \return the member whose relay calls the runner; empty: no relay is available.
const std::string& find_route(
    route_table& t, const ports::runner_ref& to, std::string_view avoided_member);

/// Removes the route of a runner, so that find_route() chooses it again.
void forget_route(route_table& t, const std::string& runner);

} // namespace camphorhitch::relay
