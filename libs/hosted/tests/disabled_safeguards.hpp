/// \file
/// Safeguards taken out one at a time, so that a test can show that its checks see them gone.
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

/// Takes a safeguard out, so that a test can show that the checks see it gone.
struct planted_fault
{
    const char* name;
    void (*prepare)(hosted_fakes::cluster& c);
};

/// Calls that are under way, with all who wait for their answers.
template <class Answer>
using calls_under_way = std::map<std::string, std::vector<std::function<void(Answer)>>>;

/// Sends a call, or lets it wait for the answer of the same one that is under way.
template <class Answer>
void send_or_join(const std::shared_ptr<calls_under_way<Answer>>& all,
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
            const auto told = std::exchange((*all)[key], {});
            for (const auto& tell : told)
            {
                tell(it);
            }
        });
}

/// Nothing is asked or ordered again before its call has ended: a repeat in time would cover for
/// the safeguard that is missing.
inline void take_repeats_out(hosted_fakes::node& n)
{
    const auto starts = std::make_shared<calls_under_way<ports::runner_answer>>();
    n.ctx.runners.start = [starts, real = n.ctx.runners.start](const ports::runner_ref& to,
                              const ports::start_order& o,
                              const std::function<void(ports::runner_answer)>& done)
    {
        send_or_join<ports::runner_answer>(starts,
            to.id + o.task + ' ' + std::to_string(o.run),
            done,
            [&](auto take) { real(to, o, take); });
    };
    const auto polls = std::make_shared<calls_under_way<ports::poll_answer>>();
    n.ctx.runners.poll = [polls, real = n.ctx.runners.poll](const ports::runner_ref& to,
                             const ports::poll_order& o,
                             const std::function<void(ports::poll_answer)>& done)
    {
        send_or_join<ports::poll_answer>(polls, to.id, done, [&](auto take) { real(to, o, take); });
    };
}

/// An order without an answer is taken for refused.
inline void trust_silence(hosted_fakes::cluster& c)
{
    c.plant = [](hosted_fakes::node& n)
    {
        take_repeats_out(n);
        const auto start = n.ctx.runners.start;
        n.ctx.runners.start = [start](const ports::runner_ref& to,
                                  const ports::start_order& o,
                                  const std::function<void(ports::runner_answer)>& done)
        {
            start(to,
                o,
                [done](ports::runner_answer it)
                {
                    const bool silent = it.verdict == ports::runner_verdict::unknown;
                    it.verdict = silent ? ports::runner_verdict::no_room : it.verdict;
                    done(it);
                });
        };
    };
}

/// Nodes read the record of runners as \p change leaves it.
inline void change_runners_read(
    hosted_fakes::cluster& c, const std::function<void(std::optional<ports::stored_item>&)>& change)
{
    c.plant = [change](hosted_fakes::node& n)
    {
        const auto get = n.ctx.store.get;
        n.ctx.store.get = [get, change](const std::string& key,
                              ports::read_freshness fresh,
                              const std::function<void(ports::item_read)>& done)
        {
            get(key,
                fresh,
                [key, change, done](ports::item_read it)
                {
                    if (key == hosted::runners_key)
                    {
                        change(it.item);
                    }
                    done(it);
                });
        };
    };
}

/// A successor does not learn which runners the former owner used.
inline void hide_runners(hosted_fakes::cluster& c)
{
    change_runners_read(c, [](std::optional<ports::stored_item>& it) { it.reset(); });
    c.plant = [hide = c.plant](hosted_fakes::node& n)
    {
        hide(n);
        take_repeats_out(n);
    };
}

/// A successor is told that no runner holds a lease any more.
inline void deny_leases(hosted_fakes::cluster& c)
{
    change_runners_read(c,
        [](std::optional<ports::stored_item>& it)
        {
            if (!it)
            {
                return;
            }
            auto all = hosted::read_runners(it->value).value();
            for (auto& [id, row] : all)
            {
                row.rest = core::millis{0};
            }
            it->value = hosted::write_runners(all);
        });
    c.plant = [hide = c.plant](hosted_fakes::node& n)
    {
        hide(n);
        take_repeats_out(n);
    };
}

/// A node trusts its lease for ever, and runners take orders of any owner.
inline void ignore_time_and_tokens(hosted_fakes::cluster& c)
{
    c.hosts.checks_fences = false;
    c.plant = [](hosted_fakes::node& n)
    {
        n.ctx.boot_now = []
        {
            return core::mono_time{};
        };
    };
}

/// Ends are acknowledged at once, whether they are stored or not.
inline void acknowledge_early(hosted_fakes::cluster& c)
{
    c.plant = [](hosted_fakes::node& n)
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

inline constexpr planted_fault planted_faults[] = {
    {"silence is trusted", trust_silence},
    {"runners are hidden", hide_runners},
    {"leases are denied", deny_leases},
    {"time and tokens are ignored", ignore_time_and_tokens},
    {"ends are acknowledged early", acknowledge_early},
};

} // namespace camphorhitch::hosted_tests
