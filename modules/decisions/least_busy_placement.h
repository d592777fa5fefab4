#ifndef MODULES_DECISIONS_LEAST_BUSY_PLACEMENT_H_
#define MODULES_DECISIONS_LEAST_BUSY_PLACEMENT_H_

#include "modules/decisions/placement_policy.h"

namespace chicory {

/** Placement for plain services, which report no load: the one of two
    upstreams picked by chance that has fewer of this instance's calls. */
class LeastBusyPlacement : public PlacementPolicy {
 public:
  PlacementChoice Choose(const PlacementContext& question) override;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_LEAST_BUSY_PLACEMENT_H_
