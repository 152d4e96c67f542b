/// \file
/// RPC objects that other entry hosts call.
#pragma once

#include "codec.hpp"
#include "connection.hpp"
#include "service.hpp"

namespace camphorhitch::peer
{

class peer_server final : public schema::Peer::Server
{
public:
    explicit peer_server(service& s) : service_(s)
    {
    }

    kj::Promise<void> beat(BeatContext context) override
    {
        return serve<beat_method>(context);
    }

    kj::Promise<void> requestPermit(RequestPermitContext context) override
    {
        return serve<request_permit_method>(context);
    }

    kj::Promise<void> returnPermits(ReturnPermitsContext context) override
    {
        return serve<return_permits_method>(context);
    }

    kj::Promise<void> queryHeld(QueryHeldContext context) override
    {
        return serve<query_held_method>(context);
    }

    kj::Promise<void> claim(ClaimContext context) override
    {
        return serve<claim_method>(context);
    }

    kj::Promise<void> finishClaim(FinishClaimContext context) override
    {
        return serve<finish_claim_method>(context);
    }

    kj::Promise<void> copyClaim(CopyClaimContext context) override
    {
        return serve<copy_claim_method>(context);
    }

    kj::Promise<void> pullSlots(PullSlotsContext context) override
    {
        return serve<pull_slots_method>(context);
    }

    kj::Promise<void> explain(ExplainContext context) override
    {
        return serve<explain_method>(context);
    }

private:
    template <class Method, class Context>
    kj::Promise<void> serve(Context context)
    {
        auto message = decode(context.getParams());
        context.releaseParams();
        context.allowCancellation();
        return service_.call_handler<Method>(std::move(message))
            .then(
                [context, largest = service_.max_message_bytes()](
                    kj::Own<typename Method::reply> reply) mutable
                {
                    auto results = context.getResults();
                    encode(*reply, results);
                    check_size(results.totalSize(), largest);
                });
    }

    service& service_;
};

class gate_server final : public schema::Gate::Server
{
public:
    gate_server(service& s, message_stream& messages) : service_(s), messages_(messages)
    {
    }

    kj::Promise<void> authenticate(AuthenticateContext context) override
    {
        // A connection may present one token only. After a wrong token the connection is closed
        // when its time for the token is over.
        const bool first = !token_checked_;
        token_checked_ = true;
        if (!first || !service_.is_correct_token(context.getParams().getToken()))
        {
            add(service_.counts().wrong_tokens);
            return KJ_EXCEPTION(FAILED, "wrong token");
        }
        service_.mark_authenticated(messages_);
        context.getResults().setPeer(kj::heap<peer_server>(service_));
        return kj::READY_NOW;
    }

private:
    service& service_;
    message_stream& messages_;
    bool token_checked_ = false;
};

} // namespace camphorhitch::peer
