@0xb7f1d0a94c63e812;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chicory::wire");

# A request to be placed at an upstream. @see chicory::WorkRequest
struct Work {
  sequence @0 :UInt64;
  service @1 :Text;
  promptTokens @2 :Int64;
  outputTokens @3 :Int64;
  dueInMicroseconds @4 :Int64;
  deadlineInMicroseconds @5 :Int64;
  # Negative: unlimited.
  eventGapMicroseconds @6 :Int64;
  priority @7 :Int32;
  avoid @8 :List(UInt64);
  # Of earlier builds; not read.
  fingerprint @9 :UInt64;
  group @10 :UInt32;
}

# What matters only until a request is placed. @see chicory::WorkRequest
struct WorkTerms {
  # Negative: no deadline of its own.
  firstEventDeadlineInMicroseconds @0 :Int64 = -1;
  account @1 :UInt64;
  fingerprint @2 :UInt64;
  regions @3 :List(UInt64);
  prefixIds @4 :List(UInt64);
  # Parallel to prefixIds.
  prefixTokens @5 :List(UInt32);
}

# A request that runs at an upstream; `answering` once the response has started.
struct Running {
  work @0 :Work;
  upstream @1 :UInt64;
  answering @2 :Bool;
}

# A change of one upstream registration. @see chicory::UpstreamChange
# `service` and `dataCentre` are indexes of UpstreamBatch.names.
struct UpstreamChange {
  id @0 :Text;
  address @1 :Text;
  startedMilliseconds @2 :Int64;
  slots @3 :Int32;
  service @4 :UInt8;
  dataCentre @5 :UInt8;
  isDraining @6 :Bool;
  removed @7 :Bool;
  # How much longer the upstream is cold.
  coldMilliseconds @8 :UInt32;
}

# @see chicory::UpstreamBatch
struct UpstreamBatch {
  from @0 :UInt64;
  to @1 :UInt64;
  lastChange @2 :UInt64;
  afterOutage @3 :Bool;
  part @4 :UInt32;
  parts @5 :UInt32;
  # Names that occur in the changes, each once.
  names @6 :List(Text);
  changes @7 :List(UpstreamChange);
}

# @see chicory::CrashEvidenceMessage. Parallel lists, because a list of structs
# would take more bytes.
struct CrashEvidence {
  # The ids of suspects: parts of prompts, or whole requests where the flag at
  # the same place is set.
  crashParts @0 :List(UInt64);
  crashUpstreams @1 :List(UInt64);
  crashAgesMicroseconds @2 :List(UInt32);
  crashWaitsMicroseconds @3 :List(UInt32);
  startParts @4 :List(UInt64);
  startAgesMicroseconds @5 :List(UInt32);
  wantsReply @6 :Bool;
  crashIsRequest @7 :List(Bool);
  startIsRequest @8 :List(Bool);
}

# Limits that upstreams have named. @see chicory::RequestLimit. Parallel lists,
# because a list of structs would take more bytes.
struct RequestLimits {
  upstreams @0 :List(UInt64);
  # Infinite: the upstream no longer names a limit.
  perSecond @1 :List(Float32);
  agesMilliseconds @2 :List(UInt16);
}

# @see chicory::Evacuations
struct Evacuations {
  revision @0 :UInt64;
  dataCentres @1 :List(Text);
}

# One datagram between instances. @see chicory::PeerMessage
struct Datagram {
  sender @0 :UInt32;
  # Newest configuration version known to the sender; 0 for none.
  configurationVersion @1 :UInt64;
  # In hello: number of running requests, including those not listed.
  runningTotal @17 :UInt32;
  # Live instances known to the sender, including itself.
  liveInstances @20 :UInt32;
  # The sender is shutting down and does not act as a scheduler.
  leaving @21 :Bool;
  # Whether a configuration is in force at the sender, and whether that is older
  # than configurationVersion. Two bits, because the version would take 8 bytes of
  # every datagram.
  hasConfiguration @41 :Bool;
  isConfigurationOlder @42 :Bool;
  # Upstream changes known to the sender: all up to the first revision; the
  # second is that of the latest change.
  upstreamsCompleteUntil @23 :UInt64;
  upstreamsLastChange @24 :UInt64;
  # @see chicory::SourceState
  sourceState @25 :UInt8;
  # Time since the source last confirmed to any instance that it has no newer
  # configuration, and no newer upstream changes, than the sender announces.
  # In steps of 1/32 s; 255 if that is unknown or longer ago.
  configurationAge @44 :UInt8 = 255;
  upstreamsAge @45 :UInt8 = 255;
  # How many revisions before upstreamsCompleteUntil the sender's log of upstream
  # changes begins; 65535 if it begins earlier.
  upstreamsLogLength @46 :UInt16;
  # Groups of upstreams that the sender uses; 0 if it knows no upstreams.
  groupCount @33 :UInt32;
  # @see chicory::CrashingParts::digest
  crashDigest @34 :UInt32;
  # In hello: whether the receiver is to reply with welcome.
  wantsWelcome @27 :Bool;
  # In hello: whether welcome is to carry the upstream changes that the sender
  # is missing.
  wantsChanges @31 :Bool;
  # Null if nothing is known, or if the receiver most likely knows it. An
  # earlier encoding of the changes was here, which builds of before 2026-12-04
  # send.
  evacuations @26 :Evacuations;
  # Whether the sender knows the evacuated data centres, also if it does not
  # send them.
  knowsEvacuations @43 :Bool;
  # In welcome: upstream changes that the receiver is missing.
  missedUpstreams @32 :UpstreamBatch;
  # In welcome: live instances, the time since a message from each was received,
  # and whether the source does not respond to it. Parallel lists, because a
  # struct would take 16 bytes a member.
  memberIps @28 :List(UInt32);
  memberAgesMilliseconds @29 :List(UInt16);
  memberLostSource @30 :List(Bool);
  union {
    # Heartbeat with the sender's running requests.
    hello @2 :List(Running);
    # Reply to hello.
    welcome @3 :Void;
    # Requests a placement.
    submit @4 :Work;
    # The request with this sequence number is queued.
    waits @5 :UInt64;
    assign :group {
      sequence @6 :UInt64;
      upstream @7 :UInt64;
      helpers @8 :List(UInt64);
      expectedMicroseconds @9 :Int64;
      # Memory reservations at helpers, parallel to memoryAt.
      memoryAt @18 :List(UInt64);
      memoryTokens @19 :List(Int64);
    }
    refuse :group {
      refusedSequence @10 :UInt64;
      retryAfterMicroseconds @11 :Int64;
      # @see chicory::RefusalCause
      cause @22 :UInt8;
    }
    # The response to the request with this sequence number has started.
    firstPart @12 :UInt64;
    ended :group {
      endedSequence @13 :UInt64;
      result @14 :UInt8;
      faultAt @15 :UInt64;
    }
    # The sender is shutting down.
    goodbye @16 :Void;
    crashEvidence @35 :CrashEvidence;
    # The same as submit, of a sender that knows of limits. Of earlier builds;
    # read, but no longer sent.
    submitWithLimits :group {
      work @36 :Work;
      limits @37 :RequestLimits;
    }
    # The same as submit, with limits that the sender knows of and with what
    # matters only until a request is placed. Within the union, so that other
    # datagrams do not grow.
    submitWithTerms :group {
      work @38 :Work;
      limits @39 :RequestLimits;
      terms @40 :WorkTerms;
    }
  }
}
