#ifndef MODULES_DECISIONS_CRASH_HISTORY_H_
#define MODULES_DECISIONS_CRASH_HISTORY_H_

#include <cstdint>
#include <map>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** Records which upstreams crashed while they ran a request, by the request's
    fingerprint, so that a request which crashes its upstreams is refused
    whichever instance receives it. An upstream that crashes more than once
    counts once. Not thread-safe. */
class CrashHistory {
 public:
  /** Number of crashed upstreams at which a request is refused. */
  static constexpr size_t kMaxCrashedUpstreams = 3;
  /** Time after its last crash for which a request is remembered. */
  static constexpr absl::Duration kRetention = absl::Minutes(10);
  /** Maximum number of requests remembered. The one whose last crash is oldest
      is evicted. */
  static constexpr size_t kMaxRequests = 4096;

  /** Called when `upstream` crashed while it ran the request. */
  void OnCrash(uint64_t fingerprint, UpstreamKey upstream, absl::Time now);
  /** Clears the request's crashes: it completed, so it merely ran at the same
      time as the requests that caused them. */
  void OnCompleted(uint64_t fingerprint);
  /** Returns true if the request crashed too many upstreams to run again. */
  bool ExceedsCrashLimit(uint64_t fingerprint, absl::Time now) const;
  /** Returns the number of requests remembered. */
  size_t size() const { return crashes_.size(); }

 private:
  struct Row {
    absl::flat_hash_set<UpstreamKey> upstreams;
    absl::Time last;
  };

  void Forget(uint64_t fingerprint);

  absl::flat_hash_map<uint64_t, Row> crashes_;
  /** Fingerprints by the time of their last crash. */
  std::multimap<absl::Time, uint64_t> by_time_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_CRASH_HISTORY_H_
