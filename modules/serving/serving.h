#ifndef MODULES_SERVING_SERVING_H_
#define MODULES_SERVING_SERVING_H_

/** Public header of the serving module: the HTTP APIs for callers and
    operators, the HTTP client for upstreams, and the threads that run the
    decision logic. This module may depend on all other modules.

    Classes: HttpApiServer, CallerApi, OperatorApi, RequestBroker,
    UpstreamClient, HttpUpstreamClient, UpstreamWatcher, ConfigurationWatcher,
    AtMostOnceRunner, AccountRateLimiter, TokenEstimator, ResponseReservation.
    Struct: SharedMemoryBudget. */

#include "modules/serving/account_rate_limiter.h"
#include "modules/serving/at_most_once_runner.h"
#include "modules/serving/caller_api.h"
#include "modules/serving/configuration_watcher.h"
#include "modules/serving/http_api_server.h"
#include "modules/serving/http_upstream_client.h"
#include "modules/serving/operator_api.h"
#include "modules/serving/request_broker.h"
#include "modules/serving/response_reservation.h"
#include "modules/serving/shared_memory_budget.h"
#include "modules/serving/upstream_watcher.h"

#endif  // MODULES_SERVING_SERVING_H_
