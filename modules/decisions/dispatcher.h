#ifndef MODULES_DECISIONS_DISPATCHER_H_
#define MODULES_DECISIONS_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"
#include "modules/decisions/command.h"
#include "modules/decisions/crashing_request_tracker.h"
#include "modules/decisions/placement_policy.h"
#include "modules/decisions/prefix_index.h"
#include "modules/decisions/request_queue.h"
#include "modules/decisions/request_table.h"
#include "modules/decisions/retry_budget.h"
#include "modules/decisions/upstream_table.h"

namespace chicory {

/** Decides for every admitted request of one instance where it runs, when it
    is tried again and when it is refused.

    Events go in through the `On` functions; `Tick` runs the systems over the
    tables and hands out commands. Time and chance come in as arguments, so the
    same code runs in processes, replays and tests. The order of the systems:
    timers (deadlines, queue limits, backoff), placement of each changed queue,
    refusal of what would wait too long. A tick costs what changed since the
   last. Not thread-safe.

    @code
    Dispatcher dispatcher(std::move(options));
    dispatcher.OnArrival(spec, now);
    dispatcher.Tick(now, random, &commands);
    @endcode
    @see PlacementPolicy, RequestQueue */
class Dispatcher {
 public:
  struct Options {
    /** Name of this instance, for the crash counts. */
    std::string instance;
    RetryRules retries;
    /** Required. */
    std::unique_ptr<PlacementPolicy> model_placement;
    /** Required. */
    std::unique_ptr<PlacementPolicy> service_placement;
    /** Most requests that wait for one pool and model. */
    size_t max_queued = 2000;
    /** Off: nothing is refused before its deadline. For baselines. */
    bool refuse_early = true;
    /** Off: every attempt gets the same level. For baselines. */
    bool use_levels = true;
    /** Off: retries are unlimited but for their number. For baselines. */
    bool limit_retries = true;
  };

  /** Is told of what other instances should know. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** This instance's count of deaths of a fingerprint changed. */
    virtual void OnDeathCountChanged(uint64_t fingerprint, uint32_t deaths) = 0;
    /** This instance saw an upstream change its state. */
    virtual void OnUpstreamStateObserved(const std::string& name,
                                         UpstreamState state) = 0;
  };

  explicit Dispatcher(Options options);

  /** `listener` must outlive this object; null for none. */
  void set_listener(Listener* listener) { listener_ = listener; }

  /** Takes over rules of a new configuration. */
  void OnRetryRules(const RetryRules& rules);

  /** An upstream stands in the instance list. */
  UpstreamId OnUpstreamListed(const UpstreamRow& seen);

  /** Someone said that an upstream is live, leaving or gone. Leaving and gone
      hold until the upstream shows a new incarnation or another address. */
  void OnUpstreamState(const std::string& name, UpstreamState state);

  /** A load report came, alone or on an answer. */
  void OnLoadReport(UpstreamId upstream, const LoadReport& report);

  /** The same, for an upstream known by name. */
  void OnLoadReportFrom(const std::string& name, const LoadReport& report);

  /** A question for an upstream's load was not answered. True when it counts
      as silent from now on: it gets no work for a while, and attempts that run
      on it are to be broken off. */
  bool OnLoadPollFailed(const std::string& name,
                        absl::Time now,
                        absl::BitGenRef random);

  /** A prefix cache event came from an upstream. */
  void OnCacheEvent(UpstreamId upstream,
                    uint64_t sequence,
                    uint64_t block,
                    bool stored);

  /** Another instance told its count of deaths. */
  void OnDeathCountReceived(uint64_t fingerprint,
                            const std::string& instance,
                            uint32_t deaths,
                            absl::Time now);

  /** A caller's request came. It is placed, queued or refused at the next
      tick. `spec.id` must be new. */
  void OnArrival(const RequestSpec& spec, absl::Time now);

  /** The first token of an attempt came. */
  void OnFirstToken(RequestId request, uint64_t attempt);

  /** The caller has `tokens` of the answer. */
  void OnDelivered(RequestId request, int64_t tokens);

  /** An attempt ended. Ends of attempts already given up are ignored. */
  void OnAttemptEnded(RequestId request,
                      uint64_t attempt,
                      const AttemptEnd& end,
                      absl::Time now,
                      absl::BitGenRef random);

  /** The caller hung up; whatever the request holds is given back. */
  void OnCallerGone(RequestId request, absl::Time now);

  /** Runs the systems and appends commands in the order to carry out. */
  void Tick(absl::Time now,
            absl::BitGenRef random,
            std::vector<Command>* commands);

  /** When the next timer is due; the infinite future when there is none. */
  absl::Time NextTimer() const;

  const RequestTable& requests() const { return requests_; }
  const UpstreamTable& upstreams() const { return upstreams_; }
  const CrashingRequestTracker& crash_guard() const { return crash_guard_; }
  /** Requests that wait for an upstream, over all queues. */
  size_t queued() const;

 private:
  enum class TimerKind { kDeadline, kQueueLimit, kBackoffOver, kRetryUpstream };

  struct Timer {
    absl::Time due;
    TimerKind kind;
    RequestId request;
    UpstreamId upstream;
    bool operator>(const Timer& other) const { return due > other.due; }
  };

  RequestQueue& QueueOf(const RequestSpec& spec);
  void Enqueue(RequestRow* row);
  void Refuse(RequestRow* row,
              RefusalReason reason,
              absl::Duration retry_after);
  void Detach(RequestRow* row, bool cancel);
  void Retry(RequestRow* row, absl::Time now, absl::BitGenRef random);
  void OnUpstreamFailure(UpstreamId upstream,
                         absl::Time now,
                         absl::BitGenRef random);
  void ChargeDeath(RequestRow* row, absl::Time now);
  void RunTimers(absl::Time now);
  void RunPlacement(absl::Time now, absl::BitGenRef random);
  /** Turns away newcomers that found no place and would wait too long. */
  void RefuseExcess();
  /** Places what it can of one level; false when something had to wait. */
  bool PlaceLevel(RequestQueue* queue,
                  int level,
                  absl::Time now,
                  absl::BitGenRef random);
  bool TryPlace(RequestQueue* queue,
                RequestRow* row,
                absl::Time now,
                absl::BitGenRef random);
  void Start(RequestRow* row, const PlacementChoice& choice, absl::Time now);
  void AddTimer(absl::Time due,
                TimerKind kind,
                RequestId request,
                UpstreamId upstream = {});
  RunState RunStateOf(const RequestRow& row) const;

  Options options_;
  Listener* listener_ = nullptr;
  RequestTable requests_;
  UpstreamTable upstreams_;
  PrefixIndex prefixes_;
  RetryBudget retry_budget_;
  CrashingRequestTracker crash_guard_;
  absl::flat_hash_map<std::string, std::unique_ptr<RequestQueue>> queues_;
  absl::flat_hash_set<std::string> changed_queues_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  /** Requests that came since the last tick. */
  std::vector<RequestId> arrived_;
  std::vector<Command> pending_;
  uint64_t next_attempt_ = 1;
  absl::Time next_queue_scan_ = absl::InfinitePast();
  absl::Time next_crash_expiry_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_DISPATCHER_H_
