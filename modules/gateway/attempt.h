#ifndef MODULES_GATEWAY_ATTEMPT_H_
#define MODULES_GATEWAY_ATTEMPT_H_

#include <memory>
#include <optional>
#include <vector>

#include "modules/gateway/memory_reservation.h"
#include "modules/gateway/request_telemetry.h"
#include "modules/gateway/upstream_exchange.h"

namespace chicory {

/** One attempt of a request, from the submission to the scheduler to its end,
    and what it holds meanwhile. Plain data of RequestHandler. */
struct Attempt {
  /** Set while the scheduler knows of the attempt. */
  std::optional<WorkKey> work;
  /** Memory at helpers; null if none is needed. */
  std::shared_ptr<MemoryReservation> memory;
  /** Set once the request has been sent. */
  std::shared_ptr<UpstreamExchange> exchange;
  UpstreamKey upstream = 0;
  /** All upstreams of the placement, helpers included. */
  std::vector<UpstreamKey> upstreams;
  UpstreamIncarnation incarnation = 0;
  RequestTelemetry::SentAttempt sent;
  /** When the retry budget was charged; nullopt for the first attempt. */
  std::optional<absl::Time> charged_at;
  bool response_start_reported = false;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_ATTEMPT_H_
