#ifndef MODULES_DECISIONS_PLACEMENT_POLICY_H_
#define MODULES_DECISIONS_PLACEMENT_POLICY_H_

#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"
#include "modules/decisions/prefix_index.h"
#include "modules/decisions/request_table.h"
#include "modules/decisions/upstream_table.h"

namespace chicory {

/** The input of a placement decision. */
struct PlacementContext {
  const RequestRow& request;
  const UpstreamTable& upstreams;
  const PrefixIndex& prefixes;
  absl::Time now;
  absl::BitGenRef random;
};

/** The result of a placement decision; without upstreams the request stays
    queued. */
struct PlacementChoice {
  /** More than one for a prompt that does not fit on one upstream. Sorted by
      name, so that all instances acquire groups in the same order and cannot
      deadlock; the last one is the lead engine. */
  std::vector<UpstreamId> upstreams;
  /** Estimated time to first token. */
  absl::Duration time_to_first_token = absl::ZeroDuration();
  /** Number of prompt tokens that the lead engine probably has in its prefix
      cache. */
  int64_t cached_tokens = 0;
  /** True when the request does not fit on any permitted group of upstreams,
      even if they were idle. */
  bool never_fits = false;
};

/** Chooses upstreams for requests. Called by the dispatcher for every placement
    attempt, under the lock of its owner; the cost must not grow with the size
    of the pool.
    @see LengthAwarePlacement, LeastBusyPlacement */
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /** Chooses among the eligible upstreams of the pool of the request. */
  virtual PlacementChoice Choose(const PlacementContext& context) = 0;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_PLACEMENT_POLICY_H_
