#include "modules/decisions/limit_share.h"

#include <algorithm>

namespace chicory {

namespace {

/** Returns the share that `part` instances make up of `count`. */
double ShareOf(size_t part, size_t count) {
  return std::min(1.0, static_cast<double>(part) /
                           static_cast<double>(std::max<size_t>(count, 1)));
}

/** Returns the fewest instances to assume. */
size_t Fewest(const LimitShare::Fleet& fleet, size_t heard) {
  const bool is_alone = !fleet.all && fleet.live == 1 && heard == 1;
  return is_alone ? std::max(fleet.at_least, LimitShare::kAssumedInstances)
                  : fleet.at_least;
}

}  // namespace

void LimitShare::SetSchedules(uint32_t group, bool schedules, absl::Time now) {
  if (schedules)
    schedules_since_.try_emplace(group, now);
  else
    schedules_since_.erase(group);
}

size_t LimitShare::CountHeard(absl::Time since, absl::Time now) {
  absl::erase_if(heard_, [now](const auto& entry) {
    return now - entry.second >= kHeardWithin;
  });
  return 1 + static_cast<size_t>(std::count_if(
                 heard_.begin(), heard_.end(),
                 [since](const auto& entry) { return entry.second >= since; }));
}

double LimitShare::NamedShare(uint32_t group,
                              const Fleet& fleet,
                              size_t heard) {
  // Not all instances send messages to the schedulers of the other groups.
  const size_t reached = group == 0 ? heard : std::max(heard, fleet.live);
  return ShareOf(reached, fleet.all.value_or(Fewest(fleet, heard)));
}

LimitUse LimitShare::UseOf(uint32_t group, const Fleet& fleet, absl::Time now) {
  const auto since = schedules_since_.find(group);
  if (since == schedules_since_.end()) {
    return {.allowed = false,
            .cold_share = 0,
            .cold_share_if_all = 0,
            .named_share = 0};
  }
  const size_t heard = CountHeard(since->second, now);
  return {.cold_share = fleet.all ? ShareOf(heard, *fleet.all) : 0,
          .cold_share_if_all = ShareOf(heard, Fewest(fleet, heard)),
          .named_share = NamedShare(group, fleet, heard)};
}

}  // namespace chicory
