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

uint32_t CrashingRequestTracker::Clear(uint64_t fingerprint, absl::Time now) {
  auto found = counts_.find(fingerprint);
  if (found == counts_.end())
    return 0;
  uint32_t deaths = 0;
  for (auto& [instance, count] : found->second) {
    deaths += count.deaths;
    count = {.deaths = 0, .updated_at = now};
  }
  return deaths;
}

bool CrashingRequestTracker::OnCompleted(uint64_t fingerprint, absl::Time now) {
  return Clear(fingerprint, now) > 0;
}

bool CrashingRequestTracker::OnCountReceived(uint64_t fingerprint,
                                             const std::string& instance,
                                             uint32_t deaths,
                                             absl::Time now) {
  if (instance == instance_)
    return false;
  if (deaths > 0) {
    counts_[fingerprint][instance] = {.deaths = deaths, .updated_at = now};
    return false;
  }
  auto found = counts_.find(fingerprint);
  if (found == counts_.end())
    return false;
  auto own = found->second.find(instance_);
  const bool had_own = own != found->second.end() && own->second.deaths > 0;
  Clear(fingerprint, now);
  return had_own;
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
