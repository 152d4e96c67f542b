#include "takeover_lease_renewer.hpp"

#include "coordinator/answers.hpp"
#include "coordinator/fencing_tokens.hpp"
#include "coordinator/intake.hpp"

namespace camphorhitch::hosted
{

takeover_lease_renewer::takeover_lease_renewer(term& t) : term_(t)
{
}

void takeover_lease_renewer::start()
{
    renew_all();
}

void takeover_lease_renewer::stop()
{
    stopped_ = true;
}

void takeover_lease_renewer::renew_all()
{
    if (stopped_)
    {
        return;
    }
    for (const auto& [id, h] : term_.fleet.hosts)
    {
        if (h.inherited && h.recorded && !in_flight_.contains(id))
        {
            renew(id);
        }
    }
    term_.ctx.time.after(
        term_.settings.takeover_renewal_interval, term_.guarded([this] { renew_all(); }));
}

void takeover_lease_renewer::renew(const std::string& host)
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
    in_flight_.insert(host);
    term_.ctx.runners.poll(h.ref,
        order,
        term_.guarded(
            [this, host, token = order.fencing_token](const ports::poll_answer& a) {
                handle_answer(
                    host, coordinator::without_own_refusal(term_.fleet, host, token, a.call));
            }));
}

void takeover_lease_renewer::handle_answer(
    const std::string& host, const ports::runner_answer& answer)
{
    in_flight_.erase(host);
    const bool first = is_unresponsive(host);
    coordinator::task_events out;
    const bool still_leads =
        coordinator::handle_renewal_answer(term_.fleet, host, answer, term_.now(), out);
    term_.log(out);
    if (!still_leads)
    {
        term_.step_down_fenced("runner " + host);
        return;
    }
    if (first && !is_unresponsive(host))
    {
        renew(host); // a lease can be expressed now that the runner's clock is known
    }
}

bool takeover_lease_renewer::is_unresponsive(const std::string& host) const
{
    const auto found = term_.fleet.hosts.find(host);
    return found == term_.fleet.hosts.end() || !found->second.reachable;
}

} // namespace camphorhitch::hosted
