#ifndef MODULES_DECISIONS_FLEET_SCHEDULER_H_
#define MODULES_DECISIONS_FLEET_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/admission_control.h"
#include "modules/decisions/engine_timing.h"
#include "modules/decisions/long_prompt_reserve.h"
#include "modules/decisions/prompt_placement.h"
#include "modules/decisions/request_limits.h"
#include "modules/decisions/scheduled_upstream.h"
#include "modules/decisions/scheduled_upstream_table.h"

namespace chicory {

/** Why a request is refused. */
enum class RefusalCause {
  /** Its deadline passed while it waited, or no upstream can respond before it.
   */
  kDeadlineOver,
  /** The few free slots are reserved for prompts that can still be on time. */
  kNoSlots,
  /** Every placement costs other requests more than this one gains. */
  kCostsOthers,
  /** It crashes upstreams. Decided by the request's instance, not by its
      scheduler. @see CrashingParts */
  kCrashesUpstreams,
  /** All upstreams of its service have limited their requests, and it would not
      get its turn in time. @see RequestLimits */
  kUpstreamsLimited,
  /** It cannot begin in time, because callers want more than the upstreams can
      serve. @see AdmissionControl */
  kNoCapacityInTime,
};
/** The last cause; for checks of received values. */
inline constexpr RefusalCause kLastRefusalCause =
    RefusalCause::kNoCapacityInTime;
/** Returns the name under which the cause is logged. */
const char* RefusalCauseName(RefusalCause cause);

/** The decision on one request: the upstreams that serve it, or a refusal. */
struct ScheduleDecision {
  enum class Kind { kAssign, kRefuse };
  Kind kind = Kind::kAssign;
  WorkKey key;
  /** The upstream that gets the request; for engines, the lead engine. */
  UpstreamKey upstream = 0;
  /** Engines that prefill parts of the prompt, in addition to `upstream`. */
  std::vector<UpstreamKey> helpers;
  /** Memory to be reserved at helpers for what `upstream` cannot hold. */
  std::vector<MemoryShare> memory;
  /** For refusals: the cause, and the time after which to retry. */
  RefusalCause cause = RefusalCause::kDeadlineOver;
  absl::Duration retry_after = absl::ZeroDuration();
  /** Expected time to the first event. */
  absl::Duration expected = absl::ZeroDuration();
};

/** A placed request, as its owner reports it to a new scheduler. */
struct RunningWork {
  WorkRequest request;
  UpstreamKey upstream = 0;
  bool response_started = false;
};

/** Places requests at upstreams and orders those that wait, for load that
    alternates between many short prompts and few very long ones.

    Short prompts are packed onto as few engines as can keep their first events
    and their event gaps on time, which leaves other engines free for prefill. A
    long prompt is split over the engines whose streams it delays least. A
    request that would be late at every upstream waits here, where it can still
    be reordered, and one that can no longer be served is refused.

    One instance schedules for all; each instance also keeps a scheduler of its
    own for when it can reach no other. Decisions are made only in Run(). Not
    thread-safe. */
class FleetScheduler {
 public:
  /** `limits` may be shared by several schedulers. */
  explicit FleetScheduler(
      std::shared_ptr<RequestLimits> limits = std::make_shared<RequestLimits>())
      : limits_(std::move(limits)) {}

  /** Replaces the upstreams that may get new work. Requests that run at other
      upstreams continue. */
  void SetUpstreams(const std::vector<UpstreamSpec>& upstreams) {
    upstreams_.SetUpstreams(upstreams);
    limits_->SetCold(upstreams);
  }
  /** Sets the seed of the small costs that break ties between upstreams; call
      it before SetUpstreams(). @see ScheduledUpstreamTable */
  void SetPreference(uint64_t seed) { upstreams_.SetPreference(seed); }
  /** Sets the published speed of a service's engines. */
  void SetEngine(const std::string& service, const EngineProfile& engine);

  /** Sets how far this scheduler may use the limits of upstreams. */
  void SetLimitUse(const LimitUse& use) { uses_limited_ = use; }

  /** Sets whether requests that cannot begin in time are refused at once. To be
      called before the first request. @see AdmissionControl */
  void SetAdmissionControl(bool enabled,
                           AdmissionControl::Options options = {});

  /** Adds a request to those that wait. A key that already waits or runs is
      ignored. */
  void Submit(const WorkRequest& request);
  /** Adds a request that its owner or another scheduler has already placed. It
      is not tracked if its upstream is unknown here. */
  void Adopt(const RunningWork& work, absl::Time now);
  /** Called when the first event of the response has arrived. */
  void OnResponseStarted(WorkKey key, absl::Time now);
  /** Called when the attempt has ended. The result counts for the upstream
      `faulty_upstream`, or for the lead upstream of the placement if that is 0.
      A request that still waits is removed; unknown keys are ignored. */
  void OnEnded(WorkKey key,
               AttemptResult result,
               UpstreamKey faulty_upstream,
               absl::Time now);
  /** Removes a request that its owner no longer holds. */
  void Forget(WorkKey key, absl::Time now);

  /** Returns the decisions that can be made now. Other requests keep
      waiting. */
  std::vector<ScheduleDecision> Run(absl::Time now);

  bool IsWaiting(WorkKey key) const { return waiting_.contains(key); }
  bool IsRunning(WorkKey key) const { return running_.contains(key); }
  /** Returns the keys of an owner's waiting and running requests, sorted. */
  std::vector<WorkKey> KeysOf(uint32_t owner) const;
  size_t waiting() const { return waiting_.size(); }
  size_t running() const { return running_.size(); }
  /** Returns the number of requests that run at an upstream, for tests and
      metrics. */
  int RunningAt(UpstreamKey upstream) const {
    return upstreams_.RunningAt(upstream);
  }

 private:
  struct Placement {
    WorkRequest request;
    std::vector<UpstreamKey> upstreams;
    absl::Time placed_at;
    bool response_started = false;
  };
  /** Returns the published speed of a service's engines; null if the service is
      not a model engine. */
  const EngineProfile* EngineOf(const std::string& service) const;
  /** Returns the least loaded upstream of a service that is not a model engine.
      Ties go to the one that was used longest ago. */
  PlacementOption ChoosePlain(const WorkRequest& request, absl::Time now);
  enum class Action { kPlace, kWait, kRefuse };
  struct Evaluation {
    Action action = Action::kPlace;
    RefusalCause cause = RefusalCause::kCostsOthers;
  };
  /** Returns what to do with a request, given its best placement. */
  Evaluation Evaluate(const WorkRequest& request,
                      const PlacementOption& choice,
                      absl::Duration prefill,
                      absl::Time now) const;
  /** Returns the decision on a waiting request, or nullopt if it keeps
      waiting. */
  std::optional<ScheduleDecision> Decide(WorkKey key, absl::Time now);
  /** Applies admission control to the evaluation of a request. */
  Evaluation Admit(const WorkRequest& request,
                   const PlacementOption& choice,
                   Evaluation evaluation,
                   absl::Time now);
  void StopWaiting(WorkKey key);
  /** Returns the use of a service's upstreams, computed once for each run and
      after each placement. */
  const AdmissionControl::Usage& UsageOf(const std::string& service,
                                         absl::Time now);
  /** Returns the engines that may serve a request. */
  std::vector<ScheduledUpstream*> EnginesFor(const EngineProfile& engine,
                                             const WorkRequest& request,
                                             absl::Time now);
  ScheduleDecision Refuse(WorkKey key, RefusalCause cause, absl::Time now);
  ScheduleDecision RefuseUntil(WorkKey key,
                               RefusalCause cause,
                               absl::Duration retry_after);
  /** Returns how long a waiting request will wait for its turn because all
      upstreams of its service have limited their requests; zero if they have
      not. */
  absl::Duration WaitForLimits(const WorkRequest& request,
                               absl::Time now) const;
  /** Returns true if so few slots are free that they are reserved for prompts
      that can still be on time. */
  bool IsShortOfSlots(const WorkRequest& request) const;
  /** Returns the prefill backlog per engine of the request's service, in placed
      prompts and in waiting ones that are not late, without this one. What is
      placed at an engine counts with at most `limit`. */
  absl::Duration MeanPrefillBacklog(const WorkRequest& request,
                                    absl::Duration limit,
                                    absl::Time now) const;
  /** Returns the value that other requests lose for each millisecond of prefill
      at the request's service, which grows with its prefill backlog. */
  double PrefillPrice(const WorkRequest& request, absl::Time now) const;
  void Place(const WorkRequest& request,
             const PlacementOption& choice,
             absl::Time now);
  /** Counts a new placement against the limits of its upstreams. */
  void CountAgainstLimits(const PlacementOption& choice, absl::Time now);
  /** Returns the waiting requests to evaluate now: those that can still be on
      time first, then by priority and latest start. */
  std::vector<WorkKey> EvaluationOrder(absl::Time now);
  /** Passes requests that were submitted since the last run to admission
      control. */
  void AddToAdmission(absl::Time now);
  /** Removes running requests past their deadline, in case the report of their
      end was lost. */
  void ExpireRunning(absl::Time now);

  std::shared_ptr<RequestLimits> limits_;
  LimitUse uses_limited_;
  ScheduledUpstreamTable upstreams_;
  absl::flat_hash_map<std::string, EngineProfile> engines_;
  /** A request that has not been placed. */
  struct Waiting {
    WorkRequest request;
    absl::Time next_evaluation = absl::InfinitePast();
  };
  absl::flat_hash_map<WorkKey, Waiting> waiting_;
  absl::flat_hash_map<WorkKey, Placement> running_;
  std::optional<AdmissionControl> admission_;
  /** Requests that admission control does not know yet. */
  std::vector<WorkKey> submitted_;
  LongPromptReserve reserve_;
  absl::flat_hash_map<std::string, AdmissionControl::Usage> usage_;
  /** Expected time to the first event less the prefill, by service, as an
      exponentially weighted average. */
  absl::flat_hash_map<std::string, absl::Duration> overhead_;
  absl::Time next_expiry_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_FLEET_SCHEDULER_H_
