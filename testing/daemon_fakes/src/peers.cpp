#include "daemon_fakes/peers.hpp"

#include <memory>

namespace camphorhitch::daemon_fakes
{

namespace
{

constexpr core::millis call_timeout{2000};

} // namespace

peers::peers(virtual_time& time) : time_(time)
{
}

void peers::listen(const std::string& address, process& p, const ports::peer_handlers& handlers)
{
    listeners_[address] = {&p, &handlers};
}

template <class Request, class Reply>
ports::peer_client::call<Request, Reply> peers::make_call(
    process& from, ports::peer_handlers::handler<Request, Reply> ports::peer_handlers::*which)
{
    return [this, &from, which](
               const std::string& address, Request request, ports::peer_callback<Reply> done)
    {
        const auto open = std::make_shared<bool>(true);
        const auto finish = [&from, open, done = std::move(done)](
                                ports::peer_status status, const Reply& reply)
        {
            if (std::exchange(*open, false))
            {
                from.enter([done, status, reply] { done(status, reply); });
            }
        };
        time_.after(call_timeout, [finish] { finish(ports::peer_status::unreachable, {}); });
        time_.after(wire_delay,
            [this, &from, which, address, request = std::move(request), finish]
            {
                const auto it = listeners_.find(address);
                if (it == listeners_.end() || it->second.owner->dead)
                {
                    finish(ports::peer_status::refused, {});
                    return;
                }
                const auto to = it->second;
                if (from.dead || from.peers_cut || to.owner->peers_cut)
                {
                    return;
                }
                to.owner->enter(
                    [this, &from, which, to, request, finish]
                    {
                        (to.handlers->*which)(request,
                            [this, &from, to, finish](const Reply& reply)
                            {
                                time_.after(wire_delay,
                                    [&from, to, finish, reply]
                                    {
                                        const bool cut = from.peers_cut || to.owner->peers_cut;
                                        if (!cut && !to.owner->dead)
                                        {
                                            finish(ports::peer_status::ok, reply);
                                        }
                                    });
                            });
                    });
            });
    };
}

ports::peer_client peers::port(process& from)
{
    using handlers = ports::peer_handlers;
    ports::peer_client out;
    out.beat = make_call(from, &handlers::beat);
    out.request_permit = make_call(from, &handlers::request_permit);
    out.return_permits = make_call(from, &handlers::return_permits);
    out.query_held = make_call(from, &handlers::query_held);
    out.claim = make_call(from, &handlers::claim);
    out.finish_claim = make_call(from, &handlers::finish_claim);
    out.copy_claim = make_call(from, &handlers::copy_claim);
    out.pull_slots = make_call(from, &handlers::pull_slots);
    out.explain = make_call(from, &handlers::explain);
    return out;
}

} // namespace camphorhitch::daemon_fakes
