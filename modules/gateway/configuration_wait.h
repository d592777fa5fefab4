#ifndef MODULES_GATEWAY_CONFIGURATION_WAIT_H_
#define MODULES_GATEWAY_CONFIGURATION_WAIT_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "modules/gateway/gateway_state.h"
#include "modules/gateway/snapshot_fetcher.h"
#include "modules/net/http_server.h"

namespace chicory {

/** Holds requests that arrive before the first configuration, if that is on its
    way, so that their callers need not retry.

    Must only be used on the event loop's thread.

    @see SnapshotPlan::IsExpected */
class ConfigurationWait {
 public:
  /** Maximum time for which a request is held. No route is known yet, so it
      cannot depend on the target latency, which is 150 ms and more; content
      that is on its way takes less than this. */
  static constexpr absl::Duration kMaxHold = absl::Milliseconds(300);

  /** Requests that are held at most, since each keeps its body in memory. */
  static constexpr size_t kMaxHeld = 128;

  /** `state` and `plan` must outlive this object. */
  ConfigurationWait(GatewayState* state, const SnapshotPlan* plan)
      : state_(state), plan_(plan) {}

  /** Returns a handler that passes its request on to a RequestHandler, at once
      or when it is no longer held. Must outlive the handler's requests. */
  std::shared_ptr<HttpHandler> NewHandler();
  /** Passes all held requests on. To be called when a configuration has come
      into force, or when this instance begins to stop. */
  void Release();

 private:
  class Handler;

  GatewayState* state_;
  const SnapshotPlan* plan_;
  std::vector<std::weak_ptr<Handler>> held_;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_CONFIGURATION_WAIT_H_
