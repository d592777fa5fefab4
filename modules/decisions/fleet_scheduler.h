#ifndef MODULES_DECISIONS_FLEET_SCHEDULER_H_
#define MODULES_DECISIONS_FLEET_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/engine_timing.h"

namespace chicory {

/** Names one placement of a request over all instances. */
struct WorkKey {
  /** The instance that holds the request, by its IPv4 address. */
  uint32_t owner = 0;
  /** Unique within the owner's incarnation and beyond it. */
  uint64_t sequence = 0;

  friend bool operator==(WorkKey a, WorkKey b) {
    return a.owner == b.owner && a.sequence == b.sequence;
  }
  friend bool operator<(WorkKey a, WorkKey b) {
    return std::pair(a.owner, a.sequence) < std::pair(b.owner, b.sequence);
  }
  template <class H>
  friend H AbslHashValue(H state, WorkKey key) {
    return H::combine(std::move(state), key.owner, key.sequence);
  }
};

/** An upstream by the stable hash of its id. */
using UpstreamKey = uint64_t;

/** A request that asks for an upstream. */
struct WorkRequest {
  WorkKey key;
  std::string service;
  /** 0 for requests that no model engine serves. */
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  /** The first part of the answer is on time until then. */
  absl::Time due;
  /** Nothing is of use after it. */
  absl::Time deadline;
  /** Longest pause between events that is on time. */
  absl::Duration event_gap = absl::InfiniteDuration();
  /** 0 goes first. */
  int priority = 0;
  /** Upstreams that already failed or refused it. */
  std::vector<UpstreamKey> avoid;
};

/** An upstream as the scheduler needs it. */
struct SchedulerUpstream {
  UpstreamKey key = 0;
  std::string service;
  int slots = 1;
};

/** How one send ended, for the scheduler's view of the upstream. */
enum class SendResult {
  kDone,
  /** The upstream said that it is full. */
  kFull,
  /** Reset, garbled, silent or answered with an error. */
  kFault,
  /** Ended for reasons of the caller or of this side. */
  kCancelled,
};

/** Memory that is to be set aside at an engine for a prompt. */
struct MemoryShare {
  UpstreamKey upstream = 0;
  int64_t tokens = 0;
};

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
  /** For refusals: when it is worth asking again. */
  absl::Duration retry_after = absl::ZeroDuration();
  /** Estimated time to the first part of the answer. */
  absl::Duration expected = absl::ZeroDuration();
};

/** A placement that runs, as its owner tells it to a new scheduler. */
struct RunningWork {
  WorkRequest request;
  UpstreamKey upstream = 0;
  bool answering = false;
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
  /** Replaces the upstreams that may get new work. Work at others goes on. */
  void SetUpstreams(const std::vector<SchedulerUpstream>& upstreams);
  /** Makes schedulers with different seeds begin with different upstreams where
      all are equal, so that those that do not know of each other do not all
      choose the same one. */
  void SetPreference(uint64_t seed) { preference_seed_ = seed; }
  /** Sets the published speed of a service's engines. */
  void SetEngine(const std::string& service, const EngineProfile& engine);

  /** Takes in a request. Repeats of a key are ignored. */
  void Submit(const WorkRequest& request);
  /** Takes in work that another scheduler or the owner placed. */
  void Adopt(const RunningWork& work, absl::Time now);
  /** The first part of the answer has come. */
  void OnFirstPart(WorkKey key, absl::Time now);
  /** The send ended; `fault_at` names another upstream that is to blame, 0 for
      none. Unknown keys are ignored. */
  void OnEnded(WorkKey key,
               SendResult result,
               UpstreamKey fault_at,
               absl::Time now);
  /** The owner no longer holds the request. */
  void Forget(WorkKey key);
  /** The upstream's own measure of its slowness; 1 is the published speed. */
  void SetPace(UpstreamKey upstream, double pace);

  /** Decides what can be decided now. */
  std::vector<ScheduleDecision> Run(absl::Time now);

  bool IsWaiting(WorkKey key) const { return waiting_.contains(key); }
  bool IsRunning(WorkKey key) const { return running_.contains(key); }
  /** Keys of an owner that wait or run. */
  std::vector<WorkKey> KeysOf(uint32_t owner) const;
  size_t waiting() const { return waiting_.size(); }
  size_t running() const { return running_.size(); }
  /** Requests that run at an upstream, for tests and metrics. */
  int RunningAt(UpstreamKey upstream) const;

 private:
  /** A request, or a part of its prompt, at one upstream. */
  struct Load {
    WorkKey key;
    bool is_part = false;
    bool answering = false;
    /** Memory that it takes. */
    int64_t tokens = 0;
    absl::Time due;
    absl::Time deadline;
    /** When the request's first part was expected, delays since included. */
    absl::Time expected;
    double gap_ms = 0;
    double value = 0;
  };
  struct UpstreamState {
    SchedulerUpstream info;
    bool eligible = true;
    /** Cost between 0 and kPreferenceCost that differs between schedulers. */
    double preference = 0;
    std::vector<Load> loads;
    /** When the prompts read there now are expected to be read. */
    absl::Time read_until = absl::InfinitePast();
    double pace = 1;
    absl::Time last_placed = absl::InfinitePast();
    /** Recent faults, fading with kFaultHalfLife. */
    double faults = 0;
    absl::Time faults_at = absl::InfinitePast();
    /** Left alone for its faults until then, if others can serve. */
    absl::Time suspended_until = absl::InfinitePast();
    /** It said that it was full. */
    absl::Time full_until = absl::InfinitePast();
  };
  struct Placement {
    WorkRequest request;
    std::vector<UpstreamKey> upstreams;
    bool answering = false;
  };
  /** Streams at one engine that bear the same pause. */
  struct GapGroup {
    double gap_ms = 0;
    /** Sum over the streams. */
    double value = 0;
  };
  /** An engine as it is now, in milliseconds, for the arrangements of one
      request. */
  struct EngineView {
    UpstreamState* upstream = nullptr;
    /** A pass without reading. */
    double base_ms = 0;
    /** Reading that is owed. */
    double backlog_ms = 0;
    double pace = 1;
    double faults = 0;
    double preference = 0;
    int writers = 0;
    int requests = 0;
    bool has_slot = false;
    /** Tokens that its memory can still take. */
    int64_t free_tokens = 0;
    std::vector<GapGroup> gaps;
    std::vector<const Load*> unread;
  };
  /** What one engine's part in a prompt would do. */
  struct Estimate {
    /** Value that others there would lose. */
    double harm = 0;
    double pass_ms = 0;
    /** Until it has read its part after all that it reads for others, and
        writes the answer. */
    double lead_ms = 0;
    /** Until it has read its part, which it turns to at once. */
    double helper_ms = 0;
  };
  struct Candidate {
    const EngineView* view = nullptr;
    Estimate estimate;
    double cost = 0;
    double cost_as_lead = 0;
  };
  struct Choice {
    /** The one that answers comes first. */
    std::vector<UpstreamState*> upstreams;
    std::vector<MemoryShare> memory;
    double cost = 0;
    double harm = 0;
    /** Part of `cost` for recent faults, which waiting does not lower. */
    double fault_cost = 0;
    absl::Duration first_part = absl::InfiniteDuration();
    /** The least `first_part` of all arrangements that were weighed. */
    absl::Duration fastest = absl::InfiniteDuration();
  };

  const EngineProfile* EngineOf(const std::string& service) const;
  /** Upstreams of the request's service that may get it now. */
  std::vector<UpstreamState*> Usable(const WorkRequest& request,
                                     absl::Time now);
  double FaultsNow(const UpstreamState& upstream, absl::Time now) const;
  void AddFault(UpstreamKey key, double amount, absl::Time now);
  EngineView ViewOf(const EngineProfile& engine,
                    UpstreamState* upstream,
                    absl::Time now) const;
  static Estimate EstimateRead(const EngineView& view,
                               double read_ms,
                               absl::Time now);
  /** What `load` loses in value when the engine that reads it turns to another
      read first. */
  static double DelayHarm(const Load& load, double delay_ms, absl::Time now);
  /** Candidates for one of `parts` parts, the cheapest first. */
  static std::vector<Candidate> RankCandidates(
      const WorkRequest& request,
      const std::vector<EngineView>& views,
      double read_ms,
      size_t parts,
      absl::Time now);
  /** Puts the candidate that answers first; false when none can. */
  static bool PutLeadFirst(std::vector<Candidate>* candidates,
                           size_t parts,
                           int64_t needed);
  /** Memory at the others for what the first cannot hold; false when they
      cannot hold it either. */
  static bool ShareMemory(const std::vector<Candidate>& parts,
                          int64_t needed,
                          std::vector<MemoryShare>* memory);
  static Choice ChooseParts(const WorkRequest& request,
                            const std::vector<EngineView>& views,
                            double read_ms,
                            size_t parts,
                            absl::Time now);
  Choice ChooseEngines(const EngineProfile& engine,
                       const WorkRequest& request,
                       absl::Time now);
  Choice ChoosePlain(const WorkRequest& request, absl::Time now);
  /** What becomes of a request whose best choice is known. */
  enum class Verdict { kPlace, kWait, kRefuse };
  Verdict Judge(const WorkRequest& request,
                const Choice& choice,
                absl::Duration read,
                absl::Time now) const;
  /** Whether so few places are free that a late prompt would take one from a
      prompt that can still be on time. */
  bool IsShortOfSlots(const WorkRequest& request) const;
  /** Value that others lose for each millisecond of reading at the engines of
      the request's service, by how much reading is owed there. */
  double ReadPrice(const WorkRequest& request, absl::Time now) const;
  void Place(const WorkRequest& request, const Choice& choice, absl::Time now);
  void RemoveLoads(WorkKey key, const Placement& placement);
  std::vector<WorkKey> InOrder(absl::Time now) const;
  /** Drops what ran past its deadline and whose end was never told. */
  void ExpireRunning(absl::Time now);

  /** Ordered, so that a run depends on nothing but its inputs. */
  std::map<UpstreamKey, UpstreamState> upstreams_;
  absl::flat_hash_map<std::string, EngineProfile> engines_;
  /** A request without an upstream yet. */
  struct Waiting {
    WorkRequest request;
    /** When it is worth looking at again. */
    absl::Time next_look = absl::InfinitePast();
  };
  absl::flat_hash_map<WorkKey, Waiting> waiting_;
  absl::flat_hash_map<WorkKey, Placement> running_;
  uint64_t preference_seed_ = 0;
  /** Time to the first part beyond the reading, by service, smoothed. */
  absl::flat_hash_map<std::string, absl::Duration> overhead_;
  absl::Time next_expiry_ = absl::InfinitePast();
};

/** What a request is worth to its caller, relative to a tiny one: long prompts
    are rarer and their callers have waited longer. */
double RequestValue(int64_t prompt_tokens, int64_t output_tokens);

}  // namespace chicory

#endif  // MODULES_DECISIONS_FLEET_SCHEDULER_H_
