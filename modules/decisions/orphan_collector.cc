#include "modules/decisions/orphan_collector.h"

#include <optional>
#include <utility>

namespace chicory {

bool OrphanCollector::IsInDoubt(const AttemptId& attempt,
                                const OwnerLookup& owner_state,
                                const OwnLookup& is_running) const {
  if (attempt.instance != instance_)
    return owner_state(attempt) != OwnerState::kAlive;
  return attempt.incarnation != incarnation_ || !is_running(attempt.sequence);
}

bool OrphanCollector::IsOrphan(const AttemptId& attempt,
                               absl::Duration doubted_for,
                               const OwnerLookup& owner_state,
                               const OwnLookup& is_running) const {
  if (attempt.instance == instance_) {
    if (attempt.incarnation < incarnation_)
      return true;
    return !is_running(attempt.sequence) && doubted_for >= kOwnGrace;
  }
  switch (owner_state(attempt)) {
    case OwnerState::kAlive:
      return false;
    case OwnerState::kGone:
      return true;
    case OwnerState::kSilent:
    case OwnerState::kNeverSeen:
      return doubted_for >= kSilenceLimit;
  }
  return false;
}

std::vector<AttemptId> OrphanCollector::Sweep(
    const std::string& upstream,
    const std::vector<std::string>& attempts,
    const OwnerLookup& owner_state,
    const OwnLookup& is_running,
    absl::Time now) {
  std::vector<AttemptId> orphans;
  absl::flat_hash_map<std::string, absl::Time> still_doubted;
  auto& doubted = doubted_since_[upstream];
  for (const std::string& text : attempts) {
    const std::optional<AttemptId> attempt = AttemptId::Parse(text);
    // What this project did not start it must not end.
    if (!attempt.has_value())
      continue;
    if (!IsInDoubt(*attempt, owner_state, is_running))
      continue;
    auto known = doubted.find(text);
    const absl::Time since = known == doubted.end() ? now : known->second;
    still_doubted[text] = since;
    if (IsOrphan(*attempt, now - since, owner_state, is_running))
      orphans.push_back(*attempt);
  }
  doubted = std::move(still_doubted);
  return orphans;
}

}  // namespace chicory
