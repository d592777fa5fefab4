#include "modules/decisions/crashing_request_tracker.h"

#include <utility>

namespace chicory {

uint32_t CrashingRequestTracker::OnDeath(uint64_t fingerprint, absl::Time now) {
  Count& count = counts_[fingerprint][instance_];
  if (now - count.last > kMemory)
    count.deaths = 0;
  count.last = now;
  return ++count.deaths;
}

bool CrashingRequestTracker::OnCompleted(uint64_t fingerprint, absl::Time now) {
  auto found = counts_.find(fingerprint);
  if (found == counts_.end())
    return false;
  auto own = found->second.find(instance_);
  if (own == found->second.end() || own->second.deaths == 0)
    return false;
  own->second = {.deaths = 0, .last = now};
  return true;
}

void CrashingRequestTracker::OnHeard(uint64_t fingerprint,
                                     const std::string& instance,
                                     uint32_t deaths,
                                     absl::Time now) {
  if (instance == instance_)
    return;
  counts_[fingerprint][instance] = {.deaths = deaths, .last = now};
}

uint32_t CrashingRequestTracker::Deaths(uint64_t fingerprint,
                                        absl::Time now) const {
  auto found = counts_.find(fingerprint);
  if (found == counts_.end())
    return 0;
  uint32_t deaths = 0;
  for (const auto& [instance, count] : found->second) {
    if (now - count.last > kMemory)
      continue;
    deaths += count.deaths;
  }
  return deaths;
}

void CrashingRequestTracker::Expire(absl::Time now) {
  for (auto row = counts_.begin(); row != counts_.end();) {
    auto& by_instance = row->second;
    absl::erase_if(by_instance, [&](const auto& entry) {
      return now - entry.second.last > kMemory;
    });
    if (by_instance.empty())
      counts_.erase(row++);
    else
      ++row;
  }
}

}  // namespace chicory
