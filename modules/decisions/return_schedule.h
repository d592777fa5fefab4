#ifndef MODULES_DECISIONS_RETURN_SCHEDULE_H_
#define MODULES_DECISIONS_RETURN_SCHEDULE_H_

#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/request_class.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** Decides when the callers of refused requests may retry, and recognises them
    when they do.

    Load: callers that were refused at the same moment and retry together, and
    callers that repeat immediately. The times are spread over the rate at which
    requests of the same class are placed. Capacity is promised for a share of
    that rate only, because a retried request is late and would displace one
   that can be on time. Not thread-safe. */
class ReturnSchedule {
 public:
  /** Later returns would prolong a surge that has ended meanwhile. */
  static constexpr absl::Duration kMaxRetryAfter = absl::Seconds(2);

  enum class Return {
    /** Not known as a retry. */
    kFirst,
    /** Comes at the time that its caller was given, but no capacity was left to
        promise. */
    kUnpromised,
    /** Comes at the time that its caller was given, with a promise. */
    kAtPromisedTime,
    /** Comes before that time. */
    kEarly,
  };
  /** Returns which kind of return a request is. A promise is used up by the
      first request that keeps it. */
  Return OnSubmitted(const WorkRequest& request, absl::Time now);
  /** Returns the time after which the caller of a refused request may retry.
      `per_second` is the rate at which its class is placed. */
  absl::Duration OnRefused(const WorkRequest& request,
                           double per_second,
                           absl::Time now);
  size_t promises() const { return promises_.size(); }

 private:
  struct Promise {
    absl::Time at;
    /** False if its caller was given a time for which no capacity is left. */
    bool has_capacity = false;
    int refusals = 0;
  };
  void Expire(absl::Time now);

  absl::flat_hash_map<RequestFingerprint, Promise> promises_;
  /** The time up to which capacity is promised. */
  absl::flat_hash_map<RequestClass, absl::Time> promised_until_;
  absl::Time next_expiry_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_RETURN_SCHEDULE_H_
