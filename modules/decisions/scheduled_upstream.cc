#include "modules/decisions/scheduled_upstream.h"

#include <algorithm>
#include <cmath>

namespace chicory {

namespace {

/** Prompt and output tokens worth as much as a request of no tokens. */
constexpr double kTokensPerValueUnit = 8000;
/** Time in which a fault score decays to half. */
constexpr absl::Duration kFaultHalfLife = absl::Seconds(4);
/** Fault score from which an upstream is suspended for kSuspensionDuration. */
constexpr double kSuspensionFaultScore = 2.5;
constexpr absl::Duration kSuspensionDuration = absl::Milliseconds(1500);

}  // namespace

double RequestValue(int64_t prompt_tokens, int64_t output_tokens) {
  return 1 + static_cast<double>(prompt_tokens + output_tokens) /
                 kTokensPerValueUnit;
}

void ScheduledUpstream::LimitBacklog(absl::Time now) {
  absl::Duration pending = absl::ZeroDuration();
  for (const UpstreamLoad& load : loads) {
    if (!load.response_started)
      pending += load.prefill;
  }
  prefill_until = std::min(prefill_until, now + pending);
}

double ScheduledUpstream::FaultScoreAt(absl::Time now) const {
  if (fault_score <= 0)
    return 0;
  const double half_lives =
      std::max(0.0, absl::FDivDuration(now - fault_score_at, kFaultHalfLife));
  return fault_score * std::exp2(-half_lives);
}

void ScheduledUpstream::AddFault(double amount, absl::Time now) {
  fault_score = FaultScoreAt(now) + amount;
  fault_score_at = now;
  if (fault_score >= kSuspensionFaultScore)
    suspended_until = now + kSuspensionDuration;
}

}  // namespace chicory
