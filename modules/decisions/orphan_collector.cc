#include "modules/decisions/orphan_collector.h"

#include <optional>
#include <utility>

namespace chicory {

bool OrphanCollector::IsSuspect(const AttemptId& attempt,
                                const OwnerLookup& owner_state,
                                const RunningLookup& is_running) const {
  if (attempt.instance != instance_)
    return owner_state(attempt) != OwnerState::kAlive;
  return attempt.incarnation != incarnation_ || !is_running(attempt.sequence);
}

bool OrphanCollector::IsOrphan(const AttemptId& attempt,
                               absl::Duration suspected_for,
                               const OwnerLookup& owner_state,
                               const RunningLookup& is_running) const {
  if (attempt.instance == instance_) {
    if (attempt.incarnation < incarnation_)
      return true;
    return !is_running(attempt.sequence) && suspected_for >= kLocalAttemptGrace;
  }
  switch (owner_state(attempt)) {
    case OwnerState::kAlive:
      return false;
    case OwnerState::kGone:
      return true;
    case OwnerState::kSilent:
    case OwnerState::kNeverSeen:
      return suspected_for >= kSilenceLimit;
  }
  return false;
}

std::vector<AttemptId> OrphanCollector::Sweep(
    const std::string& upstream,
    const std::vector<std::string>& attempts,
    const OwnerLookup& owner_state,
    const RunningLookup& is_running,
    absl::Time now) {
  std::vector<AttemptId> orphans;
  absl::flat_hash_map<std::string, absl::Time> still_suspected;
  auto& suspected = suspected_since_[upstream];
  for (const std::string& text : attempts) {
    const std::optional<AttemptId> attempt = AttemptId::Parse(text);
    // Attempts that no instance started must not be cancelled.
    if (!attempt.has_value())
      continue;
    if (!IsSuspect(*attempt, owner_state, is_running))
      continue;
    auto existing = suspected.find(text);
    const absl::Time since =
        existing == suspected.end() ? now : existing->second;
    still_suspected[text] = since;
    if (IsOrphan(*attempt, now - since, owner_state, is_running))
      orphans.push_back(*attempt);
  }
  suspected = std::move(still_suspected);
  return orphans;
}

}  // namespace chicory
