#ifndef MODULES_DECISIONS_LEAST_BUSY_PLACEMENT_H_
#define MODULES_DECISIONS_LEAST_BUSY_PLACEMENT_H_

#include "modules/decisions/placement_policy.h"

namespace chicory {

/** Placement for services that report no load. Of two upstreams chosen at
    random, takes the one with fewer attempts of this instance in flight. */
class LeastBusyPlacement : public PlacementPolicy {
 public:
  PlacementChoice Choose(const PlacementContext& context) override;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_LEAST_BUSY_PLACEMENT_H_
