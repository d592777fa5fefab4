#include "modules/decisions/scheduled_upstream.h"

#include <algorithm>
#include <cmath>

namespace chicory {

namespace {

/** Tokens of prompt and answer that double a request's value. */
constexpr double kTokensPerValue = 8000;
constexpr absl::Duration kFaultHalfLife = absl::Seconds(4);
/** Faults at which an upstream is left alone for a while. */
constexpr double kSuspendFaults = 2.5;
constexpr absl::Duration kSuspension = absl::Milliseconds(1500);

}  // namespace

double RequestValue(int64_t prompt_tokens, int64_t output_tokens) {
  return 1 +
         static_cast<double>(prompt_tokens + output_tokens) / kTokensPerValue;
}

double ScheduledUpstream::FaultsAt(absl::Time now) const {
  if (faults <= 0)
    return 0;
  const double halves =
      std::max(0.0, absl::FDivDuration(now - faults_at, kFaultHalfLife));
  return faults * std::exp2(-halves);
}

void ScheduledUpstream::AddFault(double amount, absl::Time now) {
  faults = FaultsAt(now) + amount;
  faults_at = now;
  if (faults >= kSuspendFaults)
    suspended_until = now + kSuspension;
}

}  // namespace chicory
