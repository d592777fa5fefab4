@0xb7f1d0a94c63e812;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chicory::wire");

# A request that asks for an upstream. @see chicory::WorkRequest
struct Work {
  sequence @0 :UInt64;
  service @1 :Text;
  promptTokens @2 :Int64;
  outputTokens @3 :Int64;
  dueInMicroseconds @4 :Int64;
  deadlineInMicroseconds @5 :Int64;
  # Negative for no limit.
  eventGapMicroseconds @6 :Int64;
  priority @7 :Int32;
  avoid @8 :List(UInt64);
  # 0 when the same request sent again cannot be told.
  fingerprint @9 :UInt64;
  group @10 :UInt32;
}

# A request that runs at an upstream.
struct Running {
  work @0 :Work;
  upstream @1 :UInt64;
  answering @2 :Bool;
}

# A live instance and how long ago it was heard.
struct Member {
  ip @0 :UInt32;
  ageMilliseconds @1 :UInt32;
  # The source does not answer it.
  lostSource @2 :Bool;
}

# One changed registration. @see chicory::UpstreamChange
struct UpstreamChange {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  dataCentre @3 :Text;
  slots @4 :Int32;
  isDraining @5 :Bool;
  removed @6 :Bool;
  startedMilliseconds @7 :Int64;
}

# @see chicory::UpstreamBatch
struct UpstreamBatch {
  from @0 :UInt64;
  to @1 :UInt64;
  lastChange @2 :UInt64;
  afterOutage @3 :Bool;
  changes @4 :List(UpstreamChange);
  part @5 :UInt32;
  parts @6 :UInt32;
}

# One datagram between instances. @see chicory::PeerMessage
struct Datagram {
  sender @0 :UInt32;
  # Versions that the sender has in force; 0 for none.
  configurationVersion @1 :UInt64;
  # Of hello: requests that run, also those that are left out.
  runningTotal @17 :UInt32;
  # Live instances that the sender knows, itself included.
  liveInstances @20 :UInt32;
  # The sender is leaving and schedules for nobody.
  leaving @21 :Bool;
  # Changes of the upstreams that the sender knows: all until the first
  # revision, the last of them at the second.
  upstreamsCompleteUntil @23 :UInt64;
  upstreamsLastChange @24 :UInt64;
  # @see chicory::SourceState
  sourceState @25 :UInt8;
  # Of hello: whether it is to be answered by welcome.
  wantsWelcome @27 :Bool;
  # Of welcome: the changes that the other is missing.
  missedUpstreams @26 :UpstreamBatch;
  union {
    # "I am alive, and this is what I have running."
    hello @2 :List(Running);
    # The answer to hello.
    welcome @3 :List(Member);
    # Asks for an upstream.
    submit @4 :Work;
    # The request is known and waits.
    waits @5 :UInt64;
    assign :group {
      sequence @6 :UInt64;
      upstream @7 :UInt64;
      helpers @8 :List(UInt64);
      expectedMicroseconds @9 :Int64;
      # Memory to set aside at helpers, as many as memoryAt.
      memoryAt @18 :List(UInt64);
      memoryTokens @19 :List(Int64);
    }
    refuse :group {
      refusedSequence @10 :UInt64;
      retryAfterMicroseconds @11 :Int64;
      # @see chicory::RefusalCause
      cause @22 :UInt8;
    }
    firstPart @12 :UInt64;
    ended :group {
      endedSequence @13 :UInt64;
      result @14 :UInt8;
      faultAt @15 :UInt64;
    }
    # "I am leaving."
    goodbye @16 :Void;
  }
}
