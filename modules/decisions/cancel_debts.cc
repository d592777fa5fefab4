#include "modules/decisions/cancel_debts.h"

#include <algorithm>

namespace chicory {

void CancelDebts::Add(const std::string& upstream,
                      const std::string& attempt,
                      absl::Time now) {
  pending_[{upstream, attempt}] = {.added_at = now, .due = now};
}

void CancelDebts::Settle(const std::string& upstream,
                         const std::string& attempt) {
  pending_.erase({upstream, attempt});
}

std::vector<CancelDebts::Debt> CancelDebts::Due(absl::Time now) {
  std::vector<Debt> due;
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
