#ifndef MODULES_DECISIONS_PROMPT_PLACEMENT_H_
#define MODULES_DECISIONS_PROMPT_PLACEMENT_H_

#include <vector>

#include "absl/time/time.h"
#include "modules/decisions/engine_timing.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** Share of a request's value that is lost if its response is late. */
inline constexpr double kLateLoss = 0.75;

/** Maximum number of engines that one prompt is split over. */
inline constexpr size_t kMaxParts = 16;

/** One way to place a request, with its cost in units of value.

    @see RequestValue */
struct PlacementOption {
  /** The lead engine comes first, its helpers follow. */
  std::vector<ScheduledUpstream*> upstreams;
  std::vector<MemoryShare> memory;
  double cost = 0;
  /** Part of `cost` that other requests bear. */
  double cost_to_others = 0;
  /** Part of `cost` for recent faults, which waiting does not lower. */
  double fault_cost = 0;
  absl::Duration time_to_first_event = absl::InfiniteDuration();
  /** The least `time_to_first_event` of all options that were compared. */
  absl::Duration min_time_to_first_event = absl::InfiniteDuration();
};

/** Returns the cheapest way to prefill a prompt at `now`: on one engine, or in
    parts on several. Returns an option without upstreams if there is none.

    The estimate assumes that an engine prefills the newest part for another
    engine first, then older ones, and its own prompts last, and that an engine
    which also decodes finishes all pending prefill before its next pass. The
    cost of an option is the value that delayed requests, stalled streams and
    the request itself lose, plus a cost for recent faults. */
PlacementOption ChooseEngines(const EngineProfile& engine,
                              const WorkRequest& request,
                              std::vector<ScheduledUpstream*> upstreams,
                              absl::Time now);

}  // namespace chicory

#endif  // MODULES_DECISIONS_PROMPT_PLACEMENT_H_
