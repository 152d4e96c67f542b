/// \file
/// Disables single safeguards, so that tests can show that their checks detect it.
#pragma once

#include "host_reader.hpp"
#include "hosted_fakes/cluster.hpp"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace camphorhitch::hosted_tests
{

/// A safeguard that a test disables.
struct disabled_safeguard
{
    const char* name;                          ///< shown when no check detects it
    void (*prepare)(hosted_fakes::cluster& c); ///< disables the safeguard in a new cluster
};

/// Calls in flight, each with the callbacks that wait for its answer.
template <class Answer>
using calls_in_flight = std::map<std::string, std::vector<std::function<void(Answer)>>>;

/// Sends a call, or waits for the answer of the same call if it is in flight already.
template <class Answer>
void send_or_join(const std::shared_ptr<calls_in_flight<Answer>>& all,
    const std::string& key,
    const std::function<void(Answer)>& done,
    const std::function<void(std::function<void(Answer)>)>& send)
{
    auto& waiting = (*all)[key];
    waiting.push_back(done);
    if (waiting.size() > 1)
    {
        return;
    }
    send(
        [all, key](const Answer& it)
        {
            const auto callbacks = std::exchange((*all)[key], {});
            for (const auto& callback : callbacks)
            {
                callback(it);
            }
        });
}

/// Suppresses repeats of a poll or start whose call is in flight: a timely repeat would compensate
/// for the disabled safeguard.
inline void suppress_repeats(hosted_fakes::node& n)
{
    const auto starts = std::make_shared<calls_in_flight<ports::runner_answer>>();
    n.ctx.runners.start = [starts, real = n.ctx.runners.start](const ports::runner_ref& to,
                              const ports::start_order& o,
                              const std::function<void(ports::runner_answer)>& done)
    {
        send_or_join<ports::runner_answer>(starts,
            to.id + o.task + ' ' + std::to_string(o.run),
            done,
            [&](auto on_answer) { real(to, o, on_answer); });
    };
    const auto polls = std::make_shared<calls_in_flight<ports::poll_answer>>();
    n.ctx.runners.poll = [polls, real = n.ctx.runners.poll](const ports::runner_ref& to,
                             const ports::poll_order& o,
                             const std::function<void(ports::poll_answer)>& done)
    {
        send_or_join<ports::poll_answer>(
            polls, to.id, done, [&](auto on_answer) { real(to, o, on_answer); });
    };
}

/// Treats a start order without an answer as refused.
inline void treat_unanswered_as_refused(hosted_fakes::cluster& c)
{
    c.customize_node = [](hosted_fakes::node& n)
    {
        suppress_repeats(n);
        const auto start = n.ctx.runners.start;
        n.ctx.runners.start = [start](const ports::runner_ref& to,
                                  const ports::start_order& o,
                                  const std::function<void(ports::runner_answer)>& done)
        {
            start(to,
                o,
                [done](ports::runner_answer it)
                {
                    const bool unanswered = it.verdict == ports::runner_verdict::unknown;
                    it.verdict = unanswered ? ports::runner_verdict::no_room : it.verdict;
                    done(it);
                });
        };
    };
}

/// Applies \p change to the record at \p changed_key whenever a node reads it.
inline void change_record_reads(hosted_fakes::cluster& c,
    const std::string& changed_key,
    const std::function<void(std::optional<ports::stored_item>&)>& change)
{
    c.customize_node = [changed_key, change](hosted_fakes::node& n)
    {
        const auto get = n.ctx.store.get;
        n.ctx.store.get = [get, changed_key, change](const std::string& key,
                              ports::read_freshness fresh,
                              const std::function<void(ports::item_read)>& done)
        {
            get(key,
                fresh,
                [key, changed_key, change, done](ports::item_read it)
                {
                    if (key == changed_key)
                    {
                        change(it.item);
                    }
                    done(it);
                });
        };
    };
}

/// Applies \p change to the rows of the record of runners whenever a node reads it.
inline void change_runner_record_reads(
    hosted_fakes::cluster& c, const std::function<void(hosted::runner_records&)>& change)
{
    c.customize_node = [change](hosted_fakes::node& n)
    {
        n.ctx.store.range = [change, range = n.ctx.store.range](const std::string& prefix,
                                const std::string& after,
                                const std::function<void(ports::page_read)>& done)
        {
            range(prefix,
                after,
                [change, done](ports::page_read page)
                {
                    for (auto& it : page.items)
                    {
                        if (it.key.starts_with(hosted::runner_bucket_prefix))
                        {
                            auto rows = hosted::read_runners(it.value).value();
                            change(rows);
                            it.value = hosted::write_runners(rows);
                        }
                    }
                    done(page);
                });
        };
    };
}

/// Hides from a successor which runners the previous coordinator used.
inline void hide_runner_record(hosted_fakes::cluster& c)
{
    change_runner_record_reads(c, [](hosted::runner_records& all) { all.clear(); });
    c.customize_node = [hide = c.customize_node](hosted_fakes::node& n)
    {
        hide(n);
        suppress_repeats(n);
    };
}

/// Reports to a successor that no runner holds a lease any more.
inline void report_leases_as_ended(hosted_fakes::cluster& c)
{
    change_runner_record_reads(c,
        [](hosted::runner_records& all)
        {
            for (auto& [id, row] : all)
            {
                row.remaining_lease = core::millis{0};
            }
        });
    c.customize_node = [hide = c.customize_node](hosted_fakes::node& n)
    {
        hide(n);
        suppress_repeats(n);
    };
}

/// Hides from a successor what workspaces have used: a share forgotten over a take-over.
inline void hide_stored_shares(hosted_fakes::cluster& c)
{
    change_record_reads(c,
        hosted::demand_key,
        [](std::optional<ports::stored_item>& it)
        {
            const std::string key = "\"shares\"";
            const auto at = it ? it->value.find(key) : std::string::npos;
            if (at != std::string::npos)
            {
                it->value.replace(at, key.size(), "\"hidden\"");
            }
        });
}

/// Lets a node treat its leader lease as unlimited, and runners accept orders of any coordinator.
inline void ignore_lease_and_tokens(hosted_fakes::cluster& c)
{
    c.hosts.checks_fencing_tokens = false;
    c.customize_node = [](hosted_fakes::node& n)
    {
        n.ctx.boot_now = []
        {
            return core::mono_time{};
        };
    };
}

/// Acknowledges run ends at once, whether they are stored or not.
inline void acknowledge_before_storing(hosted_fakes::cluster& c)
{
    c.customize_node = [](hosted_fakes::node& n)
    {
        const auto poll = n.ctx.runners.poll;
        n.ctx.runners.poll = [poll](const ports::runner_ref& to,
                                 ports::poll_order o,
                                 const std::function<void(ports::poll_answer)>& done)
        {
            constexpr std::int64_t every = 1 << 20;
            o.acknowledged_through = every;
            poll(to, o, done);
        };
    };
}

/// Identifies a runner by its id alone, so that a restarted one counts as the same.
inline void ignore_start_times(hosted_fakes::cluster& c)
{
    c.hosts.state_start_times(false);
}

/// Lets one pool take all: whichever pool a host moves to, it arrives in pool p.
inline void let_one_pool_take_all(hosted_fakes::cluster& c)
{
    c.customize_node = [customize = c.customize_node](hosted_fakes::node& n)
    {
        if (customize)
        {
            customize(n);
        }
        n.ctx.machines.move = [move = n.ctx.machines.move](const std::string& machine,
                                  const std::string&,
                                  std::int64_t token,
                                  const std::function<void(ports::machine_verdict)>& done)
        {
            move(machine, "p", token, done);
        };
    };
}

inline constexpr disabled_safeguard disabled_safeguards[] = {
    {"unanswered starts count as refused", treat_unanswered_as_refused},
    {"the record of runners is hidden", hide_runner_record},
    {"leases are reported as ended", report_leases_as_ended},
    {"lease time and fencing tokens are ignored", ignore_lease_and_tokens},
    {"ends are acknowledged before they are stored", acknowledge_before_storing},
    {"restarted runners count as the same", ignore_start_times},
};

} // namespace camphorhitch::hosted_tests
