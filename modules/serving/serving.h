#ifndef MODULES_SERVING_SERVING_H_
#define MODULES_SERVING_SERVING_H_

/** Public header of the serving module: the HTTP APIs towards callers and
    operators, the HTTP client towards upstreams, and the threads that run the
    decision logic. This module may depend on all other modules.

    Classes: HttpFront, CallerFront, OperatorsFront, RequestBroker,
    UpstreamClient, HttpUpstreamClient, UpstreamWatcher, ConfigurationKeeper,
    OnceRunner, AccountGate, TokenEstimator. */

#include "modules/serving/account_gate.h"
#include "modules/serving/caller_front.h"
#include "modules/serving/configuration_keeper.h"
#include "modules/serving/http_front.h"
#include "modules/serving/http_upstream_client.h"
#include "modules/serving/once_runner.h"
#include "modules/serving/operators_front.h"
#include "modules/serving/request_broker.h"
#include "modules/serving/upstream_watcher.h"

#endif  // MODULES_SERVING_SERVING_H_
