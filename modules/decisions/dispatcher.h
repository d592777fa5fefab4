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

/** Schedules the admitted requests of one instance: decides where each request
    runs, when it is retried and when it is refused.

    Events are reported through the `On` functions. Tick() processes them and
    returns the commands to carry out. The current time and the random source
    are arguments, so that the same code runs in servers, replays and tests.
    Each tick runs expired timers (deadlines, queue limits, backoff), then
    placement for each changed queue, then refuses new requests that would wait
    too long. The cost of a tick is proportional to what changed since the
    previous one, not to the number of requests.

    Not thread-safe; the owner serializes all calls.

    @code
    Dispatcher dispatcher(std::move(options));
    dispatcher.OnArrival(spec, now);
    dispatcher.Tick(now, random, &commands);
    @endcode
    @see PlacementPolicy, RequestQueue */
class Dispatcher {
 public:
  struct Options {
    /** Name of this instance, under which its crash counts are published. */
    std::string instance;
    RetryRules retries;
    /** Places requests for models. Required. */
    std::unique_ptr<PlacementPolicy> model_placement;
    /** Places requests for plain services. Required. */
    std::unique_ptr<PlacementPolicy> service_placement;
    /** Maximum number of requests queued for one pool and model. */
    size_t max_queued = 2000;
    /** Whether requests are refused once their actual or estimated wait exceeds
        their first-token bound. Baseline simulations turn this off. */
    bool refuse_early = true;
    /** Whether attempts carry the priority level of their request; otherwise
        all have level 0. Baseline simulations turn this off. */
    bool use_levels = true;
    /** Whether retries are charged to the retry budget; otherwise only the
        number of attempts limits them. Baseline simulations turn this off. */
    bool limit_retries = true;
  };

  /** Receives the state changes that must be announced to other instances.
      Called from within the `On` functions of the dispatcher. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** Called when the number of upstream deaths that this instance charges to
        a request fingerprint changed. */
    virtual void OnDeathCountChanged(uint64_t fingerprint, uint32_t deaths) = 0;
    /** Called when this instance observed a state change of an upstream. */
    virtual void OnUpstreamStateObserved(const std::string& name,
                                         UpstreamState state) = 0;
  };

  explicit Dispatcher(Options options);

  /** Sets the listener, which must outlive this object; null removes it. */
  void set_listener(Listener* listener) { listener_ = listener; }

  /** Applies the retry rules of a new configuration. */
  void OnRetryRules(const RetryRules& rules);

  /** Adds or updates an upstream that the instance list contains. An upstream
      whose address changed is a new process and becomes live again.
      @returns the id of the upstream */
  UpstreamId OnUpstreamListed(const UpstreamRow& listed);

  /** Applies an announced upstream state. Announcements may lag: kLive only
      reinstates an upstream that is gone. One that is leaving becomes live
      again when it reports a new incarnation or is listed at another address,
      a broken one when its pause is over. */
  void OnUpstreamState(const std::string& name, UpstreamState state);

  /** Applies a load report, whether polled or attached to a response. */
  void OnLoadReport(UpstreamId upstream, const LoadReport& report);

  /** Same as OnLoadReport(), for an upstream known by name. */
  void OnLoadReportFrom(const std::string& name, const LoadReport& report);

  /** Records a load poll that got no response.
      @returns true when the upstream is now considered unresponsive: it gets no
      requests for a while, and the caller should abort the attempts that run on
      it */
  bool OnLoadPollFailed(const std::string& name,
                        absl::Time now,
                        absl::BitGenRef random);

  /** Applies a prefix cache event of an upstream. */
  void OnCacheEvent(UpstreamId upstream,
                    uint64_t sequence,
                    uint64_t block,
                    bool stored);

  /** Applies the death count that another instance announced for a request
      fingerprint. */
  void OnDeathCountReceived(uint64_t fingerprint,
                            const std::string& instance,
                            uint32_t deaths,
                            absl::Time now);

  /** Admits a request, which the next tick places, queues or refuses. `spec.id`
      must not be in use. */
  void OnArrival(const RequestSpec& spec, absl::Time now);

  /** Called when an attempt produced its first token. */
  void OnFirstToken(RequestId request, uint64_t attempt);

  /** Called when `tokens` tokens of the response, counted from its beginning,
      have been delivered to the caller. */
  void OnDelivered(RequestId request, int64_t tokens);

  /** Called when an attempt ended. Ignored for attempts that were already
      cancelled or superseded. */
  void OnAttemptEnded(RequestId request,
                      uint64_t attempt,
                      const AttemptEnd& end,
                      absl::Time now,
                      absl::BitGenRef random);

  /** Called when the caller disconnected. Removes the request and cancels its
      running attempt. */
  void OnCallerDisconnected(RequestId request, absl::Time now);

  /** Runs timers, placement and refusals, and appends the resulting commands in
      the order in which they must be carried out. */
  void Tick(absl::Time now,
            absl::BitGenRef random,
            std::vector<Command>* commands);

  /** Returns when Tick() has to run next if no event comes before; the infinite
      future when nothing is scheduled. */
  absl::Time NextTimer() const;

  const RequestTable& requests() const { return requests_; }
  const UpstreamTable& upstreams() const { return upstreams_; }
  const CrashingRequestTracker& crash_tracker() const { return crash_tracker_; }
  /** Returns the number of requests in all queues. */
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
  /** Removes the running attempt from its upstreams, if there is one; with
      `cancel` also tells them to cancel it. */
  void ReleaseAttempt(RequestRow* row, bool cancel);
  /** Schedules a retry of a request whose attempt failed, or refuses the
      request if it must not or cannot be retried. */
  void Retry(RequestRow* row, absl::Time now, absl::BitGenRef random);
  void OnUpstreamFailure(UpstreamId upstream,
                         absl::Time now,
                         absl::BitGenRef random);
  void RecordUpstreamDeath(RequestRow* row, absl::Time now);
  void RunTimers(absl::Time now);
  void RunPlacement(absl::Time now, absl::BitGenRef random);
  /** Refuses a request for each new one that could not be placed and whose
      queue is full or would make it wait too long. */
  void RefuseExcess();
  /** Places as many requests of one level as possible.
      @returns false when a request had to wait */
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
  PrefixIndex prefix_index_;
  RetryBudget retry_budget_;
  CrashingRequestTracker crash_tracker_;
  absl::flat_hash_map<std::string, std::unique_ptr<RequestQueue>> queues_;
  absl::flat_hash_set<std::string> changed_queues_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  /** Requests admitted since the last tick. */
  std::vector<RequestId> new_requests_;
  std::vector<Command> pending_commands_;
  uint64_t next_attempt_ = 1;
  absl::Time next_queue_scan_ = absl::InfinitePast();
  absl::Time next_crash_expiry_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_DISPATCHER_H_
