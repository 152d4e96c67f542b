/// \file
/// Virtual time, a random generator and a network between hosts that delays, duplicates, reorders
/// and loses messages.
#pragma once

#include "core/time.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace camphorhitch::claims::testing
{

using core::millis;
using core::mono_time;

/// Whether a process runs, and whether it is paused.
struct process_condition
{
    bool alive = true;
    mono_time paused_until{};
};

class network_simulator
{
public:
    explicit network_simulator(std::uint64_t seed) : random_{seed}
    {
    }

    int random_below(int below)
    {
        return static_cast<int>(random_() % static_cast<std::uint64_t>(std::max(below, 1)));
    }

    bool chance(int percent)
    {
        return random_below(100) < percent;
    }

    mono_time now() const
    {
        return now_;
    }

    /// \param on the process that runs the event; null: the event happens outside of all processes.
    void schedule(millis delay, std::function<void()> run, const process_condition* on = nullptr)
    {
        events_.push({now_ + delay, ++order_, on, std::move(run)});
    }

    /// \return the number of events that processes handled before \p end.
    std::uint64_t run_until(mono_time end)
    {
        std::uint64_t handled = 0;
        while (!events_.empty() && events_.top().at < end)
        {
            auto next = events_.top();
            events_.pop();
            now_ = next.at;
            if (next.on != nullptr && next.on->paused_until > now_)
            {
                // After a pause, the events that have accumulated are handled in any order.
                next.at = next.on->paused_until + millis{random_below(4)};
                events_.push(std::move(next));
            }
            else if (next.on == nullptr || next.on->alive)
            {
                handled += next.on != nullptr ? 1 : 0;
                next.run();
            }
        }
        return handled;
    }

    millis delay()
    {
        return millis{
            chance(bad_network_until > now_ ? 30 : 3) ? random_below(1500) : 1 + random_below(5)};
    }

    bool is_lost(const std::string& from, const std::string& to)
    {
        const bool across_split = split_until > now_ && side_of(from) != side_of(to);
        return across_split || is_cut(peers_cut, from) || is_cut(peers_cut, to) ||
               chance(bad_network_until > now_ ? 15 : 1);
    }

    bool is_cut_from_store(const std::string& host) const
    {
        const bool on_split_side = split_until > now_ && split_store && side_of(host) == 0;
        return on_split_side || is_cut(store_cut, host);
    }

    std::map<std::string, mono_time> peers_cut; ///< by host, end of the cut
    std::map<std::string, mono_time> store_cut;
    mono_time split_until{};
    bool split_store = false; ///< the hosts on one side have lost the store, too
    mono_time bad_network_until{};

private:
    struct event
    {
        mono_time at{};
        std::uint64_t order = 0;
        const process_condition* on = nullptr;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return std::pair{at, order} > std::pair{other.at, other.order};
        }
    };

    static int side_of(const std::string& host)
    {
        return static_cast<int>(std::hash<std::string>{}(host) % 2);
    }

    bool is_cut(const std::map<std::string, mono_time>& cuts, const std::string& host) const
    {
        const auto it = cuts.find(host);
        return it != cuts.end() && it->second > now_;
    }

    std::mt19937_64 random_;
    mono_time now_{};
    std::uint64_t order_ = 0;
    std::priority_queue<event> events_;
};

} // namespace camphorhitch::claims::testing
