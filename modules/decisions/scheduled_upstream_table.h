#ifndef MODULES_DECISIONS_SCHEDULED_UPSTREAM_TABLE_H_
#define MODULES_DECISIONS_SCHEDULED_UPSTREAM_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/decisions/prompt_placement.h"
#include "modules/decisions/request_limits.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** The upstreams that a scheduler can place requests at, with the load and the
    recent faults of each. Not thread-safe.

    @see FleetScheduler */
class ScheduledUpstreamTable {
 public:
  /** Sets the seed of the small costs that break ties. Schedulers with
      different seeds start with different upstreams when all are equally
      loaded. */
  void SetPreference(uint64_t seed) { preference_seed_ = seed; }
  /** Replaces the upstreams that may get new work. Work that runs at other
      upstreams continues. */
  void SetUpstreams(const std::vector<UpstreamSpec>& upstreams);

  /** Returns nullptr if the upstream is unknown. */
  ScheduledUpstream* Find(UpstreamKey key);
  /** Returns the upstreams of a service that may get work now: neither at
      capacity nor at their limit, and without a limit if `use` does not allow
      it. Suspended ones are included only if there are no others. */
  std::vector<ScheduledUpstream*> Usable(const std::string& service,
                                         const RequestLimits& limits,
                                         const LimitUse& use,
                                         absl::Time now);
  /** Returns the requests per second that the eligible upstreams of a service
      take together; RequestLimit::kNone if one of them has no limit. */
  double LimitedRateOf(const std::string& service,
                       const RequestLimits& limits,
                       const LimitUse& use,
                       absl::Time now) const;
  /** Returns the shares of their limits that `use` allows for the service's
      upstreams. */
  LimitShares SharesOf(const std::string& service,
                       const RequestLimits& limits,
                       const LimitUse& use,
                       absl::Time now) const;

  /** Adds the load of a request to the upstreams of its placement, and
      `prefill` to the prefill backlog of each. Returns the keys of these
      upstreams. */
  std::vector<UpstreamKey> Add(const WorkRequest& request,
                               const PlacementOption& choice,
                               absl::Duration prefill,
                               absl::Time now);
  /** Called when the first event of the response has arrived. */
  void OnResponseStarted(WorkKey key,
                         const std::vector<UpstreamKey>& upstreams,
                         absl::Time now);
  /** Removes the load of a request that has ended. */
  void Remove(WorkKey key,
              const std::vector<UpstreamKey>& upstreams,
              absl::Time now);
  /** Called when an attempt has ended whose result counts for `upstream`. */
  void OnAttemptEnded(UpstreamKey upstream,
                      AttemptResult result,
                      absl::Time now);

  /** Returns the number of requests that run at an upstream. Prompt parts of
      requests that are served elsewhere do not count. */
  int RunningAt(UpstreamKey upstream) const;
  /** Number of slots of a set of upstreams, and how many of them are taken by
      running requests. */
  struct Slots {
    int all = 0;
    int taken = 0;
  };
  /** Returns the slots of the eligible upstreams of a service. */
  Slots SlotsOf(const std::string& service) const;
  /** Sum of the prefill backlogs of a set of engines, and their number. */
  struct PrefillBacklog {
    absl::Duration duration;
    int engines = 0;
  };
  /** Returns the prefill backlog of the eligible engines of a service at `now`.
      Each engine counts with at most `limit`. */
  PrefillBacklog PrefillBacklogOf(const std::string& service,
                                  absl::Duration limit,
                                  absl::Time now) const;

 private:
  /** Ordered by key, so that decisions are deterministic. */
  std::map<UpstreamKey, ScheduledUpstream> rows_;
  uint64_t preference_seed_ = 0;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_SCHEDULED_UPSTREAM_TABLE_H_
