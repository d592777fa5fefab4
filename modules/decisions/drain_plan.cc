#include "modules/decisions/drain_plan.h"

namespace chicory {

void DrainPlan::Begin(absl::Time now) {
  if (!has_begun())
    begun_at_ = now;
}

bool DrainPlan::Admits(absl::Time now) const {
  return now < begun_at_ + options_.admit_for;
}

bool DrainPlan::CanFinish(absl::Duration duration, absl::Time now) const {
  if (!has_begun())
    return true;
  return now + duration < begun_at_ + options_.finish_within;
}

bool DrainPlan::IsOver(absl::Time now) const {
  return now >= begun_at_ + options_.finish_within;
}

}  // namespace chicory
