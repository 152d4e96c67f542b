# Frames between the coordinator and its relays. The README describes how to compile this file.

@0xd3b7a91c5f20e846;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("camphorhitch::relay::schema");

struct OrderBatch {
  # From the coordinator to a relay: the orders collected during one iteration of the coordinator's
  # event loop.
  orders @0 :List(Order);
  termToken @1 :Int64;        # the coordinator's first fencing token; 0: that of each order
}

struct Order {
  number @0 :UInt64;          # unique on its connection; repeated in the answer
  runnerId @1 :Data;
  runnerAddress @2 :Data;
  fencingToken @3 :Int64;
  union {
    start @4 :Start;
    stop @5 :Stop;
    pace @6 :Pace;
    poll @7 :Poll;
  }
  runnerBornMs @8 :Int64;     # with runnerId, the incarnation that is addressed; 0: start unknown
}

struct Start {
  task @0 :Data;
  run @1 :Int64;
  payload @2 :Data;
  leaseUntilMs @3 :Int64;     # on the runner's clock
  checkpoint @4 :Data;
  ticket @5 :Data;
}

struct Stop {
  task @0 :Data;
  run @1 :Int64;
}

struct Pace {
  task @0 :Data;
  run @1 :Int64;
  percent @2 :Int32;
}

struct Poll {
  leaseUntilMs @0 :Int64;     # on the runner's clock; 0: does not extend the lease
  acknowledgedThrough @1 :Int64;
  longestWaitMs @2 :Int64;
}

struct AnswerBatch {
  # From a relay to a coordinator.
  answers @0 :List(Answer);
  leaving @1 :Bool;           # the relay accepts no further orders, but answers those in flight
  readsTermToken @2 :Bool;    # in the first batch: orders may have tokens above that of the term
}

struct Answer {
  number @0 :UInt64;
  verdict @1 :UInt16;         # value of ports::runner_verdict
  clockMs @2 :Int64;
  poll @3 :PollRows;          # null unless the answered order is a poll
  bornMs @4 :Int64;           # start of the runner that answered; 0: not in its answer
}

struct PollRows {
  running @0 :List(Run);
  ended @1 :List(End);
  endsAreAll @2 :Bool;        # the list of ends is complete; if not, no run counts as missing
}

struct Run {
  task @0 :Data;
  run @1 :Int64;
  checkpoint @2 :Data;
  percent @3 :Int32;
  figure @4 :Int64;
}

struct End {
  number @0 :Int64;
  task @1 :Data;
  run @2 :Int64;
  how @3 :UInt16;             # value of ports::run_end
  checkpoint @4 :Data;
}
