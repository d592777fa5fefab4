#ifndef MODULES_DECISIONS_PLACEMENT_POLICY_H_
#define MODULES_DECISIONS_PLACEMENT_POLICY_H_

#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"
#include "modules/decisions/prefix_index.h"
#include "modules/decisions/request_table.h"
#include "modules/decisions/upstream_table.h"

namespace chicory {

/** All that a placement may look at. */
struct PlacementContext {
  const RequestRow& request;
  const UpstreamTable& upstreams;
  const PrefixIndex& prefixes;
  absl::Time now;
  absl::BitGenRef random;
};

/** Where a request goes now; no upstream means that it waits. */
struct PlacementChoice {
  /** More than one for a prompt beyond one upstream, sorted by name so that
      all instances acquire them in one order; the leader is the last. */
  std::vector<UpstreamId> upstreams;
  /** Estimated time to the first token. */
  absl::Duration first_token_in = absl::ZeroDuration();
  /** Prompt tokens that the leader is believed to hold already. */
  int64_t cached_tokens = 0;
  /** True when no upstream of the pool could ever hold the request. */
  bool never_fits = false;
};

/** Picks upstreams for requests. Called under the dispatcher's lock; must cost
    the same whatever the size of the pool. @see LengthAwarePlacement */
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /** Chooses among the eligible upstreams of the request's pool. */
  virtual PlacementChoice Choose(const PlacementContext& question) = 0;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_PLACEMENT_POLICY_H_
