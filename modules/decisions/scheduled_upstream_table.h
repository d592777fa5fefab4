#ifndef MODULES_DECISIONS_SCHEDULED_UPSTREAM_TABLE_H_
#define MODULES_DECISIONS_SCHEDULED_UPSTREAM_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/decisions/prompt_placement.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** The table of upstreams that a scheduler places requests at, with what runs
   at each and how it did lately. Not thread-safe.

    @see FleetScheduler */
class ScheduledUpstreamTable {
 public:
  /** Makes schedulers with different seeds begin with different upstreams where
      all are equal. */
  void SetPreference(uint64_t seed) { preference_seed_ = seed; }
  /** Replaces the upstreams that may get new work. Work at others goes on. */
  void SetUpstreams(const std::vector<UpstreamSpec>& upstreams);

  /** Null when it is unknown. */
  ScheduledUpstream* Find(UpstreamKey key);
  /** Upstreams of a service that may get work now. */
  std::vector<ScheduledUpstream*> Usable(const std::string& service,
                                         absl::Time now);

  /** Puts a request at the upstreams of its choice, each of which reads for
      `read`; returns them. */
  std::vector<UpstreamKey> Add(const WorkRequest& request,
                               const PlacementOption& choice,
                               absl::Duration read,
                               absl::Time now);
  /** The first part of the request's answer has come. */
  void OnResponseStarted(WorkKey key,
                         const std::vector<UpstreamKey>& upstreams,
                         absl::Time now);
  void Remove(WorkKey key, const std::vector<UpstreamKey>& upstreams);
  /** A send ended for which `upstream` is to thank or to blame. */
  void OnSendEnded(UpstreamKey upstream, AttemptResult result, absl::Time now);

  /** Requests that run at an upstream, parts of prompts left out. */
  int RunningAt(UpstreamKey upstream) const;
  struct Slots {
    int all = 0;
    int taken = 0;
  };
  /** Slots of the upstreams of a service that may get work. */
  Slots SlotsOf(const std::string& service) const;
  struct Reading {
    absl::Duration owed;
    int engines = 0;
  };
  /** Reading that the engines of a service owe. */
  Reading ReadingOf(const std::string& service, absl::Time now) const;

 private:
  /** Ordered, so that a decision depends on nothing but its inputs. */
  std::map<UpstreamKey, ScheduledUpstream> rows_;
  uint64_t preference_seed_ = 0;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_SCHEDULED_UPSTREAM_TABLE_H_
