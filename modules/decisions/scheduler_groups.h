#ifndef MODULES_DECISIONS_SCHEDULER_GROUPS_H_
#define MODULES_DECISIONS_SCHEDULER_GROUPS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/fleet_scheduler.h"

namespace chicory {

/** Partitions upstreams into groups, each with a FleetScheduler of its own.

    The cost of a decision is proportional to the number of upstreams that are
    compared. The upstreams of a large service are therefore partitioned by
    their keys, each request belongs to one group, and different instances can
    schedule different groups. Instances that know the same upstreams partition
    them identically if they use the same number of groups. That number follows
    the number of upstreams with hysteresis, so that it does not change back and
    forth while upstreams are replaced. Not thread-safe.

    @see PlacementNode */
class SchedulerGroups {
 public:
  /** A service with up to this many upstreams is a single group. */
  static constexpr size_t kMaxGroupSize = 96;
  /** Groups that have become smaller than this on average are merged. */
  static constexpr size_t kMinGroupSize = 32;

  /** Replaces the upstreams and partitions them into groups. The scheduler of a
      group that no longer exists is dropped once it has no requests. */
  void SetUpstreams(const std::vector<UpstreamSpec>& upstreams);
  /** Sets the number of groups that the fleet uses, as another instance has
      announced it. Services that are too small or too large for it have the
      nearest possible number. */
  void AdoptGroupCount(uint32_t count);
  /** Sets the seed for schedulers that are created from now on.
      @see FleetScheduler */
  void SetPreference(uint64_t seed) { preference_seed_ = seed; }
  /** Sets whether the schedulers use admission control; call it before the
      first request. @see FleetScheduler */
  void SetAdmissionControl(bool enabled);
  /** Sets the published speed of a service's engines, for all groups. */
  void SetEngine(const std::string& service, const EngineProfile& engine);

  /** Returns true if any service has more than one group. */
  bool has_groups() const { return group_count() > 1; }
  /** Returns the number of groups of the service that has most; at least 1. */
  uint32_t group_count() const;
  /** Returns the number of groups of a service; 1 if it is unknown. */
  uint32_t GroupCountOf(const std::string& service) const;

  // The functions below forward to the FleetScheduler of the request's group,
  // or combine the results of all groups.

  void Submit(const WorkRequest& request);
  void Adopt(const RunningWork& work, absl::Time now);
  void OnResponseStarted(WorkKey key, absl::Time now);
  void OnEnded(WorkKey key,
               AttemptResult result,
               UpstreamKey faulty_upstream,
               absl::Time now);
  void Forget(WorkKey key, absl::Time now);
  std::vector<ScheduleDecision> Run(absl::Time now);

  bool IsWaiting(WorkKey key) const;
  bool IsRunning(WorkKey key) const;
  std::vector<WorkKey> KeysOf(uint32_t owner) const;
  size_t waiting() const;
  size_t running() const;
  /** Sets for each group how far this instance may use the limits of its
      upstreams. @see FleetScheduler::SetLimitUse */
  void SetLimitUse(const std::function<LimitUse(uint32_t)>& of_group);
  /** The limits that upstreams have named, for all groups. */
  RequestLimits& limits() { return *limits_; }
  const RequestLimits& limits() const { return *limits_; }
  /** Returns the number of groups that this instance has a scheduler for. */
  size_t groups() const { return schedulers_.size(); }

 private:
  /** Returns the scheduler of the request's group, created on first use. */
  FleetScheduler& SchedulerOf(const WorkRequest& request);
  /** Assigns the upstreams to groups, in each service as near to `preferred`
      groups as possible. */
  void Partition(uint32_t preferred);
  std::vector<UpstreamSpec> UpstreamsOf(uint32_t group) const;

  std::shared_ptr<RequestLimits> limits_ = std::make_shared<RequestLimits>();
  std::vector<UpstreamSpec> upstreams_;
  /** The number of groups by service. */
  absl::flat_hash_map<std::string, uint32_t> group_counts_;
  absl::flat_hash_map<std::string, EngineProfile> engines_;
  std::map<uint32_t, FleetScheduler> schedulers_;
  uint64_t preference_seed_ = 0;
  bool admission_control_ = false;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_SCHEDULER_GROUPS_H_
