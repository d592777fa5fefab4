#ifndef MODULES_CALLS_CALLS_H_
#define MODULES_CALLS_CALLS_H_

/** Public header of the calls module: HTTP calls by blocking sockets, for the
    threads of the entry and for the operators' tools. What a response is, the
    net module's parser decides, for these calls and for those of the event
    loop. Depends on core and net.

    Class: CheckedHttpClient. */

#include "modules/calls/checked_http_client.h"

#endif  // MODULES_CALLS_CALLS_H_
