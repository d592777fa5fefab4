#ifndef MODULES_ROUTING_COLD_UPSTREAMS_H_
#define MODULES_ROUTING_COLD_UPSTREAMS_H_

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** Why an upstream is cold. */
enum class ColdCause {
  /** Its registration says so. */
  kRegistration,
  /** Another incarnation of it, or one that was unknown, has registered. */
  kStarted,
  /** The evacuation of its data centre was withdrawn. */
  kEvacuationWithdrawn,
};
/** Returns the name under which the cause is logged. */
const char* ColdCauseName(ColdCause cause);

/** Determines which upstreams are cold and until when. Addresses releases and
    withdrawn evacuations, after which many upstreams are cold at once and the
    word of it in their registrations is seconds old or still missing.

    Reads no clock: callers pass the time. Not thread-safe.

    @see RequestLimits */
class ColdUpstreams {
 public:
  /** How long a missing upstream is remembered, so that one whose registration
      has lapsed for a while does not count as started. */
  static constexpr absl::Duration kMemory = absl::Minutes(1);

  /** A registered upstream. */
  struct Upstream {
    UpstreamKey key = 0;
    UpstreamIncarnation incarnation = 0;
    /** Until then it is cold by its registration. */
    absl::Time announced_until = absl::InfinitePast();
    /** How long upstreams of its service are cold after their start. */
    absl::Duration cold_duration = absl::ZeroDuration();
    bool is_evacuated = false;
  };
  /** An upstream that has become cold, or stays cold for longer. */
  struct Change {
    UpstreamKey key = 0;
    ColdCause cause = ColdCause::kRegistration;
    absl::Time cold_until;
  };

  /** Replaces the registered upstreams. Those of the first list are taken for
      warm unless their registrations say otherwise, since most of them have
      started long before. */
  std::vector<Change> Update(const std::vector<Upstream>& upstreams,
                             absl::Time now);
  /** Returns until when the upstream is cold; in the past if it is not. */
  absl::Time ColdUntil(UpstreamKey upstream) const;

 private:
  struct Row {
    UpstreamIncarnation incarnation = 0;
    bool is_evacuated = false;
    absl::Time cold_until = absl::InfinitePast();
    absl::Time listed_at = absl::InfinitePast();
  };

  absl::flat_hash_map<UpstreamKey, Row> rows_;
  bool has_list_ = false;
};

}  // namespace chicory

#endif  // MODULES_ROUTING_COLD_UPSTREAMS_H_
