/// \file
/// The machines' service with answers that are lost or slow, and orders that are carried out late.
#pragma once

#include "hosted_fakes/cluster.hpp"

#include <map>
#include <random>
#include <set>
#include <string>

namespace camphorhitch::hosted_tests
{

class machine_faults
{
public:
    machine_faults(hosted_fakes::cluster& c, std::uint64_t seed)
        : c_(c), random_(seed), unheard_(c.hosts.machine_port(ghost_))
    {
    }

    /// Lets the node's calls fail from now on.
    void wrap(hosted_fakes::node& n)
    {
        auto& m = n.ctx.machines;
        m.list = [this, &n, real = m.list](const std::function<void(ports::machine_list)>& done)
        {
            const auto slow = chance(lists_slow) ? some_time(longest_list) : core::millis{0};
            real([&n, done, slow](const ports::machine_list& list)
                { n.ctx.time.after(slow, [done, list] { done(list); }); });
        };
        m.move = [this, &n, real = m.move](const std::string& machine,
                     const std::string& pool,
                     std::int64_t token,
                     const verdict_taker& done)
        {
            order(
                n,
                [=, this](bool heard, const verdict_taker& d)
                { carry_out_move(heard ? real : unheard_.move, machine, pool, token, d); },
                done);
        };
        m.maintain = [this, &n, real = m.maintain](const std::string& machine,
                         std::int64_t wave,
                         std::int64_t token,
                         const verdict_taker& done)
        {
            order(
                n,
                [=, this](bool heard, const verdict_taker& d)
                { carry_out_upkeep(heard ? real : unheard_.maintain, machine, wave, token, d); },
                done);
        };
    }

    double answers_lost = 0; ///< share of orders that are carried out, unheard
    double orders_late =
        0;                 ///< share of orders without an answer that are carried out seconds later
    double lists_slow = 0; ///< share of lists that are told late

private:
    using verdict_taker = std::function<void(ports::machine_verdict)>;
    static constexpr core::millis call_timeout{1000};
    static constexpr core::millis longest_late{5000};
    static constexpr core::millis longest_list{1200};

    bool chance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < share;
    }

    core::millis some_time(core::millis most)
    {
        return core::millis{std::uniform_int_distribution<std::int64_t>(0, most.count())(random_)};
    }

    template <class CarryOut>
    void order(hosted_fakes::node& n, const CarryOut& carry_out, const verdict_taker& done)
    {
        const auto unheard = [](ports::machine_verdict) {
        };
        if (chance(answers_lost))
        {
            carry_out(false, unheard);
        }
        else if (chance(orders_late))
        {
            c_.time.after(some_time(longest_late), [=] { carry_out(false, unheard); });
        }
        else
        {
            carry_out(true, done);
            return;
        }
        n.ctx.time.after(call_timeout, [done] { done(ports::machine_verdict::unknown); });
    }

    /// An operation that is done already is answered at once.
    template <class Move>
    void carry_out_move(const Move& move,
        const std::string& machine,
        const std::string& pool,
        std::int64_t token,
        const verdict_taker& done)
    {
        if (c_.hosts.machines.at(machine).pool == pool)
        {
            done(ports::machine_verdict::done);
            return;
        }
        move(machine, pool, token, done);
    }

    template <class Maintain>
    void carry_out_upkeep(const Maintain& maintain,
        const std::string& machine,
        std::int64_t wave,
        std::int64_t token,
        const verdict_taker& done)
    {
        if (maintained_[machine].contains(wave))
        {
            done(ports::machine_verdict::done);
            return;
        }
        maintain(machine,
            wave,
            token,
            [this, machine, wave, done](ports::machine_verdict v)
            {
                if (v == ports::machine_verdict::done)
                {
                    maintained_[machine].insert(wave);
                }
                done(v);
            });
    }

    hosted_fakes::cluster& c_;
    std::mt19937_64 random_;
    daemon_fakes::process ghost_; ///< sends what outlives its caller
    ports::machines unheard_;
    std::map<std::string, std::set<std::int64_t>> maintained_;
};

} // namespace camphorhitch::hosted_tests
