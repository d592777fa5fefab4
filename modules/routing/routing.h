#ifndef MODULES_ROUTING_ROUTING_H_
#define MODULES_ROUTING_ROUTING_H_

/** Public header of the routing module: in-memory tables of the configuration
    in force and of the known upstreams. May include core and decisions.

    Classes: RoutingTable, UpstreamDirectory, UpstreamChangeLog,
    BatchAssembler. */

#include "modules/routing/routing_table.h"
#include "modules/routing/upstream_change_log.h"
#include "modules/routing/upstream_directory.h"

#endif  // MODULES_ROUTING_ROUTING_H_
