#include "modules/decisions/crashing_request_tracker.h"

#include <utility>

namespace chicory {

uint32_t CrashingRequestTracker::OnDeath(uint64_t fingerprint, absl::Time now) {
  Count& count = counts_[fingerprint][instance_];
  if (now - count.updated_at > kRetention)
    count.deaths = 0;
  count.updated_at = now;
  return ++count.deaths;
}

bool CrashingRequestTracker::OnCompleted(uint64_t fingerprint, absl::Time now) {
  auto found = counts_.find(fingerprint);
  if (found == counts_.end())
    return false;
  auto own_count = found->second.find(instance_);
  if (own_count == found->second.end() || own_count->second.deaths == 0)
    return false;
  own_count->second = {.deaths = 0, .updated_at = now};
  return true;
}

void CrashingRequestTracker::OnCountReceived(uint64_t fingerprint,
                                             const std::string& instance,
                                             uint32_t deaths,
                                             absl::Time now) {
  if (instance == instance_)
    return;
  counts_[fingerprint][instance] = {.deaths = deaths, .updated_at = now};
}

uint32_t CrashingRequestTracker::Deaths(uint64_t fingerprint,
                                        absl::Time now) const {
  auto found = counts_.find(fingerprint);
  if (found == counts_.end())
    return 0;
  uint32_t deaths = 0;
  for (const auto& [instance, count] : found->second) {
    if (now - count.updated_at > kRetention)
      continue;
    deaths += count.deaths;
  }
  return deaths;
}

void CrashingRequestTracker::Expire(absl::Time now) {
  for (auto row = counts_.begin(); row != counts_.end();) {
    auto& by_instance = row->second;
    absl::erase_if(by_instance, [&](const auto& entry) {
      return now - entry.second.updated_at > kRetention;
    });
    if (by_instance.empty())
      counts_.erase(row++);
    else
      ++row;
  }
}

}  // namespace chicory
