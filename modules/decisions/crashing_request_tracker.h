#ifndef MODULES_DECISIONS_CRASHING_REQUEST_TRACKER_H_
#define MODULES_DECISIONS_CRASHING_REQUEST_TRACKER_H_

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace chicory {

/** Counts upstream deaths by request fingerprint, over all instances, to detect
    requests that crash the upstreams they run on.

    Each instance counts the deaths that it observes and receives the counts of
    the others by gossip; the sum is what matters. A completed run at any
    instance clears all counts, so that requests which merely ran on the same
    upstream as a crashing one are not refused. Not thread-safe.
    @see GossipNode */
class CrashingRequestTracker {
 public:
  /** Time after its last update for which a count is kept. */
  static constexpr absl::Duration kRetention = absl::Minutes(10);

  /** `instance` is the name of this instance. */
  explicit CrashingRequestTracker(std::string instance)
      : instance_(std::move(instance)) {}

  /** Counts one upstream death for `fingerprint`.
      @returns the new count of this instance, to be announced to the others */
  uint32_t OnDeath(uint64_t fingerprint, absl::Time now);

  /** Clears the counts of all instances after a completed run.
      @returns true when one was not zero: a count of 0 is to be announced */
  bool OnCompleted(uint64_t fingerprint, absl::Time now);

  /** Applies the count of another instance; one of this instance is ignored. A
      count of 0 means that the request completed there and clears all counts.
      @returns true when this cleared the count of this instance, which is then
      to be announced */
  bool OnCountReceived(uint64_t fingerprint,
                       const std::string& instance,
                       uint32_t deaths,
                       absl::Time now);

  /** Returns the deaths that all instances counted for `fingerprint`. */
  uint32_t Deaths(uint64_t fingerprint, absl::Time now) const;

  /** Erases counts older than kRetention. */
  void Expire(absl::Time now);

  /** Returns the number of fingerprints with counts. */
  size_t size() const { return counts_.size(); }

 private:
  struct Count {
    uint32_t deaths = 0;
    absl::Time updated_at;
  };

  /** Clears all counts of `fingerprint`; returns the sum that they had. */
  uint32_t Clear(uint64_t fingerprint, absl::Time now);

  std::string instance_;
  absl::flat_hash_map<uint64_t, absl::flat_hash_map<std::string, Count>>
      counts_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_CRASHING_REQUEST_TRACKER_H_
