#include "modules/decisions/return_schedule.h"

#include <algorithm>

namespace chicory {

namespace {

/** Share of the rate for which returning requests are promised capacity. */
constexpr double kReturnShare = 0.25;
/** Callers wait for `Retry-After` up to this share of their time. */
constexpr double kHonouredShare = 1.0 / 3;
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(500);
/** A request keeps its promise if it comes at most so much before or after the
    given time. */
constexpr absl::Duration kEarlyTolerance = absl::Milliseconds(50);
constexpr absl::Duration kLateTolerance = absl::Seconds(2);
/** Callers repeat a request a few times; a fingerprint that is refused more
   often belongs to equal requests of several callers and tells nothing. */
constexpr int kMaxRepeats = 8;
constexpr absl::Duration kExpiryInterval = absl::Seconds(1);

}  // namespace

void ReturnSchedule::Expire(absl::Time now) {
  if (now < next_expiry_)
    return;
  next_expiry_ = now + kExpiryInterval;
  absl::erase_if(promises_, [now](const auto& entry) {
    return entry.second.at + kLateTolerance < now;
  });
}

ReturnSchedule::Return ReturnSchedule::OnSubmitted(const WorkRequest& request,
                                                   absl::Time now) {
  const auto found = promises_.find(request.fingerprint);
  if (request.fingerprint == 0 || found == promises_.end())
    return Return::kFirst;
  Promise& promise = found->second;
  if (promise.refusals > kMaxRepeats || now > promise.at + kLateTolerance)
    return Return::kFirst;
  if (now < promise.at - kEarlyTolerance)
    return Return::kEarly;
  const bool has_capacity = promise.has_capacity;
  promises_.erase(found);
  return has_capacity ? Return::kAtPromisedTime : Return::kUnpromised;
}

absl::Duration ReturnSchedule::OnRefused(const WorkRequest& request,
                                         double per_second,
                                         absl::Time now) {
  Expire(now);
  const absl::Duration longest =
      std::min((request.deadline - now) * kHonouredShare, kMaxRetryAfter);
  const auto [found, is_new] = promises_.try_emplace(request.fingerprint);
  Promise& promise = found->second;
  ++promise.refusals;
  if (!is_new && promise.at > now && promise.refusals <= kMaxRepeats &&
      request.fingerprint != 0)
    return promise.at - now;
  absl::Time& until = promised_until_[ClassOf(request)];
  const absl::Duration interval =
      per_second > 0 ? absl::Seconds(1 / (per_second * kReturnShare))
                     : absl::InfiniteDuration();
  const absl::Time at =
      std::max(now + std::min(kMinRetryAfter, longest), until + interval);
  promise.has_capacity = at <= now + longest;
  if (promise.has_capacity)
    until = at;
  promise.at = std::min(at, now + longest);
  return promise.at - now;
}

}  // namespace chicory
