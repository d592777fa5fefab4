#ifndef MODULES_PEERS_PEERS_H_
#define MODULES_PEERS_PEERS_H_

/** Public header of the peers module: the protocols between the system's own
    processes, Cap'n Proto over RPC (entries) and in datagrams (gateways). May
    include core, config, decisions and routing.

    Classes: PeerNode and the functions of peer_codec.h; PlacementNode,
    Membership, the messages of placement_message.h and the Snapshot. */

#include "modules/peers/membership.h"
#include "modules/peers/peer_node.h"
#include "modules/peers/placement_node.h"
#include "modules/peers/snapshot.h"

#endif  // MODULES_PEERS_PEERS_H_
