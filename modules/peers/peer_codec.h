#ifndef MODULES_PEERS_PEER_CODEC_H_
#define MODULES_PEERS_PEER_CODEC_H_

#include <string>
#include <string_view>

#include "modules/decisions/gossip_node.h"
#include "modules/peers/peer.capnp.h"

namespace chicory {

/** Encodes a message into its Cap'n Proto form. */
void WriteGossip(const GossipMessage& message, wire::Gossip::Builder builder);

/** Decodes a message from its Cap'n Proto form. Gossip updates of an unknown
    kind are skipped. */
GossipMessage ReadGossip(wire::Gossip::Reader reader);

/** Returns the size of the encoded message in bytes, without the RPC frame. */
size_t GossipWireBytes(const GossipMessage& message);

/** Returns the proof that authenticates a call: the HMAC-SHA256 of `sender`
    under `shared_key`, in hexadecimal. Empty if `shared_key` is empty. */
std::string PeerProof(std::string_view shared_key, std::string_view sender);

}  // namespace chicory

#endif  // MODULES_PEERS_PEER_CODEC_H_
