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

/** What is known of the process that owns an attempt. */
enum class OwnerState {
  /** Alive, or not known to be dead for long enough. */
  kAlive,
  /** That very process is certainly gone: a newer one has its name, or it left
      on purpose. */
  kGone,
  /** Silent; it may be paused. */
  kSilent,
  /** Nobody here has heard of it. */
  kNeverSeen,
};

/** Finds attempts on upstreams whose owner is gone, so that whoever sweeps the
    upstream gives their memory back.

    The owner is named by the attempt's id alone. A live owner's work is never
    taken; a silent owner is given kSilenceLimit. Reads the attempts listed by
    one upstream, emits the ones to cancel. Not thread-safe. */
class OrphanCollector {
 public:
  /** How long an owner may be silent or unheard of before its work is given
      up. */
  static constexpr absl::Duration kSilenceLimit = absl::Seconds(15);

  /** How long an attempt of this process may be unknown here, since it may
      have been started a moment ago. */
  static constexpr absl::Duration kOwnGrace = absl::Seconds(2);

  using OwnerLookup = std::function<OwnerState(const AttemptId&)>;
  using OwnLookup = std::function<bool(uint64_t sequence)>;

  /** `instance` and `incarnation` name this process. */
  OrphanCollector(std::string instance, uint64_t incarnation)
      : instance_(std::move(instance)), incarnation_(incarnation) {}

  /** Judges the attempts that `upstream` lists now. `owner_state` tells of
      other processes, `is_running` whether an attempt of this process runs. */
  std::vector<AttemptId> Sweep(const std::string& upstream,
                               const std::vector<std::string>& attempts,
                               const OwnerLookup& owner_state,
                               const OwnLookup& is_running,
                               absl::Time now);

 private:
  bool IsInDoubt(const AttemptId& attempt,
                 const OwnerLookup& owner_state,
                 const OwnLookup& is_running) const;
  bool IsOrphan(const AttemptId& attempt,
                absl::Duration doubted_for,
                const OwnerLookup& owner_state,
                const OwnLookup& is_running) const;

  std::string instance_;
  uint64_t incarnation_;
  /** By upstream and attempt: since when its owner has been in doubt. */
  absl::flat_hash_map<std::string, absl::flat_hash_map<std::string, absl::Time>>
      doubted_since_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_ORPHAN_COLLECTOR_H_
