#ifndef MODULES_PEERS_PEER_CODEC_H_
#define MODULES_PEERS_PEER_CODEC_H_

#include <string>
#include <string_view>

#include "modules/decisions/gossip_node.h"
#include "modules/peers/peer.capnp.h"

namespace chicory {

/** Writes a message in wire form. */
void WriteGossip(const GossipMessage& message, wire::Gossip::Builder builder);

/** Reads a message from wire form. Rumours of an unknown kind are left out. */
GossipMessage ReadGossip(wire::Gossip::Reader reader);

/** Bytes that `message` takes on the wire, without the call around it. */
size_t GossipWireBytes(const GossipMessage& message);

/** Shows knowledge of `shared_key` for a call of `sender`: an HMAC in
    hexadecimal. Empty when there is no key. */
std::string PeerProof(std::string_view shared_key, std::string_view sender);

}  // namespace chicory

#endif  // MODULES_PEERS_PEER_CODEC_H_
