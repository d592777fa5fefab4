#include "modules/decisions/crash_history.h"

namespace chicory {

void CrashHistory::Forget(uint64_t fingerprint) {
  auto row = crashes_.find(fingerprint);
  if (row == crashes_.end())
    return;
  const auto [begin, end] = by_time_.equal_range(row->second.last);
  for (auto it = begin; it != end; ++it) {
    if (it->second != fingerprint)
      continue;
    by_time_.erase(it);
    break;
  }
  crashes_.erase(row);
}

void CrashHistory::OnCrash(uint64_t fingerprint,
                           UpstreamKey upstream,
                           absl::Time now) {
  while (!by_time_.empty() && now - by_time_.begin()->first >= kRetention)
    Forget(by_time_.begin()->second);
  Row row;
  if (auto found = crashes_.find(fingerprint); found != crashes_.end())
    row = found->second;
  Forget(fingerprint);
  if (crashes_.size() >= kMaxRequests)
    Forget(by_time_.begin()->second);
  row.upstreams.insert(upstream);
  row.last = now;
  crashes_[fingerprint] = std::move(row);
  by_time_.emplace(now, fingerprint);
}

void CrashHistory::OnCompleted(uint64_t fingerprint) {
  Forget(fingerprint);
}

bool CrashHistory::ExceedsCrashLimit(uint64_t fingerprint,
                                     absl::Time now) const {
  auto found = crashes_.find(fingerprint);
  return found != crashes_.end() && now - found->second.last < kRetention &&
         found->second.upstreams.size() >= kMaxCrashedUpstreams;
}

}  // namespace chicory
