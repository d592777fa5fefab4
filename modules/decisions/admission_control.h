#ifndef MODULES_DECISIONS_ADMISSION_CONTROL_H_
#define MODULES_DECISIONS_ADMISSION_CONTROL_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/account_shares.h"
#include "modules/decisions/prompt_placement.h"
#include "modules/decisions/request_class.h"
#include "modules/decisions/return_schedule.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** Decides which waiting requests are refused at once because they cannot begin
    in time, and which placements are not worth what they cost others.

    Load: callers want several times the capacity for seconds. Requests that
    wait until they are late spend the capacity on callers that have
    disconnected or will be late, and new requests, which could be on time, wait
    behind them.

    Requests of similar length, priority and service form a class. The wait of a
    request is predicted from the requests of its class that wait ahead of it
    and the rate at which the class was placed lately, corrected by the ratio of
    actual to predicted waits. The rate reflects all that limits placements:
    slots, prefill, long prompts that several engines share, and slow, cold,
    full or limited upstreams. Not thread-safe. */
class AdmissionControl {
 public:
  /** What is used; all of it but in experiments. */
  struct Options {
    bool account_shares = true;
    bool return_schedule = true;
  };
  explicit AdmissionControl(Options options) : options_(options) {}

  /** The use of a service's upstreams. */
  struct Usage {
    int slots = 0;
    int slots_taken = 0;
    /** Prefill backlog per engine. */
    absl::Duration prefill_backlog;
  };
  /** A waiting request and the best placement that it could get now. */
  struct Candidate {
    const WorkRequest& request;
    const PlacementOption& choice;
    const Usage& usage;
    /** Whether the scheduler would place it without admission control. */
    bool would_place = false;
  };
  enum class Outcome {
    /** The scheduler decides as without admission control. */
    kUnchanged,
    kWait,
    kRefuse,
  };
  /** What a decision was based on. */
  struct Prediction {
    absl::Duration wait;
    size_t ahead = 0;
    /** Placements per second of the class. */
    double rate = 0;
  };
  struct Verdict {
    Outcome outcome = Outcome::kUnchanged;
    Prediction prediction;
  };

  /** Adds a request to those that wait. Returns false if it repeats one that
     was counted as demand. */
  bool OnSubmitted(const WorkRequest& request,
                   absl::Duration engine_time,
                   absl::Time now);
  /** The order among requests that are equal in urgency; lower goes first. */
  int OrderOf(const WorkRequest& request, absl::Time now);
  /** Called before the requests that wait are evaluated, in their order. */
  void BeginRun() { blocked_.clear(); }
  /** Returns true if a request ahead of this one, of the same class and not
      longer, has just got no placement, so that this one would get none. */
  bool IsBlocked(const WorkRequest& request, absl::Time now) const;
  /** Returns true if a request has had to wait or was refused lately, so that
      the order of the waiting requests matters. */
  bool IsContended(absl::Time now) const { return now < contended_until_; }

  /** Decides on a request that was added by OnSubmitted(). */
  Verdict Judge(const Candidate& candidate, absl::Time now);
  /** Returns the time after which the caller of a refused request may retry. To
      be called before OnRemoved(). */
  absl::Duration RetryAfter(const WorkRequest& request, absl::Time now);

  /** Called when a request is placed, before OnRemoved(). */
  void OnPlaced(const WorkRequest& request, absl::Time now);
  /** Called when the first event has arrived, or the response if it is not a
      stream, so long after the placement. */
  void OnResponse(const WorkRequest& request,
                  absl::Duration after_placement,
                  absl::Time now);
  /** Called when a request no longer waits. */
  void OnRemoved(WorkKey key);

 private:
  struct Class {
    /** Exponentially decaying number of placements, as of `counted_at`. */
    double placed = 0;
    absl::Time counted_at = absl::InfinitePast();
    /** The first placement after a time constant without one. */
    absl::Time first_at = absl::InfinitePast();
    size_t waiting = 0;
    /** Of these, retries at their promised time. */
    size_t returning = 0;
    /** Until then requests of accounts above their share come after the
        others. */
    absl::Time others_wait_until = absl::InfinitePast();
    /** Average ratio of actual to predicted waits. */
    double correction = 1;
    /** Average time from placement to the first event. */
    absl::Duration first_event;
    /** Time constant of `placed`, from the target latency of its requests. */
    absl::Duration rate_time;
  };
  struct Waiting {
    RequestClass of_class;
    absl::Time since;
    absl::Duration predicted;
    absl::Time gives_up;
    absl::Duration engine_time;
    ReturnSchedule::Return kind = ReturnSchedule::Return::kFirst;
    /** It was late when it was submitted, because an earlier attempt failed or
        its stream is resumed. */
    bool is_continuation = false;
  };
  /** Returns false if so much capacity is free that a refusal would be wrong.
   */
  bool IsBusy(const Candidate& candidate) const;
  size_t WaitingFor(const std::string& service) const;
  /** Returns true if the request comes after the others of its class. */
  bool Yields(const WorkRequest& request,
              const Waiting& waiting,
              const Class& state,
              absl::Time now);
  /** Returns true if the scheduler may place the request as it would without
      admission control. */
  bool MayBePlaced(const Candidate& candidate,
                   const Waiting& waiting,
                   absl::Time now) const;
  void Block(const WorkRequest& request, absl::Duration time_to_first_event);
  Class& StateOf(const WorkRequest& request, absl::Time now);
  /** Returns the decayed number of placements. */
  static double CountAt(const Class& state, absl::Time now);
  static double RateOf(const Class& state, absl::Time now);
  static Prediction PredictFor(const Class& state,
                               size_t ahead,
                               absl::Time now);

  const Options options_;
  AccountShares shares_;
  ReturnSchedule returns_;
  absl::flat_hash_map<RequestClass, Class> classes_;
  /** The shortest prompt of a class that got no placement in this run. */
  struct Blocked {
    int64_t prompt_tokens = 0;
    absl::Duration time_to_first_event;
  };
  absl::flat_hash_map<RequestClass, Blocked> blocked_;
  absl::Time contended_until_ = absl::InfinitePast();
  absl::flat_hash_map<WorkKey, Waiting> waiting_;
  absl::flat_hash_map<std::string, size_t> waiting_by_service_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_ADMISSION_CONTROL_H_
