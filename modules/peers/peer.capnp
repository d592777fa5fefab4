@0xd8c6a1f3b2e47a95;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chicory::wire");

# A gossip update. @see chicory::GossipUpdate
struct Rumour {
  kind @0 :UInt8;
  subject @1 :Text;
  origin @2 :Text;
  version @3 :UInt64;
  value @4 :Int64;
  address @5 :Text;
  dataCentre @6 :Text;
}

# The message of one side of a gossip exchange. @see chicory::GossipMessage
struct Gossip {
  sender @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
  version @3 :UInt64;
  configurationRevision @4 :UInt64;
  stamp @5 :UInt64;
  rumours @6 :List(Rumour);
  # HMAC of the sender's name under the shared key. @see chicory::PeerProof
  proof @7 :Text;
}

# Load of one client account offered to one instance.
struct Demand {
  account @0 :Text;
  requestsPerSecond @1 :Float64;
  tokensPerSecond @2 :Float64;
}

# Share of the account limit that the owner grants in reply to a demand.
struct Grant {
  account @0 :Text;
  requestsPerSecond @1 :Float64;
  tokensPerSecond @2 :Float64;
  validMicroseconds @3 :Int64;
}

# RPC interface between instances.
interface Peer {
  # Exchanges gossip updates; `answer` is the receiver's message.
  exchange @0 (message :Gossip) -> (answer :Gossip);

  # Indirect probe: calls `address` and reports whether it responded.
  probe @1 (address :Text, proof :Text) -> (answered :Bool);

  # Returns the configuration index in force; empty when none is known.
  configurationIndex @2 (proof :Text) -> (revision :UInt64, json :Text);

  # Returns a configuration blob by name; empty when it is not present.
  configurationBlob @3 (name :Text, proof :Text) -> (content :Text);

  # Reports demands to the owner of the accounts.
  demand @4 (sender :Text, demands :List(Demand), proof :Text)
      -> (grants :List(Grant));
}
