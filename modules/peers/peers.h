#ifndef MODULES_PEERS_PEERS_H_
#define MODULES_PEERS_PEERS_H_

/** Face of the peers module: the protocol between the system's own processes,
    over Cap'n Proto RPC. May include core, config and decisions.

    Classes: PeerNode; functions of peer_codec.h. */

#include "modules/peers/peer_node.h"

#endif  // MODULES_PEERS_PEERS_H_
