/// \file
/// Safeguards taken out one at a time, so that a test can show that its checks see them gone.
#pragma once

#include "host_reader.hpp"
#include "hosted_fakes/cluster.hpp"

namespace camphorhitch::hosted_tests
{

/// Takes a safeguard out, so that a test can show that the checks see it gone.
struct planted_fault
{
    const char* name;
    void (*prepare)(hosted_fakes::cluster& c);
};

/// An order without an answer is taken for refused.
inline void trust_silence(hosted_fakes::cluster& c)
{
    c.plant = [](hosted_fakes::node& n)
    {
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
