/// \file
/// Small pools, hosts and configurations for tests.
#pragma once

#include "fleet/pool_rules.hpp"
#include "model/config.hpp"
#include "model/fleet.hpp"

#include <string>
#include <vector>

namespace camphorhitch::fleet::sample
{

inline const core::wall_time now = core::from_unix_ms(1'000'000);

inline model::host_record host(std::string id, std::string zone = "z1")
{
    model::host_record h;
    h.id = std::move(id);
    h.zone = std::move(zone);
    h.rack = h.zone + "-r1";
    h.boot_count = 1;
    return h;
}

inline model::host_record host_in(model::host_state state,
    model::drain_purpose purpose = model::drain_purpose::none,
    std::string id = "h1",
    std::string zone = "z1")
{
    auto h = host(std::move(id), std::move(zone));
    h.state = state;
    h.purpose = purpose;
    h.move_to = purpose == model::drain_purpose::move ? "b" : "";
    return h;
}

inline model::pool_document pool(std::string name, std::vector<model::host_record> hosts)
{
    return {std::move(name), std::move(hosts), {}, {}};
}

inline model::pool_config pool_config(std::string name, int absent, int per_zone)
{
    model::pool_config out;
    out.name = std::move(name);
    out.budget = {absent, per_zone};
    return out;
}

inline model::policy_config policy(model::policy_kind kind)
{
    model::policy_config out;
    out.name = std::string{name_of(model::policy_kind_names, kind)};
    out.kind = kind;
    out.fixed_buffer = 0;
    return out;
}

/// \return pools a and b with the given budget, a spare pool s, and one policy of each kind, named
/// after its kind.
inline model::configuration config(int absent = 1, int per_zone = 1)
{
    model::configuration out;
    out.version = 1;
    out.pools = {pool_config("a", absent, per_zone),
        pool_config("b", absent, per_zone),
        pool_config("s", 1, 1)};
    out.pools[2].spare = true;
    for (const auto& it : model::policy_kind_names)
    {
        out.policies.push_back(policy(it.value));
    }
    return out;
}

} // namespace camphorhitch::fleet::sample
