#include "host_reader.hpp"

#include "coordinator/intake.hpp"

#include <algorithm>

namespace camphorhitch::hosted
{

host_reader::host_reader(term& t)
    : term_(t), record_(t), list_(t,
                                {[this] { apply_list(); },
                                    [this](const std::vector<listing_change>& changes)
                                    {
                                        apply_changes(changes);
                                    }})
{
}

void host_reader::start(std::function<void()> done)
{
    record_.start(
        [this, done = std::move(done)]
        {
            done();
            list_.start();
            check_liveness();
        });
}

void host_reader::set_pools(const std::vector<pool_settings>& pools)
{
    list_.set_pools(pools);
}

void host_reader::update_record(const std::string& host)
{
    record_.update(host);
}

void host_reader::apply_list()
{
    changed_since_full_pass_ = false;
    coordinator::task_events out;
    coordinator::begin_host_list(term_.fleet, term_.now());
    list_.for_each_usable([&](const coordinator::host_listing& it)
        { coordinator::apply_host_listing(term_.fleet, it, term_.now(), out); });
    term_.log(out);
    update_host_liveness();
}

void host_reader::apply_changes(const std::vector<listing_change>& changes)
{
    changed_since_full_pass_ = true;
    coordinator::task_events out;
    for (const auto& it : changes)
    {
        if (it.before && (!it.after || it.before->ref.id != it.after->ref.id))
        {
            coordinator::remove_host_listing(term_.fleet, *it.before);
        }
        if (it.after)
        {
            coordinator::apply_host_listing(term_.fleet, *it.after, term_.now(), out);
            record_.update(it.after->ref.id);
        }
    }
    term_.log(out);
    term_.request_plan();
}

/// Runs at liveness_check_interval, since no event reports that a host has become unresponsive. Nor
/// does an event report that an entry of the list may be applied now that was set aside before: one
/// of another incarnation, or, once ended_runner_retention has passed, one of a runner that was
/// taken for ended.
void host_reader::check_liveness()
{
    const auto reconsidered_before = term_.now() - term_.fleet.settings.ended_runner_retention;
    const auto& ended = term_.fleet.ended_runners;
    const bool any_reconsidered = std::any_of(ended.begin(),
        ended.end(),
        [&](const auto& it) { return it.second < reconsidered_before; });
    if (changed_since_full_pass_ || (any_reconsidered && list_.has_entries()))
    {
        apply_list();
    }
    else
    {
        update_host_liveness();
    }
    term_.ctx.time.after(
        term_.settings.liveness_check_interval, term_.guarded([this] { check_liveness(); }));
}

void host_reader::update_host_liveness()
{
    coordinator::task_events out;
    term_.expire_hosts(out);
    term_.log(out);
    record_.update_all();
    term_.request_plan();
}

} // namespace camphorhitch::hosted
