# The frames between the coordinator and its relays. The README says how to compile this file.

@0xd3b7a91c5f20e846;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("camphorhitch::relay::schema");

struct OrderBatch {
  # Coordinator to relay: what was gathered in one turn of its event loop.
  orders @0 :List(Order);
}

struct Order {
  number @0 :UInt64;          # unique on its connection; the answer names it
  runnerId @1 :Data;
  runnerAddress @2 :Data;
  fencingToken @3 :Int64;
  union {
    start @4 :Start;
    stop @5 :Stop;
    pace @6 :Pace;
    poll @7 :Poll;
  }
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
  leaseUntilMs @0 :Int64;     # on the runner's clock; 0: does not extend
  acknowledgedThrough @1 :Int64;
  longestWaitMs @2 :Int64;
}

struct AnswerBatch {
  # Relay to coordinator.
  answers @0 :List(Answer);
  leaving @1 :Bool;           # the relay takes no new orders; those under way are still answered
}

struct Answer {
  number @0 :UInt64;
  verdict @1 :UInt16;         # place in ports::runner_verdict
  clockMs @2 :Int64;
  poll @3 :PollRows;          # null unless the order was a poll
}

struct PollRows {
  running @0 :List(Run);
  ended @1 :List(End);
  endsAreAll @2 :Bool;        # no end is left out; without it none counts as missing
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
  how @3 :UInt16;             # place in ports::run_end
  checkpoint @4 :Data;
}
