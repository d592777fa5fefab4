#ifndef MODULES_DECISIONS_FLEET_SCHEDULER_H_
#define MODULES_DECISIONS_FLEET_SCHEDULER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/crash_history.h"
#include "modules/decisions/engine_timing.h"
#include "modules/decisions/prompt_placement.h"
#include "modules/decisions/scheduled_upstream.h"
#include "modules/decisions/scheduled_upstream_table.h"

namespace chicory {

/** Why a request is refused. */
enum class RefusalCause {
  /** Its deadline passed while it waited. */
  kDeadlineOver,
  /** Too few places are free for prompts that are late already. */
  kNoSlots,
  /** Every arrangement costs others more than it gains. */
  kCostsOthers,
  /** Upstreams broke off while they ran it. */
  kCrashesUpstreams,
};
/** The cause's name in logs. */
const char* RefusalCauseName(RefusalCause cause);

/** What the scheduler decided. */
struct ScheduleDecision {
  enum class Kind { kAssign, kRefuse };
  Kind kind = Kind::kAssign;
  WorkKey key;
  UpstreamKey upstream = 0;
  /** Engines that read parts of the prompt, beside `upstream`. */
  std::vector<UpstreamKey> helpers;
  /** Memory at helpers for what `upstream` cannot hold by itself. */
  std::vector<MemoryShare> memory;
  /** For refusals: why, and when it is worth asking again. */
  RefusalCause cause = RefusalCause::kDeadlineOver;
  absl::Duration retry_after = absl::ZeroDuration();
  /** Estimated time to the first part of the answer. */
  absl::Duration expected = absl::ZeroDuration();
};

/** A placement that runs, as its owner tells it to a new scheduler. */
struct RunningWork {
  WorkRequest request;
  UpstreamKey upstream = 0;
  bool response_started = false;
};

/** Decides which upstreams serve which requests, and in which order requests
    wait, for load that swings between many short prompts and few very long
    ones.

    Short prompts share as few engines as keep their first event and their
    pauses on time, so that others are free to read. A long prompt is read in
    parts by as many engines as cost the streams there the least. What would
    be late everywhere waits here, where it can still be reordered, and what can
    no longer be served is refused. One instance runs it for all; each instance
    keeps one of its own for when it reaches no other. Not thread-safe.

    Reads and changes its tables of upstreams, waiting and running work in
    Run; nothing else calls out. */
class FleetScheduler {
 public:
  /** @see ScheduledUpstreamTable */
  void SetUpstreams(const std::vector<UpstreamSpec>& upstreams) {
    upstreams_.SetUpstreams(upstreams);
  }
  void SetPreference(uint64_t seed) { upstreams_.SetPreference(seed); }
  /** Sets the published speed of a service's engines. */
  void SetEngine(const std::string& service, const EngineProfile& engine);

  /** Takes in a request. Repeats of a key are ignored. */
  void Submit(const WorkRequest& request);
  /** Takes in work that another scheduler or the owner placed. */
  void Adopt(const RunningWork& work, absl::Time now);
  /** The first part of the answer has come. */
  void OnResponseStarted(WorkKey key, absl::Time now);
  /** The send ended; `faulty_upstream` names another upstream that is to blame,
     0 for none. Unknown keys are ignored. */
  void OnEnded(WorkKey key,
               AttemptResult result,
               UpstreamKey faulty_upstream,
               absl::Time now);
  /** The owner no longer holds the request. */
  void Forget(WorkKey key);

  /** Decides what can be decided now. */
  std::vector<ScheduleDecision> Run(absl::Time now);

  bool IsWaiting(WorkKey key) const { return waiting_.contains(key); }
  bool IsRunning(WorkKey key) const { return running_.contains(key); }
  /** Keys of an owner that wait or run. */
  std::vector<WorkKey> KeysOf(uint32_t owner) const;
  size_t waiting() const { return waiting_.size(); }
  size_t running() const { return running_.size(); }
  /** Requests that run at an upstream, for tests and metrics. */
  int RunningAt(UpstreamKey upstream) const {
    return upstreams_.RunningAt(upstream);
  }

 private:
  struct Placement {
    WorkRequest request;
    std::vector<UpstreamKey> upstreams;
    bool response_started = false;
  };
  const EngineProfile* EngineOf(const std::string& service) const;
  PlacementOption ChoosePlain(const WorkRequest& request, absl::Time now);
  /** What becomes of a request whose best choice is known. */
  enum class Verdict { kPlace, kWait, kRefuse };
  struct Judgement {
    Verdict verdict = Verdict::kPlace;
    RefusalCause cause = RefusalCause::kCostsOthers;
  };
  Judgement Judge(const WorkRequest& request,
                  const PlacementOption& choice,
                  absl::Duration read,
                  absl::Time now) const;
  /** The decision about a waiting request; nothing while it waits on. */
  std::optional<ScheduleDecision> Decide(WorkKey key, absl::Time now);
  ScheduleDecision Refuse(WorkKey key, RefusalCause cause, absl::Time now);
  /** Whether so few places are free that a late prompt would take one from a
      prompt that can still be on time. */
  bool IsShortOfSlots(const WorkRequest& request) const;
  /** Reading that an engine of the request's service owes on average, to placed
      and to waiting prompts other than this one. */
  absl::Duration OwedReading(const WorkRequest& request, absl::Time now) const;
  /** Value that others lose for each millisecond of reading at the engines of
      the request's service, by how much reading is owed there. */
  double ReadPrice(const WorkRequest& request, absl::Time now) const;
  void Place(const WorkRequest& request,
             const PlacementOption& choice,
             absl::Time now);
  std::vector<WorkKey> InOrder(absl::Time now) const;
  /** Drops what ran past its deadline and whose end was never told. */
  void ExpireRunning(absl::Time now);

  ScheduledUpstreamTable upstreams_;
  absl::flat_hash_map<std::string, EngineProfile> engines_;
  /** A request without an upstream yet. */
  struct Waiting {
    WorkRequest request;
    /** When it is worth looking at again. */
    absl::Time next_look = absl::InfinitePast();
  };
  absl::flat_hash_map<WorkKey, Waiting> waiting_;
  absl::flat_hash_map<WorkKey, Placement> running_;
  CrashHistory crashes_;
  /** Time to the first part beyond the reading, by service, smoothed. */
  absl::flat_hash_map<std::string, absl::Duration> overhead_;
  absl::Time next_expiry_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_FLEET_SCHEDULER_H_
