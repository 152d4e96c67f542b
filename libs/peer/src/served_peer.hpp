/// \file
/// The objects that other entry hosts call on us.
#pragma once

#include "codec.hpp"
#include "connection.hpp"
#include "service.hpp"

namespace camphorhitch::peer
{

class served_peer final : public schema::Peer::Server
{
public:
    explicit served_peer(service& owner) : owner_(owner)
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
        return owner_.ask<Method>(std::move(message))
            .then(
                [context, largest = owner_.largest_message()](
                    kj::Own<typename Method::reply> reply) mutable
                {
                    auto results = context.getResults();
                    encode(*reply, results);
                    require_size(results.totalSize(), largest);
                });
    }

    service& owner_;
};

class served_gate final : public schema::Gate::Server
{
public:
    served_gate(service& owner, message_stream& messages) : owner_(owner), messages_(messages)
    {
    }

    kj::Promise<void> authenticate(AuthenticateContext context) override
    {
        // One guess a connection; a wrong one is closed when its time for the token is over.
        const bool first = !tried_;
        tried_ = true;
        if (!first || !owner_.right_token(context.getParams().getToken()))
        {
            add(owner_.counts().wrong_tokens);
            return KJ_EXCEPTION(FAILED, "wrong token");
        }
        owner_.trust(messages_);
        context.getResults().setPeer(kj::heap<served_peer>(owner_));
        return kj::READY_NOW;
    }

private:
    service& owner_;
    message_stream& messages_;
    bool tried_ = false;
};

} // namespace camphorhitch::peer
