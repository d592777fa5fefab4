#include "modules/routing/cold_upstreams.h"

#include <algorithm>

namespace chicory {

const char* ColdCauseName(ColdCause cause) {
  static constexpr const char* kNames[] = {"registration", "started",
                                           "evacuation_withdrawn"};
  return kNames[static_cast<int>(cause)];
}

std::vector<ColdUpstreams::Change> ColdUpstreams::Update(
    const std::vector<Upstream>& upstreams,
    absl::Time now) {
  std::vector<Change> changes;
  for (const Upstream& upstream : upstreams) {
    auto [found, is_new] = rows_.try_emplace(upstream.key);
    Row& row = found->second;
    const bool has_started = is_new || row.incarnation != upstream.incarnation;
    const bool is_withdrawn = row.is_evacuated && !upstream.is_evacuated;
    absl::Time until = has_started ? absl::InfinitePast() : row.cold_until;
    ColdCause cause = ColdCause::kRegistration;
    if (is_withdrawn || (has_started && has_list_)) {
      cause =
          is_withdrawn ? ColdCause::kEvacuationWithdrawn : ColdCause::kStarted;
      until = std::max(until, now + upstream.cold_duration);
    }
    if (upstream.announced_until > until) {
      cause = ColdCause::kRegistration;
      until = upstream.announced_until;
    }
    if (until > now && until != row.cold_until)
      changes.push_back(
          {.key = upstream.key, .cause = cause, .cold_until = until});
    row = {.incarnation = upstream.incarnation,
           .is_evacuated = upstream.is_evacuated,
           .cold_until = until,
           .listed_at = now};
  }
  has_list_ = true;
  absl::erase_if(rows_, [now](const auto& entry) {
    return now - entry.second.listed_at >= kMemory;
  });
  return changes;
}

absl::Time ColdUpstreams::ColdUntil(UpstreamKey upstream) const {
  const auto found = rows_.find(upstream);
  return found == rows_.end() ? absl::InfinitePast() : found->second.cold_until;
}

}  // namespace chicory
