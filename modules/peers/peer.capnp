@0xd8c6a1f3b2e47a95;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chicory::wire");

# One fact that travels between instances. @see chicory::Rumour
struct Rumour {
  kind @0 :UInt8;
  subject @1 :Text;
  origin @2 :Text;
  version @3 :UInt64;
  value @4 :Int64;
  address @5 :Text;
  dataCentre @6 :Text;
}

# One side of an exchange. @see chicory::GossipMessage
struct Gossip {
  sender @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
  version @3 :UInt64;
  configurationRevision @4 :UInt64;
  stamp @5 :UInt64;
  rumours @6 :List(Rumour);
  # Shows that the sender knows the key that the instances share.
  proof @7 :Text;
}

# Demand of one instance for one client account.
struct Demand {
  account @0 :Text;
  requestsPerSecond @1 :Float64;
  tokensPerSecond @2 :Float64;
}

# The owner's answer to a demand.
struct Grant {
  account @0 :Text;
  requestsPerSecond @1 :Float64;
  tokensPerSecond @2 :Float64;
  validMicroseconds @3 :Int64;
}

# What every instance offers to the others.
interface Peer {
  # Exchanges rumours; the answer is the receiver's side.
  exchange @0 (message :Gossip) -> (answer :Gossip);

  # Tries an exchange with `address` and says whether it was answered.
  probe @1 (address :Text, proof :Text) -> (answered :Bool);

  # The configuration index in force; empty when none is known.
  configurationIndex @2 (proof :Text) -> (revision :UInt64, json :Text);

  # A configuration blob by name; empty when it is not held.
  configurationBlob @3 (name :Text, proof :Text) -> (content :Text);

  # Tells demands to the owner of accounts.
  demand @4 (sender :Text, demands :List(Demand), proof :Text)
      -> (grants :List(Grant));
}
