#include "run_log.hpp"

#include "core/rendezvous.hpp"

#include <utility>

namespace camphorhitch::standin_target
{

std::size_t record_run(run_log& l, const std::string& id, run r)
{
    if (id.empty())
    {
        ++l.without_id;
        return 1;
    }
    const auto [it, is_first] = l.first_runs.try_emplace(core::stable_hash(id), r);
    if (is_first)
    {
        return 1;
    }
    auto& all = l.duplicates[id];
    if (all.empty())
    {
        all.push_back(it->second);
    }
    all.push_back(std::move(r));
    return all.size();
}

std::vector<run> runs_of(const run_log& l, const std::string& id)
{
    const auto twice = l.duplicates.find(id);
    if (twice != l.duplicates.end())
    {
        return twice->second;
    }
    const auto once = l.first_runs.find(core::stable_hash(id));
    return once == l.first_runs.end() ? std::vector<run>{} : std::vector<run>{once->second};
}

} // namespace camphorhitch::standin_target
