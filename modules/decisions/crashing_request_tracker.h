#ifndef MODULES_DECISIONS_CRASHING_REQUEST_TRACKER_H_
#define MODULES_DECISIONS_CRASHING_REQUEST_TRACKER_H_

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace chicory {

/** Counts upstream deaths by request fingerprint, over all instances.

    Every instance counts its own and hears the others' by gossip; the sum
    decides. A completed run clears this instance's count, so that requests
    which merely ran beside a crashing one are not blamed. Not thread-safe.
    @see GossipNode */
class CrashingRequestTracker {
 public:
  /** How long a count is kept after the last death. */
  static constexpr absl::Duration kMemory = absl::Minutes(10);

  /** `instance` names this process among the counts. */
  explicit CrashingRequestTracker(std::string instance)
      : instance_(std::move(instance)) {}

  /** Charges one upstream death to `fingerprint`; returns this instance's
      count, to be told to the others. */
  uint32_t OnDeath(uint64_t fingerprint, absl::Time now);

  /** Clears this instance's count after a completed run; true when there was
      one to clear. */
  bool OnCompleted(uint64_t fingerprint, absl::Time now);

  /** Takes over another instance's count. */
  void OnHeard(uint64_t fingerprint,
               const std::string& instance,
               uint32_t deaths,
               absl::Time now);

  /** Deaths charged to `fingerprint` by all instances. */
  uint32_t Deaths(uint64_t fingerprint, absl::Time now) const;

  /** Drops counts older than kMemory. */
  void Expire(absl::Time now);

  /** Fingerprints held. */
  size_t size() const { return counts_.size(); }

 private:
  struct Count {
    uint32_t deaths = 0;
    absl::Time last;
  };

  std::string instance_;
  absl::flat_hash_map<uint64_t, absl::flat_hash_map<std::string, Count>>
      counts_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_CRASHING_REQUEST_TRACKER_H_
