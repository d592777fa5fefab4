#ifndef MODULES_GATEWAY_SOURCE_WATCHER_H_
#define MODULES_GATEWAY_SOURCE_WATCHER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "modules/core/event_log.h"
#include "modules/gateway/gateway_inputs.h"
#include "modules/peers/membership.h"

namespace chicory {

/** Decides when this instance watches its source, and when it asks for what
    other instances know already. Belongs to the event loop's thread.

    @see Membership */
class SourceWatcher {
 public:
  /** What others know is asked for once in `refresh_interval`. */
  SourceWatcher(GatewaySource* source,
                Membership* membership,
                EventLog& log,
                absl::Duration refresh_interval);

  /** A part of the source, by its name, stopped or began to answer. */
  void OnReachable(const std::string& part, bool reachable);
  /** Another instance has a newer configuration than `in_force`. */
  void OnNewerConfiguration(uint64_t version, uint64_t in_force);
  /** Upstreams changed at the revision `last_change`, and no instance sent
   * them. */
  void OnMissingUpstreamChange(uint64_t last_change);
  /** Call several times a second. */
  void Tick(absl::Time now);

 private:
  /** A question to the source about what others know. */
  struct Refresh {
    absl::Time asked = absl::InfinitePast();
    uint64_t wanted = 0;
  };

  /** How to ask for what reaches `wanted` when `known` is known here; nothing
      when it was asked for just now. */
  std::optional<Freshness> TakeRefresh(Refresh* refresh,
                                       uint64_t wanted,
                                       uint64_t known);
  SourceState StateOfSource(absl::Time now) const;

  GatewaySource* source_;
  Membership* membership_;
  EventLog& log_;
  const absl::Duration refresh_interval_;
  Refresh configuration_;
  Refresh upstreams_;
  bool is_watching_ = false;
  /** When following was needed last. */
  absl::Time needed_ = absl::InfinitePast();
  /** Parts that do not answer, and when the last one stopped. */
  std::set<std::string> lost_parts_;
  absl::Time lost_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_SOURCE_WATCHER_H_
