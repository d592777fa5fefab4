#ifndef MODULES_DECISIONS_PROMPT_PLACEMENT_H_
#define MODULES_DECISIONS_PROMPT_PLACEMENT_H_

#include <vector>

#include "absl/time/time.h"
#include "modules/decisions/engine_timing.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** Part of a request's value that is lost when its answer is late. */
inline constexpr double kLateLoss = 0.75;

/** Most engines that read one prompt. */
inline constexpr size_t kMaxParts = 16;

/** One way to place a request, with what it costs. */
struct PlacementOption {
  /** The one that answers comes first. */
  std::vector<ScheduledUpstream*> upstreams;
  std::vector<MemoryShare> memory;
  double cost = 0;
  double harm = 0;
  /** Part of `cost` for recent faults, which waiting does not lower. */
  double fault_cost = 0;
  absl::Duration first_part = absl::InfiniteDuration();
  /** The least `first_part` of all arrangements that were weighed. */
  absl::Duration fastest = absl::InfiniteDuration();
};

/** The cheapest way for engines to read a prompt: by one of them, or in parts
   by several, at `now`. Without upstreams when there is none.

    An engine turns at once to the newest part that it reads for another engine,
    goes on with older ones later, and reads its own prompts last; a pass with
    writers reads what is there before the next begins. The cost of an
    arrangement is what interrupted requests and paused streams lose, what the
    request itself loses, and recent faults. */
PlacementOption ChooseEngines(const EngineProfile& engine,
                              const WorkRequest& request,
                              std::vector<ScheduledUpstream*> upstreams,
                              absl::Time now);

}  // namespace chicory

#endif  // MODULES_DECISIONS_PROMPT_PLACEMENT_H_
