#include "lease_bridge.hpp"

#include "coordinator/answers.hpp"
#include "coordinator/intake.hpp"

namespace camphorhitch::hosted
{

lease_bridge::lease_bridge(term& t) : term_(t)
{
}

void lease_bridge::start()
{
    renew_all();
}

void lease_bridge::stop()
{
    stopped_ = true;
}

void lease_bridge::renew_all()
{
    if (stopped_)
    {
        return;
    }
    for (const auto& [id, h] : term_.fleet.hosts)
    {
        if (h.inherited && h.recorded && !under_way_.contains(id))
        {
            renew(id);
        }
    }
    term_.ctx.time.after(term_.settings.bridge_every, term_.guarded([this] { renew_all(); }));
}

void lease_bridge::renew(const std::string& host)
{
    const auto found = term_.fleet.hosts.find(host);
    if (stopped_ || found == term_.fleet.hosts.end() || !term_.lead->holds_lease())
    {
        return;
    }
    auto& h = found->second;
    const auto order =
        term_.grant_lease(h, coordinator::lease_end_for(term_.fleet, h, term_.now()));
    h.polled_at = term_.now();
    under_way_.insert(host);
    term_.ctx.runners.poll(
        h.ref, order, term_.guarded([this, host](const ports::poll_answer& a) { take(host, a); }));
}

void lease_bridge::take(const std::string& host, const ports::poll_answer& a)
{
    under_way_.erase(host);
    const bool first = is_silent(host);
    coordinator::task_events out;
    const bool owner = coordinator::contact_answered(term_.fleet, host, a.call, term_.now(), out);
    term_.log(out);
    if (!owner)
    {
        term_.fenced_by("runner " + host);
        return;
    }
    if (first && !is_silent(host))
    {
        renew(host); // its clock is known now, without which no lease can be named
    }
}

bool lease_bridge::is_silent(const std::string& host) const
{
    const auto found = term_.fleet.hosts.find(host);
    return found == term_.fleet.hosts.end() || !found->second.reachable;
}

} // namespace camphorhitch::hosted
