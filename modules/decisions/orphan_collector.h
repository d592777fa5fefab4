#ifndef MODULES_DECISIONS_ORPHAN_COLLECTOR_H_
#define MODULES_DECISIONS_ORPHAN_COLLECTOR_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/core/attempt_id.h"

namespace chicory {

/** What an instance knows about the process that owns an attempt. */
enum class OwnerState {
  /** Alive, or at most suspected of having failed. */
  kAlive,
  /** The process has certainly ended: a newer one has its name, or it left the
      membership on shutdown. */
  kGone,
  /** Not responding, but possibly only paused. */
  kSilent,
  /** Unknown: this instance has received no gossip about it. */
  kNeverSeen,
};

/** Finds orphans: attempts on upstreams whose owner process has ended, so that
    they can be cancelled and their memory freed.

    The id of an attempt names its owner. Attempts of a live owner are never
    orphans; those of an owner that does not respond become orphans after
    kSilenceLimit. Call Sweep() periodically with the attempts that an upstream
    lists, and cancel what it returns. Not thread-safe. */
class OrphanCollector {
 public:
  /** Time after which the attempts of an unresponsive or unknown owner are
      orphans. */
  static constexpr absl::Duration kSilenceLimit = absl::Seconds(15);

  /** Time after which an attempt with the id of this process that it does not
      run is an orphan. Not immediately, since it may just have been started. */
  static constexpr absl::Duration kLocalAttemptGrace = absl::Seconds(2);

  /** Returns the state of the owner of an attempt of another instance. */
  using OwnerLookup = std::function<OwnerState(const AttemptId&)>;
  /** Returns whether this process runs the attempt with a sequence number. */
  using RunningLookup = std::function<bool(uint64_t sequence)>;

  /** `instance` and `incarnation` identify this process. */
  OrphanCollector(std::string instance, uint64_t incarnation)
      : instance_(std::move(instance)), incarnation_(incarnation) {}

  /** Returns the orphans among the attempts that `upstream` lists at present.
      Attempts whose id was not issued by an instance are ignored. */
  std::vector<AttemptId> Sweep(const std::string& upstream,
                               const std::vector<std::string>& attempts,
                               const OwnerLookup& owner_state,
                               const RunningLookup& is_running,
                               absl::Time now);

 private:
  bool IsSuspect(const AttemptId& attempt,
                 const OwnerLookup& owner_state,
                 const RunningLookup& is_running) const;
  bool IsOrphan(const AttemptId& attempt,
                absl::Duration suspected_for,
                const OwnerLookup& owner_state,
                const RunningLookup& is_running) const;

  std::string instance_;
  uint64_t incarnation_;
  /** Since when each attempt is suspected to be an orphan, by upstream and
      attempt. */
  absl::flat_hash_map<std::string, absl::flat_hash_map<std::string, absl::Time>>
      suspected_since_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_ORPHAN_COLLECTOR_H_
