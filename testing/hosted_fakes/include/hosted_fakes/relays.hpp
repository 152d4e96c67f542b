/// \file
/// Calls to runners through other nodes, as the coordinator's pool of relays makes them.
#pragma once

#include "core/rendezvous.hpp"
#include "hosted_fakes/cluster.hpp"

namespace camphorhitch::hosted_fakes
{

/// One coordinator's relays: every other node that lives. A relay that is paused keeps the orders
/// and carries them out, old as they are, when it goes on; one that dies loses them.
class relayed_runners
{
public:
    /// \p c and \p own outlive it
    relayed_runners(cluster& c, node& own) : c_(c), own_(own)
    {
    }

    ports::runners port();

private:
    /// Silence after which the pool gives a relay up, and the bound of any order.
    static constexpr core::millis longest_silence{700};
    static constexpr core::millis longest_order{1900};

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
            const bool well = !it.process.dead && !given_up_.contains(it.ctx.member);
            if (!well || &it == &own_)
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
            c_.time.after(longest_silence,
                [this, relay, answered, once]
                {
                    const bool silent = relay->process.dead || relay->process.paused;
                    if (!*answered && silent)
                    {
                        give_up(relay->ctx.member);
                        once(lost(Answer{}));
                    }
                });
            c_.time.after(longest_order, [once] { once(lost(Answer{})); });
        };
    }

    void give_up(const std::string& member)
    {
        given_up_.insert(member);
        constexpr core::millis pause{1000};
        c_.time.after(pause, [this, member] { given_up_.erase(member); });
    }

    cluster& c_;
    node& own_;
    std::set<std::string> given_up_;
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
