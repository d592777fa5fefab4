@0xd2a8a4c1f75e9b36;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chicory::wire");

# Durations are in nanoseconds; the largest value stands for an infinite one.

# @see chicory::RouteEntry
struct SnapshotRoute {
  name @0 :Text;
  host @1 :Text;
  pathPrefix @2 :Text;
  targetServices @3 :List(Text);
  # Parallel to targetServices.
  targetWeights @4 :List(Float64);
  repeatability @5 :UInt8;
  timeout @6 :Int64;
  targetLatency @7 :Int64;
  eventGap @8 :Int64;
  priority @9 :Int32;
  maxAttempts @10 :Int32;
  anonymous @11 :Bool;
  resumable @12 :Bool;
  allowedRegions @13 :List(Text);
}

# @see chicory::EngineProfile
struct SnapshotEngine {
  slots @0 :Int32;
  memoryTokens @1 :Int64;
  stepMs @2 :Float64;
  perSequenceMs @3 :Float64;
  perContextKMs @4 :Float64;
  prefillTokensPerMs @5 :Float64;
  perMillionPairsMs @6 :Float64;
  chunkTokens @7 :Int64;
  stepsPerPass @8 :Int32;
}

# @see chicory::Service
struct SnapshotService {
  name @0 :Text;
  maxConnections @1 :Int32;
  # Null if the service has no engine.
  engine @2 :SnapshotEngine;
  coldDuration @3 :Int64;
  coldRequestsPerSecond @4 :Float64;
}

# @see chicory::AccountEntry
struct SnapshotAccount {
  name @0 :Text;
  hasPriority @1 :Bool;
  priority @2 :Int32;
  allowedRegions @3 :List(Text);
  keys @4 :List(Text);
}

# @see chicory::UpstreamRecord
struct SnapshotUpstream {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  dataCentre @3 :Text;
  slots @4 :Int32;
  state @5 :UInt8;
  startedMilliseconds @6 :Int64;
  # How much longer the upstream is cold.
  coldFor @7 :Int64;
  # Its registration is missing at the source after an outage.
  isMissing @8 :Bool;
}

# @see chicory::Snapshot
struct Snapshot {
  version @0 :UInt64;
  routes @1 :List(SnapshotRoute);
  services @2 :List(SnapshotService);
  maxHeaderBytes @3 :UInt64;
  maxBodyBytes @4 :UInt64;
  headerTimeout @5 :Int64;
  idleTimeout @6 :Int64;
  hasAccounts @7 :Bool;
  accounts @8 :List(SnapshotAccount);
  revision @9 :UInt64;
  upstreams @10 :List(SnapshotUpstream);
  evacuationRevision @11 :UInt64;
  evacuatedDataCentres @12 :List(Text);
  age @13 :Int64;
}
