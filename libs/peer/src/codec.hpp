/// \file
/// Converts the messages of ports/peer.hpp to and from their Cap'n Proto form.
///
/// Decoding doesn't trust the sender: an enumerator sent by a newer peer becomes the known one with
/// the safest effect, and times are limited to a range in which arithmetic can't overflow.
#pragma once

#include "peer.capnp.h"
#include "ports/peer.hpp"

namespace camphorhitch::peer
{

void encode(const ports::ack& from, schema::Ack::Builder to);
void encode(const ports::heartbeat& from, schema::Heartbeat::Builder to);
void encode(const ports::permit_request& from, schema::PermitRequest::Builder to);
void encode(const ports::permit_reply& from, schema::PermitReply::Builder to);
void encode(const std::vector<ports::permit_return>& from, schema::PermitReturns::Builder to);
void encode(const ports::held_query& from, schema::HeldQuery::Builder to);
void encode(const ports::held_reply& from, schema::HeldReply::Builder to);
void encode(const ports::claim_request& from, schema::ClaimRequest::Builder to);
void encode(const ports::claim_reply& from, schema::ClaimReply::Builder to);
void encode(const ports::claim_finish& from, schema::ClaimFinish::Builder to);
void encode(const ports::claim_copy& from, schema::ClaimCopy::Builder to);
void encode(const ports::slot_pull& from, schema::SlotPull::Builder to);
void encode(const ports::slot_pull_reply& from, schema::SlotPullReply::Builder to);
void encode(const ports::explain_query& from, schema::ExplainQuery::Builder to);
void encode(const ports::explain_reply& from, schema::ExplainReply::Builder to);

ports::ack decode(schema::Ack::Reader from);
ports::heartbeat decode(schema::Heartbeat::Reader from);
ports::permit_request decode(schema::PermitRequest::Reader from);
ports::permit_reply decode(schema::PermitReply::Reader from);
std::vector<ports::permit_return> decode(schema::PermitReturns::Reader from);
ports::held_query decode(schema::HeldQuery::Reader from);
ports::held_reply decode(schema::HeldReply::Reader from);
ports::claim_request decode(schema::ClaimRequest::Reader from);
ports::claim_reply decode(schema::ClaimReply::Reader from);
ports::claim_finish decode(schema::ClaimFinish::Reader from);
ports::claim_copy decode(schema::ClaimCopy::Reader from);
ports::slot_pull decode(schema::SlotPull::Reader from);
ports::slot_pull_reply decode(schema::SlotPullReply::Reader from);
ports::explain_query decode(schema::ExplainQuery::Reader from);
ports::explain_reply decode(schema::ExplainReply::Reader from);

} // namespace camphorhitch::peer
