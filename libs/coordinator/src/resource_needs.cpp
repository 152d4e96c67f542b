#include "coordinator/resource_needs.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <tuple>

namespace camphorhitch::coordinator
{

namespace
{

/// Number of hosts that may be added to a pool; more than any fleet has.
constexpr int unlimited_hosts = 1 << 29;
/// Deviation of sums of fractions that is not counted as a further host.
constexpr double rounding = 1e-9;

auto amounts(const workflow::resources& r)
{
    return std::array{r.cpu, r.memory_mb, r.gpus};
}

/// \return the share of each resource of the host that \p need takes; 0 for a resource of which the
/// host has nothing.
std::array<double, 3> shares_of_host(
    const workflow::resources& need, const workflow::resources& host)
{
    const auto share = [](std::int64_t used, std::int64_t of)
    {
        return of > 0 ? static_cast<double>(used) / static_cast<double>(of) : 0.0;
    };
    return {share(need.cpu, host.cpu),
        share(need.memory_mb, host.memory_mb),
        share(need.gpus, host.gpus)};
}

double dominant_share(const workflow::resources& need, const workflow::resources& host)
{
    const auto shares = shares_of_host(need, host);
    return *std::max_element(shares.begin(), shares.end());
}

/// Hosts with equal free capacity.
struct host_bin
{
    workflow::resources free;
    int hosts = 0;
    bool used = false; ///< tasks were placed on them
};

using host_bins = std::vector<host_bin>;

/// Takes \p taken from \p hosts hosts of the bin at \p index.
void take(host_bins& bins, std::size_t index, int hosts, const workflow::resources& taken)
{
    if (hosts <= 0)
    {
        return;
    }
    auto bin = bins[index];
    bin.hosts = hosts;
    bin.used = true;
    bin.free -= taken;
    bins[index].hosts -= hosts;
    if (bins[index].hosts == 0)
    {
        bins[index] = bin;
    }
    else
    {
        bins.push_back(bin);
    }
}

/// \return how many tasks of the group fit into \p free, at most \p left.
std::int64_t tasks_that_fit(
    const workflow::resources& free, const task_group& group, std::int64_t left)
{
    auto out = group.max_per_host > 0 ? std::min<std::int64_t>(left, group.max_per_host) : left;
    for (std::size_t i = 0; i < amounts(free).size(); ++i)
    {
        const auto each = amounts(group.each)[i];
        out = each > 0 ? std::min(out, amounts(free)[i] / each) : out;
    }
    return out;
}

/// Places whole tasks, on used hosts first. The hosts of a bin receive equal numbers of tasks, so
/// the work doesn't depend on the number of tasks or hosts.
void place_tasks(host_bins& bins, const task_group& group)
{
    auto left = static_cast<std::int64_t>(std::ceil(group.tasks - rounding));
    for (const bool used : {true, false})
    {
        const auto present = bins.size();
        for (std::size_t i = 0; i < present && left > 0; ++i)
        {
            const auto n = bins[i].used == used ? tasks_that_fit(bins[i].free, group, left) : 0;
            if (n <= 0)
            {
                continue;
            }
            const auto hosts = bins[i].hosts;
            const auto filled = static_cast<int>(std::min<std::int64_t>(hosts, left / n));
            const auto rest = filled < hosts ? left - filled * n : 0;
            left -= filled * n + rest;
            // The partly filled host is taken first: the bin at i then still has the capacity that
            // the others need.
            if (rest > 0)
            {
                take(bins, i, 1, group.each * rest);
            }
            take(bins, i, filled, group.each * n);
        }
    }
}

/// \return the share of \p load that fits into \p free when it is divided evenly.
double share_that_fits(const workflow::resources& free, const workflow::resources& load)
{
    double out = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < amounts(free).size(); ++i)
    {
        const auto all = static_cast<double>(amounts(load)[i]);
        out = all > 0 ? std::min(out, static_cast<double>(amounts(free)[i]) / all) : out;
    }
    return out;
}

workflow::resources part_of(const workflow::resources& load, double share)
{
    const auto part = [share](std::int64_t amount)
    {
        return static_cast<std::int64_t>(static_cast<double>(amount) * share);
    };
    return {part(load.cpu), part(load.memory_mb), part(load.gpus)};
}

/// Places a load of many small tasks, each host receiving the same mix of resources: cores that are
/// free on a host without memory take no task.
void place_load(host_bins& bins, const workflow::resources& load)
{
    double left = load == workflow::resources{} ? 0 : 1;
    for (const bool used : {true, false})
    {
        const auto present = bins.size();
        for (std::size_t i = 0; i < present && left > rounding; ++i)
        {
            const double each = bins[i].used == used ? share_that_fits(bins[i].free, load) : 0;
            if (each <= 0)
            {
                continue;
            }
            const double wanted = std::ceil(left / each - rounding);
            const auto hosts = static_cast<int>(std::min<double>(bins[i].hosts, wanted));
            const auto taken = std::min(left, each * hosts);
            take(bins, i, hosts, part_of(load, taken / hosts));
            left -= taken;
        }
    }
}

/// Need of a pool, divided by how it is counted.
struct divided_need
{
    std::vector<task_group> tasks; ///< placed as whole tasks
    workflow::resources load;      ///< many small tasks
    workflow::resources gpu_load;  ///< many small tasks that require accelerators
};

/// \return \p each rounded up to sixteenths of the host, to bound the number of different groups.
workflow::resources round_up(const workflow::resources& each, const workflow::resources& host)
{
    constexpr std::int64_t parts = 16;
    const auto rounded = [](std::int64_t amount, std::int64_t all)
    {
        const auto unit = std::max(all / parts, std::int64_t{1});
        const auto up = (amount + unit - 1) / unit * unit;
        return amount <= all ? std::min(up, all) : amount;
    };
    return {rounded(each.cpu, host.cpu),
        rounded(each.memory_mb, host.memory_mb),
        rounded(each.gpus, host.gpus)};
}

/// \return whether a task fits on some host of the shapes.
bool fits_some_host(const workflow::resources& each, const host_shapes& shapes)
{
    const auto fits = [&](const workflow::resources& host)
    {
        return tasks_that_fit(host, {each, 1, 0}, 1) > 0;
    };
    return std::any_of(shapes.hosts.begin(),
               shapes.hosts.end(),
               [&](const host_shape& it) { return fits(it.capacity); }) ||
           std::any_of(shapes.further.begin(), shapes.further.end(), fits);
}

/// Adds the batch tasks. Those larger than half of a host are counted as whole tasks: two of them
/// don't fit together, although the sums over the pool do.
void divide_batch(const pool_need& need, const host_shapes& shapes, divided_need& to)
{
    const auto& host = shapes.further.front();
    std::vector<task_group> large;
    if (need.batch_tasks.empty())
    {
        to.load = need.batch;
    }
    for (const auto& it : need.batch_tasks)
    {
        if (!fits_some_host(it.each, shapes))
        {
            continue;
        }
        constexpr double half = 0.5;
        if (dominant_share(it.each, host) > half)
        {
            large.push_back({round_up(it.each, host), it.tasks, 0});
            continue;
        }
        auto& load = it.each.gpus > 0 ? to.gpu_load : to.load;
        load += part_of(it.each, it.tasks);
    }
    std::sort(large.begin(),
        large.end(),
        [](const auto& a, const auto& b) { return amounts(a.each) < amounts(b.each); });
    for (std::size_t i = 0; i < large.size(); ++i)
    {
        const bool same = i > 0 && large[i].each == large[i - 1].each;
        if (same)
        {
            to.tasks.back().tasks += large[i].tasks;
        }
        else
        {
            to.tasks.push_back(large[i]);
        }
    }
}

divided_need divide_need(const pool_need& need, const host_shapes& shapes)
{
    divided_need out;
    divide_batch(need, shapes, out);
    std::copy_if(need.long_running_tasks.begin(),
        need.long_running_tasks.end(),
        std::back_inserter(out.tasks),
        [&](const task_group& it) { return fits_some_host(it.each, shapes); });
    const auto& host = shapes.further.front();
    const auto key = [&](const task_group& it)
    {
        return std::tuple(-dominant_share(it.each, host), amounts(it.each), it.max_per_host);
    };
    std::sort(out.tasks.begin(),
        out.tasks.end(),
        [&](const task_group& a, const task_group& b) { return key(a) < key(b); });
    return out;
}

host_bins make_bins(const host_shapes& shapes)
{
    host_bins out;
    for (const auto& it : shapes.hosts)
    {
        out.push_back({it.capacity, it.hosts, false});
    }
    for (const auto& it : shapes.further)
    {
        out.push_back({it, unlimited_hosts, false});
    }
    return out;
}

} // namespace

int hosts_needed(const pool_need& need, const host_shapes& shapes)
{
    const auto load = divide_need(need, shapes);
    auto bins = make_bins(shapes);
    for (const auto& it : load.tasks)
    {
        place_tasks(bins, it);
    }
    place_load(bins, load.gpu_load);
    place_load(bins, load.load);
    int hosts = 0;
    for (const auto& it : bins)
    {
        hosts += it.used ? it.hosts : 0;
    }
    return hosts;
}

need_summary summarize_need(const pool_need& need, const host_shapes& shapes)
{
    need_summary out{need.long_running, resource_kind::cores};
    out.total += need.batch;
    if (shapes.further.empty())
    {
        return out;
    }
    const auto load = divide_need(need, shapes);
    auto sum = load.load;
    sum += load.gpu_load;
    for (const auto& it : load.tasks)
    {
        sum += part_of(it.each, it.tasks);
    }
    const auto shares = shares_of_host(sum, shapes.further.front());
    const auto highest = std::max_element(shares.begin(), shares.end()) - shares.begin();
    out.bound_by = static_cast<resource_kind>(highest);
    return out;
}

} // namespace camphorhitch::coordinator
