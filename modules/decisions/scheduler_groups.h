#ifndef MODULES_DECISIONS_SCHEDULER_GROUPS_H_
#define MODULES_DECISIONS_SCHEDULER_GROUPS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/fleet_scheduler.h"

namespace chicory {

/** Schedules for groups of upstreams, each by a FleetScheduler of its own.

    A decision costs in proportion to the upstreams that are weighed. So the
    upstreams of a large service are cut into groups by their keys, each request
    belongs to one group, and the groups may be scheduled by different
   instances. All instances that know the same upstreams cut them alike. Not
   thread-safe.

    @see PlacementNode */
class SchedulerGroups {
 public:
  /** A service with up to this many upstreams is one group. */
  static constexpr size_t kLargestGroup = 96;

  /** @see FleetScheduler */
  void SetUpstreams(const std::vector<UpstreamSpec>& upstreams);
  void SetPreference(uint64_t seed) { preference_seed_ = seed; }
  void SetEngine(const std::string& service, const EngineProfile& engine);

  /** Whether any service is cut into more than one group. */
  bool has_groups() const;
  /** Groups that the upstreams of a service are cut into. */
  uint32_t GroupCountOf(const std::string& service) const;

  /** The same as those of FleetScheduler, for the group of the request. */
  void Submit(const WorkRequest& request);
  void Adopt(const RunningWork& work, absl::Time now);
  void OnResponseStarted(WorkKey key, absl::Time now);
  void OnEnded(WorkKey key,
               AttemptResult result,
               UpstreamKey faulty_upstream,
               absl::Time now);
  void Forget(WorkKey key);
  std::vector<ScheduleDecision> Run(absl::Time now);

  bool IsWaiting(WorkKey key) const;
  bool IsRunning(WorkKey key) const;
  std::vector<WorkKey> KeysOf(uint32_t owner) const;
  size_t waiting() const;
  size_t running() const;
  /** Groups that are scheduled here. */
  size_t groups() const { return schedulers_.size(); }

 private:
  FleetScheduler& SchedulerOf(const WorkRequest& request);
  std::vector<UpstreamSpec> UpstreamsOf(uint32_t group) const;

  std::vector<UpstreamSpec> upstreams_;
  absl::flat_hash_map<std::string, uint32_t> counts_;
  absl::flat_hash_map<std::string, EngineProfile> engines_;
  std::map<uint32_t, FleetScheduler> schedulers_;
  uint64_t preference_seed_ = 0;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_SCHEDULER_GROUPS_H_
