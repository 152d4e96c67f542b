/// \file
/// Fixture: the flow of one request, and helpers that pass events to it and inspect its actions.
#pragma once

#include "dispatch/request_flow.hpp"

#include <string>

namespace camphorhitch::dispatch::test
{

inline core::mono_time at_ms(std::int64_t ms)
{
    return core::mono_time{core::millis{ms}};
}

/// \return the first action of type \p Action, or nullptr.
template <class Action>
const Action* find(const flow_actions& actions)
{
    for (const auto& it : actions)
    {
        if (const auto* found = std::get_if<Action>(&it))
        {
            return found;
        }
    }
    return nullptr;
}

/// Kind of the caller's request.
enum class kind
{
    idempotent, ///< a GET
    plain,      ///< a POST without a key
    keyed       ///< a POST with a key
};

struct flow_fixture
{
    request_sender sender;
    request_flow flow;

    flow_fixture()
    {
        sender.member = "e1";
        sender.incarnation = "i1";
        sender.epoch = 5;
    }

    flow_actions start(kind it, std::int64_t now = 0)
    {
        caller_request request;
        request.pool = "quotes";
        request.key = it == kind::keyed ? "quotes/k1" : "";
        request.idempotent = it == kind::idempotent;
        request.time_left = core::millis{2000};
        return start_flow(flow, sender, request, at_ms(now));
    }

    flow_actions claim(ports::claim_verdict verdict,
        std::int64_t now,
        ports::claim_state state = ports::claim_state::claimed)
    {
        ports::claim_reply reply;
        reply.verdict = verdict;
        reply.entry.state = state;
        reply.entry.status = 201;
        reply.entry.body = "charged";
        reply.entry.answer_kept = true;
        return on_claim(flow, sender, ports::peer_status::ok, reply, at_ms(now));
    }

    flow_actions grant(std::int64_t now,
        bool fresh = true,
        const char* host = "h1",
        core::millis waited = core::millis{0})
    {
        ports::permit_reply reply;
        reply.verdict = ports::permit_verdict::granted;
        reply.permit = 77;
        reply.host = host;
        reply.address = "10.0.0.1:80";
        reply.waited = waited;
        return on_permit(
            flow, sender, flow.permit_request_id, ports::peer_status::ok, reply, fresh, at_ms(now));
    }

    flow_actions refuse(const char* reason, std::int64_t now)
    {
        ports::permit_reply reply;
        reply.verdict = ports::permit_verdict::refused;
        reply.reason = reason;
        reply.retry_after = core::millis{1500};
        return on_permit(
            flow, sender, flow.permit_request_id, ports::peer_status::ok, reply, true, at_ms(now));
    }

    flow_actions outcome(ports::call_end end, std::int64_t now, int status = 200)
    {
        ports::http_outcome it;
        it.end = end;
        it.response.status = end == ports::call_end::answered ? status : 0;
        it.response.body = "quote";
        it.elapsed = core::millis{20};
        return on_outcome(flow, sender, it, at_ms(now));
    }

    flow_actions tick(std::int64_t now)
    {
        return on_timer(flow, sender, at_ms(now));
    }

    /// Starts the flow and takes it to its first send, at 3 ms.
    flow_actions send(kind it)
    {
        start(it);
        if (it == kind::keyed)
        {
            claim(ports::claim_verdict::granted, 1);
        }
        return grant(3);
    }
};

} // namespace camphorhitch::dispatch::test
