#ifndef MODULES_DECISIONS_DRAIN_PLAN_H_
#define MODULES_DECISIONS_DRAIN_PLAN_H_

#include "absl/time/time.h"

namespace chicory {

/** What an instance that shuts down gracefully still takes on, so that it
    accepts no work that its end would cut off. A request that it turns away has
    not run and can run at another instance.

    All times come from the caller. Not thread-safe.

        DrainPlan plan({.admit_for = absl::Seconds(3),
                        .finish_within = absl::Seconds(8)});
        plan.Begin(now);
        if (!plan.CanFinish(expected, now)) RejectAsNotRun();
    */
class DrainPlan {
 public:
  struct Options {
    /** How long new requests are still accepted: the balancer needs some time
        to send new connections elsewhere. */
    absl::Duration admit_for;
    /** Time after which nothing may run any more. */
    absl::Duration finish_within;
  };

  explicit DrainPlan(Options options) : options_(options) {}

  /** Starts the drain; later calls have no effect. */
  void Begin(absl::Time now);

  bool has_begun() const { return begun_at_ != absl::InfiniteFuture(); }
  /** Returns whether a request that arrives at `now` is accepted. */
  bool Admits(absl::Time now) const;
  /** Returns whether work of the length `duration` that starts at `now` ends
      before the instance does. */
  bool CanFinish(absl::Duration duration, absl::Time now) const;
  /** Returns whether the time for running work has passed. */
  bool IsOver(absl::Time now) const;

 private:
  const Options options_;
  absl::Time begun_at_ = absl::InfiniteFuture();
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_DRAIN_PLAN_H_
