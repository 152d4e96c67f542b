/// \file
/// Faults of the machine service: lost or slow answers, and orders that are carried out late.
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
        : c_(c), random_(seed), unanswered_(c.hosts.machine_port(surviving_process_))
    {
    }

    /// Injects faults into the node's calls from now on.
    void wrap(hosted_fakes::node& n)
    {
        auto& m = n.ctx.machines;
        m.list = [this, &n, real = m.list](const std::function<void(ports::machine_list)>& done)
        {
            const auto slow =
                chance(slow_list_share) ? random_time(max_list_delay) : core::millis{0};
            real([&n, done, slow](const ports::machine_list& list)
                { n.ctx.time.after(slow, [done, list] { done(list); }); });
        };
        m.move = [this, &n, real = m.move](const std::string& machine,
                     const std::string& pool,
                     std::int64_t token,
                     const verdict_callback& done)
        {
            order(
                n,
                [=, this](bool is_answered, const verdict_callback& d)
                { carry_out_move(is_answered ? real : unanswered_.move, machine, pool, token, d); },
                done);
        };
        m.maintain = [this, &n, real = m.maintain](const std::string& machine,
                         std::int64_t wave,
                         std::int64_t token,
                         const verdict_callback& done)
        {
            order(
                n,
                [=, this](bool is_answered, const verdict_callback& d) {
                    carry_out_maintenance(
                        is_answered ? real : unanswered_.maintain, machine, wave, token, d);
                },
                done);
        };
    }

    double lost_answer_share = 0; ///< share of orders that are carried out without an answer
    double late_order_share = 0;  ///< share of orders carried out seconds later, without an answer
    double slow_list_share = 0;   ///< share of lists that are answered late

private:
    using verdict_callback = std::function<void(ports::machine_verdict)>;
    static constexpr core::millis call_timeout{1000};
    static constexpr core::millis max_late_delay{5000};
    static constexpr core::millis max_list_delay{1200};

    bool chance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < share;
    }

    core::millis random_time(core::millis max_time)
    {
        return core::millis{
            std::uniform_int_distribution<std::int64_t>(0, max_time.count())(random_)};
    }

    template <class CarryOut>
    void order(hosted_fakes::node& n, const CarryOut& carry_out, const verdict_callback& done)
    {
        const auto ignore_answer = [](ports::machine_verdict) {
        };
        if (chance(lost_answer_share))
        {
            carry_out(false, ignore_answer);
        }
        else if (chance(late_order_share))
        {
            c_.time.after(random_time(max_late_delay), [=] { carry_out(false, ignore_answer); });
        }
        else
        {
            carry_out(true, done);
            return;
        }
        n.ctx.time.after(call_timeout, [done] { done(ports::machine_verdict::unknown); });
    }

    /// Carries out a move; one that is already done is answered at once.
    template <class Move>
    void carry_out_move(const Move& move,
        const std::string& machine,
        const std::string& pool,
        std::int64_t token,
        const verdict_callback& done)
    {
        if (c_.hosts.machines.at(machine).pool == pool)
        {
            done(ports::machine_verdict::done);
            return;
        }
        move(machine, pool, token, done);
    }

    template <class Maintain>
    void carry_out_maintenance(const Maintain& maintain,
        const std::string& machine,
        std::int64_t wave,
        std::int64_t token,
        const verdict_callback& done)
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
    daemon_fakes::process surviving_process_; ///< carries out orders after their sender has died
    ports::machines unanswered_;
    std::map<std::string, std::set<std::int64_t>> maintained_;
};

} // namespace camphorhitch::hosted_tests
