# Calls between entry hosts. The README describes how to add fields and how to compile this file.

@0xe0f1a7c3b5d29846;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("camphorhitch::peer::schema");

interface Gate {
  # The bootstrap object of a connection. Its only method returns the peer to a caller with the
  # right token.
  authenticate @0 (token :Data) -> (peer :Peer);
}

interface Peer {
  beat @0 Heartbeat -> Heartbeat;
  requestPermit @1 PermitRequest -> PermitReply;
  returnPermits @2 PermitReturns -> Ack;
  queryHeld @3 HeldQuery -> HeldReply;
  claim @4 ClaimRequest -> ClaimReply;
  finishClaim @5 ClaimFinish -> Ack;
  copyClaim @6 ClaimCopy -> Ack;
  pullSlots @7 SlotPull -> SlotPullReply;
  explain @8 ExplainQuery -> ExplainReply;
}

struct Ack {
  accepted @0 :Bool;
}

struct Heartbeat {
  member @0 :Text;
  incarnation @1 :Text;
  epoch @2 :UInt64;
  configVersion @3 :Int64;
  storeReachable @4 :Bool;
  sequence @5 :Int64;
  rosterDocument @6 :Data;
  configDocument @7 :Data;
  fresh @8 :Bool;
  silentPeers @9 :List(Text);
}

enum RequestClass {
  quick @0;
  normal @1;
  longRunning @2;
}

struct PermitRequest {
  epoch @0 :UInt64;
  member @1 :Text;
  incarnation @2 :Text;
  request @3 :UInt64;
  pool @4 :Text;
  zone @5 :Text;
  klass @6 :RequestClass;
  timeLeftMs @7 :Int64;
  expectedMs @8 :Int64;
  avoid @9 :List(Text);
  retry @10 :Bool;
}

enum PermitVerdict {
  granted @0;
  refused @1;
  wrongOwner @2;
  notReady @3;
}

struct PermitReply {
  verdict @0 :PermitVerdict = refused;
  permit @1 :UInt64;
  host @2 :Text;
  address @3 :Text;
  reason @4 :Text;
  retryAfterMs @5 :Int64;
  waitedMs @6 :Int64;
}

enum PermitOutcome {
  unused @0;
  answered @1;
  failed @2;
  silent @3;
}

struct PermitReturn {
  member @0 :Text;
  incarnation @1 :Text;
  request @2 :UInt64;
  permit @3 :UInt64;
  pool @4 :Text;
  host @5 :Text;
  outcome @6 :PermitOutcome = silent;
  elapsedUs @7 :Int64;
}

struct PermitReturns {
  returns @0 :List(PermitReturn);
}

struct HeldPermit {
  pool @0 :Text;
  host @1 :Text;
  request @2 :UInt64;
  ageMs @3 :Int64;
}

struct HeldQuery {
  epoch @0 :UInt64;
  member @1 :Text;
  pools @2 :List(Text);
}

struct HeldReply {
  epoch @0 :UInt64;
  permits @1 :List(HeldPermit);
  member @2 :Text;
  incarnation @3 :Text;
}

enum ClaimState {
  claimed @0;
  done @1;
  unknown @2;
  released @3;
}

struct Field {
  name @0 :Text;
  value @1 :Text;
}

struct ClaimEntry {
  key @0 :Text;
  bodyHash @1 :UInt64;
  state @2 :ClaimState = unknown;
  executor @3 :Text;
  attempt @4 :UInt64;
  ageMs @5 :Int64;
  status @6 :Int32;
  fields @7 :List(Field);
  body @8 :Data;
  answerKept @9 :Bool;
  epoch @10 :UInt64;
  sequence @11 :UInt64;
}

struct ClaimRequest {
  epoch @0 :UInt64;
  key @1 :Text;
  bodyHash @2 :UInt64;
  executor @3 :Text;
  attempt @4 :UInt64;
}

enum ClaimVerdict {
  granted @0;
  known @1;
  otherBody @2;
  wrongEpoch @3;
  notReady @4;
  quarantined @5;
  full @6;
}

struct ClaimReply {
  verdict @0 :ClaimVerdict = notReady;
  entry @1 :ClaimEntry;
  retryAfterMs @2 :Int64;
}

struct ClaimFinish {
  epoch @0 :UInt64;
  key @1 :Text;
  executor @2 :Text;
  attempt @3 :UInt64;
  notRun @4 :Bool;
  entry @5 :ClaimEntry;
}

struct ClaimCopy {
  epoch @0 :UInt64;
  slot @1 :UInt32;
  erase @2 :Bool;
  entry @3 :ClaimEntry;
}

struct SlotState {
  slot @0 :UInt32;
  completeThrough @1 :UInt64;
  refusedThrough @2 :UInt64;
  entries @3 :List(ClaimEntry);
  quarantinedThrough @4 :UInt64;
  quarantineLeftMs @5 :Int64;
}

struct SlotPull {
  epoch @0 :UInt64;
  member @1 :Text;
  slots @2 :List(UInt32);
}

struct SlotPullReply {
  adopted @0 :Bool;
  slots @1 :List(SlotState);
  member @2 :Text;
  incarnation @3 :Text;
}

struct ExplainQuery {
  kind @0 :Text;
  id @1 :Text;
}

struct ExplainReply {
  lines @0 :List(Text);
}
