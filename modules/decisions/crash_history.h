#ifndef MODULES_DECISIONS_CRASH_HISTORY_H_
#define MODULES_DECISIONS_CRASH_HISTORY_H_

#include <cstdint>
#include <map>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** Which upstreams broke off while they ran a request, by the request's
    fingerprint, so that one that kills what runs it is stopped whichever
    instance it comes to. An upstream that breaks off twice counts once. Not
    thread-safe. */
class CrashHistory {
 public:
  /** A request that broke this many upstreams is not sent to another. */
  static constexpr size_t kMostUpstreams = 3;
  /** How long a crash is remembered after the last one. */
  static constexpr absl::Duration kMemory = absl::Minutes(10);
  /** Requests that are remembered; the one that crashed longest ago goes. */
  static constexpr size_t kMostRequests = 4096;

  void OnCrash(uint64_t fingerprint, UpstreamKey upstream, absl::Time now);
  /** The request ran to its end: it merely ran beside what crashed. */
  void OnCompleted(uint64_t fingerprint);
  bool IsDangerous(uint64_t fingerprint, absl::Time now) const;
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
