#ifndef STAND_INS_CONTENDED_FLEET_H_
#define STAND_INS_CONTENDED_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/decisions/fleet_scheduler.h"

namespace chicory {

/** One kind of request of the experiment. */
struct CallerKind {
  std::string name;
  /** Mean; single requests have from half to one and a half of it. 0 for
      requests to the plain service. */
  int64_t prompt_tokens = 0;
  int events = 1;
  double per_second = 0;
  absl::Duration target;
  absl::Duration event_gap = absl::InfiniteDuration();
  absl::Duration time_limit;
  int priority = 1;
};

/** Returns the kinds of requests of deployment A in docs/HARD-LOAD.md. */
std::vector<CallerKind> DeploymentAKinds();

/** A surge of demand at deployment A: the usual demand, then a multiple of it,
    then the usual demand again. */
struct ContendedLoad {
  uint64_t seed = 1;
  double multiple = 3;
  absl::Duration before = absl::Seconds(4);
  absl::Duration surge = absl::Seconds(12);
  absl::Duration after = absl::Seconds(6);
  /** One account makes half of the demand. */
  bool one_large_account = false;
  /** Called with the scheduler before the first request. */
  std::function<void(FleetScheduler*)> configure;
  /** Called with each decision. */
  std::function<void(const ScheduleDecision&, absl::Time)> on_decision;
};

/** What became of the callers that first came in one second, of one account or
    of one kind. */
struct CallerCounts {
  int callers = 0;
  int on_time = 0;
  int late = 0;
  /** Got a refusal as the last response. */
  int refused = 0;
  int refused_twice = 0;
  /** Refusals that arrived after an eighth of the target latency or 200 ms,
      whichever is longer. */
  int slow_refusals = 0;
  /** Disconnected without a response, their request not sent or sent. */
  int left_unsent = 0;
  int left_sent = 0;
  /** Engine time of all requests, and of those that were served. */
  double work = 0;
  double work_served = 0;
  /** Engine time of the largest request. */
  double largest = 0;

  int served() const { return on_time + late; }
};

struct ContendedReport {
  /** By second since the surge began; before it negative. */
  std::map<int, CallerCounts> seconds;
  /** Of the callers that came during the surge. */
  CallerCounts surge;
  std::map<std::string, CallerCounts> kinds;
  std::map<AccountKey, CallerCounts> accounts;
  /** Refusals during the surge, and those that arrived within an eighth of the
      target latency or 200 ms, whichever is longer. */
  int refusals = 0;
  int quick_refusals = 0;
  int rejections_by_plain_upstreams = 0;
  double on_time_per_second = 0;
};

/** Runs the load over a FleetScheduler in virtual time. The engines prefill
    prompts between passes of batch decode, with the times of
    engine_timing.h. Callers abandon silent streams, retry once (some more
    often and immediately) and honour `Retry-After`. The result depends only on
    the load. */
ContendedReport RunContendedFleet(const ContendedLoad& load);

/** The least ratio, over all accounts, of what an account got to its fair share
    (max-min) of all that was served. */
struct Fairness {
  /** Of the responses. */
  double responses = 1;
  /** Of the engine time. A request is served as a whole, so what an account got
      is rounded up by its largest one. */
  double engine_time = 1;
};
Fairness LeastFairness(const std::map<AccountKey, CallerCounts>& accounts);

}  // namespace chicory

#endif  // STAND_INS_CONTENDED_FLEET_H_
