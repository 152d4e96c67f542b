#include "coordinator/fencing_tokens.hpp"

#include "coordinator/intake.hpp"
#include "ports/incarnation.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

std::int64_t newest_token(const fleet& f)
{
    return std::max(f.newest_token, f.term_start_revision);
}

} // namespace

void record_own_write(fleet& f, ports::revision revision)
{
    f.newest_token = std::max(f.newest_token, revision);
}

std::int64_t fencing_token_for(const fleet& f, const std::string& host)
{
    const auto found = f.raised_tokens.find(ports::runner_of(host));
    return found == f.raised_tokens.end() ? f.term_start_revision : found->second;
}

void expect_earlier_calls(const fleet& f, host_entry& h, core::mono_time now)
{
    h.earlier_calls_token = newest_token(f);
    h.earlier_leases_end_at = now + max_lease_time(f);
}

void raise_fencing_token(fleet& f, const host_entry& h)
{
    if (h.earlier_calls_token)
    {
        f.raised_tokens[std::string(ports::runner_of(h.ref.id))] = newest_token(f);
    }
}

void settle_earlier_calls(const fleet& f, host_entry& h, task_events& out)
{
    if (!h.earlier_calls_token)
    {
        return;
    }
    const auto token = fencing_token_for(f, h.ref.id);
    if (token > *h.earlier_calls_token)
    {
        out.push_back({"earlier_calls_refused",
            "",
            0,
            h.ref.id,
            "earlier_token=" + std::to_string(*h.earlier_calls_token) +
                " token=" + std::to_string(token) + " clock_ms=" + std::to_string(h.clock_ms) +
                " lease_until_ms=" + std::to_string(h.lease_until_ms)});
        h.earlier_calls_token.reset();
    }
}

bool has_earlier_incarnation(const fleet& f, const std::string& host)
{
    const std::string runner{ports::runner_of(host)};
    auto it = f.removed_hosts.lower_bound(runner + '/');
    while (it != f.removed_hosts.end() && it->first == host)
    {
        ++it;
    }
    return it != f.removed_hosts.end() && ports::is_same_runner(it->first, runner);
}

ports::runner_answer without_own_refusal(
    const fleet& f, const std::string& host, std::int64_t token, ports::runner_answer answer)
{
    if (answer.verdict == ports::runner_verdict::fenced && fencing_token_for(f, host) > token)
    {
        answer.verdict = ports::runner_verdict::unhealthy;
    }
    return answer;
}

} // namespace camphorhitch::coordinator
