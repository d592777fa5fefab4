#include "modules/decisions/pending_cancellations.h"

#include <algorithm>

namespace chicory {

void PendingCancellations::Add(const std::string& upstream,
                               const std::string& attempt,
                               absl::Time now) {
  pending_[{upstream, attempt}] = {.added_at = now, .due = now};
}

void PendingCancellations::Confirm(const std::string& upstream,
                                   const std::string& attempt) {
  pending_.erase({upstream, attempt});
}

std::vector<PendingCancellations::Cancellation> PendingCancellations::Due(
    absl::Time now) {
  std::vector<Cancellation> due;
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    State& state = entry->second;
    if (now - state.added_at > kRetryPeriod) {
      entry = pending_.erase(entry);
      continue;
    }
    if (state.due <= now) {
      due.push_back({entry->first.first, entry->first.second});
      state.due = now + state.retry_delay;
      state.retry_delay = std::min(kMaxRetryDelay, state.retry_delay * 2);
    }
    ++entry;
  }
  return due;
}

}  // namespace chicory
