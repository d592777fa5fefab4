#include "modules/decisions/pending_cancellations.h"

#include <algorithm>

namespace chicory {

void PendingCancellations::Add(const std::string& upstream,
                               const std::string& attempt,
                               absl::Time now) {
  debts_[{upstream, attempt}] = {.since = now, .due = now};
}

void PendingCancellations::Confirm(const std::string& upstream,
                                   const std::string& attempt) {
  debts_.erase({upstream, attempt});
}

std::vector<PendingCancellations::Cancellation> PendingCancellations::Due(
    absl::Time now) {
  std::vector<Cancellation> due;
  for (auto debt = debts_.begin(); debt != debts_.end();) {
    State& state = debt->second;
    if (now - state.since > kGiveUpAfter) {
      debt = debts_.erase(debt);
      continue;
    }
    if (state.due <= now) {
      due.push_back({debt->first.first, debt->first.second});
      state.due = now + state.pause;
      state.pause = std::min(kLongestPause, state.pause * 2);
    }
    ++debt;
  }
  return due;
}

}  // namespace chicory
