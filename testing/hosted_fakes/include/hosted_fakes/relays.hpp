/// \file
/// Calls to runners that other nodes relay, as through the coordinator's pool of relays.
#pragma once

#include "core/rendezvous.hpp"
#include "hosted_fakes/cluster.hpp"

namespace camphorhitch::hosted_fakes
{

/// Relays of one coordinator: every other node whose process lives. A paused relay keeps the orders
/// and sends them, however old they are, once it continues; a relay that dies loses them.
class relayed_runners
{
public:
    /// \param c, own must outlive this object
    relayed_runners(cluster& c, node& own) : c_(c), own_(own)
    {
    }

    ports::runners port();

private:
    /// Time without an answer after which the pool stops using a relay.
    static constexpr core::millis unresponsive_timeout{700};
    /// Time after which any order without an answer has failed.
    static constexpr core::millis order_timeout{1900};

    static ports::runner_answer lost(ports::runner_answer)
    {
        return {};
    }
    static ports::poll_answer lost(ports::poll_answer)
    {
        return {};
    }

    node* relay_of(const ports::runner_ref& to)
    {
        node* best = nullptr;
        double best_score = 0;
        for (auto& it : c_.nodes)
        {
            const bool usable = !it.process.dead && !abandoned_.contains(it.ctx.member);
            if (!usable || &it == &own_)
            {
                continue;
            }
            const double score = core::weighted_score(to.id, it.ctx.member, 1);
            if (best == nullptr || score > best_score)
            {
                best = &it;
                best_score = score;
            }
        }
        return best;
    }

    template <class Answer, class Member>
    auto order(Member member)
    {
        return
            [this, member](
                const ports::runner_ref& to, const auto& o, const std::function<void(Answer)>& done)
        {
            auto* const relay = relay_of(to);
            if (relay == nullptr)
            {
                (c_.hosts.runner_port(own_.process).*member)(to, o, done);
                return;
            }
            const auto answered = std::make_shared<bool>(false);
            const auto once = [this, answered, done](const Answer& a)
            {
                own_.process.enter(
                    [=]
                    {
                        if (!std::exchange(*answered, true))
                        {
                            done(a);
                        }
                    });
            };
            const auto call = [this, relay, member, to, o, once]
            {
                (c_.hosts.runner_port(relay->process).*member)(to,
                    o,
                    [this, once](const Answer& a)
                    { c_.time.after(daemon_fakes::wire_delay, [=] { once(a); }); });
            };
            c_.time.after(daemon_fakes::wire_delay, [relay, call] { relay->process.enter(call); });
            c_.time.after(unresponsive_timeout,
                [this, relay, answered, once]
                {
                    const bool unresponsive = relay->process.dead || relay->process.paused;
                    if (!*answered && unresponsive)
                    {
                        abandon(relay->ctx.member);
                        once(lost(Answer{}));
                    }
                });
            c_.time.after(order_timeout, [once] { once(lost(Answer{})); });
        };
    }

    void abandon(const std::string& member)
    {
        abandoned_.insert(member);
        constexpr core::millis abandon_time{1000};
        c_.time.after(abandon_time, [this, member] { abandoned_.erase(member); });
    }

    cluster& c_;
    node& own_;
    std::set<std::string> abandoned_;
};

inline ports::runners relayed_runners::port()
{
    ports::runners out;
    out.start = order<ports::runner_answer>(&ports::runners::start);
    out.stop = order<ports::runner_answer>(&ports::runners::stop);
    out.throttle = order<ports::runner_answer>(&ports::runners::throttle);
    out.poll = order<ports::poll_answer>(&ports::runners::poll);
    return out;
}

} // namespace camphorhitch::hosted_fakes
