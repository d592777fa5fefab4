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

/** Decides when this instance watches its source, and when it refreshes data
    that other instances have in a newer version. Must be used on the event
    loop's thread.

    @see Membership */
class SourceWatcher {
 public:
  /** `refresh_interval` is the minimum time between two refreshes of the
      configuration, and between two of the upstreams. `reads_evacuations` means
      that operators evacuate data centres. `max_silence` is the time without a
      confirmation after which a source that is watched counts as lost. */
  SourceWatcher(GatewaySource* source,
                Membership* membership,
                EventLog& log,
                absl::Duration refresh_interval,
                absl::Duration max_silence,
                bool reads_evacuations);

  /** Called when the part of the source named `part` becomes reachable or
      unreachable. */
  void OnReachable(const std::string& part, bool reachable);
  /** Called when the source has confirmed what this instance knows of a part,
      as of `as_of`. */
  void OnConfirmed(absl::Time as_of);
  /** Called when another instance has the configuration `version`, which is
      newer than `in_force`. */
  void OnNewerConfiguration(uint64_t version, uint64_t in_force);
  /** Called when upstreams changed at the revision `last_change` and no
      instance has sent the change. */
  void OnMissingUpstreamChange(uint64_t last_change);
  /** Must be called several times a second. */
  void Tick(absl::Time now);

 private:
  /** The last refresh that was requested because of another instance. */
  struct Refresh {
    absl::Time requested_at = absl::InfinitePast();
    uint64_t wanted = 0;
  };

  /** Returns the freshness needed to get from the revision `known` to `wanted`,
      and records the refresh; nullopt if the last refresh is more recent than
      the refresh interval. */
  std::optional<Freshness> TakeRefresh(Refresh* refresh,
                                       uint64_t wanted,
                                       uint64_t known);
  /** Notices that a source that is being watched has become silent. */
  void CheckSilence(absl::Time now);
  SourceState StateOfSource(absl::Time now) const;
  /** Returns whether to watch the source, considering recent needs. */
  bool ShouldWatch(SourceState state, absl::Time now);

  GatewaySource* source_;
  Membership* membership_;
  EventLog& log_;
  const absl::Duration refresh_interval_;
  const absl::Duration max_silence_;
  Refresh configuration_;
  Refresh upstreams_;
  /** The evacuated data centres have not been requested here yet. */
  bool reads_evacuations_;
  bool is_watching_ = false;
  absl::Time watching_since_ = absl::InfinitePast();
  /** When the source last confirmed anything, and when it was last found
      silent. */
  absl::Time confirmed_at_ = absl::InfinitePast();
  absl::Time silent_at_ = absl::InfinitePast();
  /** When this instance last had to watch the source, and whether that was for
      all instances and not only because its own knowledge was old. */
  absl::Time last_needed_at_ = absl::InfinitePast();
  bool was_needed_for_all_ = false;
  /** Whether any part of the source has been reachable since the start. */
  bool has_contact_ = false;
  /** The unreachable parts, and when a part last became unreachable. */
  std::set<std::string> lost_parts_;
  absl::Time last_lost_at_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_SOURCE_WATCHER_H_
