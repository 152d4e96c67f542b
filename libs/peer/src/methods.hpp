/// \file
/// Describes each method of schema::Peer with one struct, which relates the call's messages, its
/// Cap'n Proto request and its members in the ports.
#pragma once

#include "peer.capnp.h"
#include "peer/network.hpp"
#include "ports/peer.hpp"

namespace camphorhitch::peer
{

/// Common part of all methods.
template <call_kind Kind, class Request, class Reply>
struct method
{
    using request = Request;
    using reply = Reply;
    static constexpr call_kind kind = Kind;
};

struct beat_method : method<call_kind::beat, ports::heartbeat, ports::heartbeat>
{
    static constexpr auto create_request = &schema::Peer::Client::beatRequest;
    static constexpr auto client = &ports::peer_client::beat;
    static constexpr auto handler = &ports::peer_handlers::beat;
};

struct request_permit_method
    : method<call_kind::request_permit, ports::permit_request, ports::permit_reply>
{
    static constexpr auto create_request = &schema::Peer::Client::requestPermitRequest;
    static constexpr auto client = &ports::peer_client::request_permit;
    static constexpr auto handler = &ports::peer_handlers::request_permit;
};

struct return_permits_method
    : method<call_kind::return_permits, std::vector<ports::permit_return>, ports::ack>
{
    static constexpr auto create_request = &schema::Peer::Client::returnPermitsRequest;
    static constexpr auto client = &ports::peer_client::return_permits;
    static constexpr auto handler = &ports::peer_handlers::return_permits;
};

struct query_held_method : method<call_kind::query_held, ports::held_query, ports::held_reply>
{
    static constexpr auto create_request = &schema::Peer::Client::queryHeldRequest;
    static constexpr auto client = &ports::peer_client::query_held;
    static constexpr auto handler = &ports::peer_handlers::query_held;
};

struct claim_method : method<call_kind::claim, ports::claim_request, ports::claim_reply>
{
    static constexpr auto create_request = &schema::Peer::Client::claimRequest;
    static constexpr auto client = &ports::peer_client::claim;
    static constexpr auto handler = &ports::peer_handlers::claim;
};

struct finish_claim_method : method<call_kind::finish_claim, ports::claim_finish, ports::ack>
{
    static constexpr auto create_request = &schema::Peer::Client::finishClaimRequest;
    static constexpr auto client = &ports::peer_client::finish_claim;
    static constexpr auto handler = &ports::peer_handlers::finish_claim;
};

struct copy_claim_method : method<call_kind::copy_claim, ports::claim_copy, ports::ack>
{
    static constexpr auto create_request = &schema::Peer::Client::copyClaimRequest;
    static constexpr auto client = &ports::peer_client::copy_claim;
    static constexpr auto handler = &ports::peer_handlers::copy_claim;
};

struct pull_slots_method : method<call_kind::pull_slots, ports::slot_pull, ports::slot_pull_reply>
{
    static constexpr auto create_request = &schema::Peer::Client::pullSlotsRequest;
    static constexpr auto client = &ports::peer_client::pull_slots;
    static constexpr auto handler = &ports::peer_handlers::pull_slots;
};

struct explain_method : method<call_kind::explain, ports::explain_query, ports::explain_reply>
{
    static constexpr auto create_request = &schema::Peer::Client::explainRequest;
    static constexpr auto client = &ports::peer_client::explain;
    static constexpr auto handler = &ports::peer_handlers::explain;
};

/// Calls \p fn with a value of each method's type.
template <class Function>
void for_each_method(Function fn)
{
    fn(beat_method{});
    fn(request_permit_method{});
    fn(return_permits_method{});
    fn(query_held_method{});
    fn(claim_method{});
    fn(finish_claim_method{});
    fn(copy_claim_method{});
    fn(pull_slots_method{});
    fn(explain_method{});
}

} // namespace camphorhitch::peer
