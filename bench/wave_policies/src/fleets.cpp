#include "fleets.hpp"

#include <algorithm>
#include <map>
#include <random>

namespace camphorhitch::bench
{

namespace
{

constexpr int hosts_per_rack = 4;
constexpr std::int64_t first_ms = 1'000'000;
constexpr auto spare_pool = "spare";

/// Hosts per planned absence. Lensmandu needs few absences; the School Trip Office needs a fast
/// roll-out, before its busy season in spring.
constexpr int hosts_per_absence_careful = 16;
constexpr int hosts_per_absence_hasty = 5;

pool_shape pool_of(int hosts, int hosts_per_absence)
{
    const int absent = std::max(1, hosts / hosts_per_absence);
    return {hosts, {absent, 1}};
}

fleet_shape fleet_of(
    std::string name, int zones, const std::vector<int>& sizes, int hosts_per_absence)
{
    fleet_shape out{std::move(name), zones, {}};
    for (const auto it : sizes)
    {
        out.pools.push_back(pool_of(it, hosts_per_absence));
    }
    return out;
}

/// \return pools of 4 to 8 hosts, adjusted by single hosts so that the sum is \p hosts.
std::vector<int> sizes_of(int hosts, int pools)
{
    std::vector<int> out(static_cast<std::size_t>(pools), 0);
    for (int i = 0; i < pools; ++i)
    {
        out[static_cast<std::size_t>(i)] = 4 + i % 5;
    }
    int remaining = hosts;
    for (const auto it : out)
    {
        remaining -= it;
    }
    for (std::size_t i = 0; remaining != 0; i = (i + 1) % out.size())
    {
        const int step = remaining > 0 ? 1 : -1;
        out[i] += step;
        remaining -= step;
    }
    return out;
}

/// Assigns hosts to the zones in turn, and to racks of four within a zone.
class host_placer
{
public:
    explicit host_placer(int zones) : zones_(zones)
    {
    }

    model::host_record next(const std::string& id)
    {
        const int zone = placed_++ % zones_;
        model::host_record h;
        h.id = id;
        h.zone = "z" + std::to_string(zone);
        h.rack = h.zone + "-r" + std::to_string(in_zone_[zone]++ / hosts_per_rack);
        h.boot_count = 1;
        return h;
    }

private:
    int zones_;
    int placed_ = 0;
    std::map<int, int> in_zone_;
};

model::pool_config config_of(
    const std::string& name, const pool_shape& shape, const std::string& policy)
{
    model::pool_config out;
    out.name = name;
    out.budget = shape.budget;
    out.policy = policy;
    return out;
}

void add_pool(
    fleet_sim::simulation& sim, const std::string& name, int hosts, host_placer& placer, bool held)
{
    model::pool_document d{name, {}, {}, {}};
    for (int i = 0; i < hosts; ++i)
    {
        auto h = placer.next(name + "-" + std::to_string(i));
        h.state = held ? model::host_state::held : model::host_state::serving;
        fleet_sim::add_host(sim.platform, h.id, h.zone, h.rack);
        d.hosts.push_back(std::move(h));
    }
    fleet_sim::put_pool(sim.kv, d, 0);
}

/// Adds jobs to the serving hosts; held hosts have none.
void add_work(fleet_sim::simulation& sim, const work_settings& work)
{
    std::mt19937_64 random(work.seed);
    std::exponential_distribution<double> job(1.0 / static_cast<double>(work.mean_job_ms));
    for (auto& [id, h] : sim.platform.hosts)
    {
        const auto* record = fleet_sim::find_host(sim.kv, id);
        const bool serves = record->state == model::host_state::serving;
        for (int i = 0; serves && i < work.jobs_per_host; ++i)
        {
            h.jobs.push_back(sim.platform.now_ms + static_cast<std::int64_t>(job(random)));
        }
    }
}

model::policy_config policy_config_of(model::policy_kind kind)
{
    model::policy_config out;
    out.name = std::string{name_of(model::policy_kind_names, kind)};
    out.kind = kind;
    out.return_timeout = core::millis{900000};
    out.drain_timeout = core::millis{30000};
    out.fixed_buffer = kind == model::policy_kind::one_by_one ? 1 : 0;
    return out;
}

} // namespace

int count_hosts(const fleet_shape& shape)
{
    int n = 0;
    for (const auto& it : shape.pools)
    {
        n += it.hosts;
    }
    return n;
}

std::vector<fleet_shape> all_fleets()
{
    const std::vector<int> fifty{14, 12, 10, 8, 6};
    return {fleet_of("lensmandu", 4, fifty, hosts_per_absence_careful),
        fleet_of("school_trips", 3, fifty, hosts_per_absence_hasty),
        fleet_of("hosts_10", 3, {5, 5}, hosts_per_absence_careful),
        fleet_of("hosts_100", 3, sizes_of(100, 16), hosts_per_absence_careful),
        fleet_of("hosts_1100", 6, sizes_of(1100, 176), hosts_per_absence_careful)};
}

std::vector<measured_policy> all_policies(const fleet_shape& shape)
{
    using model::policy_kind;
    const auto one_by_one = policy_config_of(policy_kind::one_by_one);
    auto one_per_pool = one_by_one;
    one_per_pool.largest_batch = static_cast<int>(shape.pools.size());
    return {{"one_by_one", one_by_one, 0},
        {"one_per_pool", one_per_pool, 0},
        {"least_buffer", policy_config_of(policy_kind::least_buffer), 1},
        {"fastest", policy_config_of(policy_kind::fastest), 0}};
}

std::vector<pool_shape> pools_beside_spares(const fleet_shape& shape, int spares)
{
    auto out = shape.pools;
    const auto smaller = [](const pool_shape& a, const pool_shape& b)
    {
        return a.hosts < b.hosts;
    };
    for (int i = 0; i < spares; ++i)
    {
        --std::max_element(out.begin(), out.end(), smaller)->hosts;
    }
    return out;
}

void build(fleet_sim::simulation& sim,
    const fleet_shape& shape,
    const measured_policy& policy,
    const work_settings& work)
{
    sim.config.version = 1;
    sim.config.policies = {policy.config};
    sim.platform.now_ms = first_ms;
    sim.platform.reboot_ms = work.reboot_ms;
    sim.settings.max_request_ms = work.max_request_ms;
    host_placer placer(shape.zones);
    const auto pools = pools_beside_spares(shape, policy.spares);
    for (std::size_t i = 0; i < pools.size(); ++i)
    {
        const std::string name = "pool" + std::to_string(i);
        sim.config.pools.push_back(config_of(name, pools[i], policy.config.name));
        add_pool(sim, name, pools[i].hosts, placer, false);
    }
    if (policy.spares > 0)
    {
        sim.config.pools.push_back(
            config_of(spare_pool, {policy.spares, {1, 1}}, policy.config.name));
        sim.config.pools.back().spare = true;
        add_pool(sim, spare_pool, policy.spares, placer, true);
    }
    add_work(sim, work);
    fleet_sim::install_promise_checks(sim);
    sim.members.resize(1);
    sim.members[0].id = "e0";
    fleet_sim::set_roster(sim, {"e0"});
}

} // namespace camphorhitch::bench
