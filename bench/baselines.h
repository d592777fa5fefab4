#ifndef BENCH_BASELINES_H_
#define BENCH_BASELINES_H_

#include <functional>
#include <string>
#include <vector>

#include "modules/decisions/dispatcher.h"
#include "modules/decisions/placement_policy.h"

namespace chicory {

/** Takes the eligible upstreams in turn. A baseline. */
class RoundRobinPlacement : public PlacementPolicy {
 public:
  PlacementChoice Choose(const PlacementContext& question) override;

 private:
  size_t next_ = 0;
};

/** Takes the upstream with the least queued prefill on the last report, of all
    eligible ones, without regard to its own placements since. A baseline. */
class LeastLoadedPlacement : public PlacementPolicy {
 public:
  PlacementChoice Choose(const PlacementContext& question) override;
};

/** A way to decide that experiments compare. */
struct Contender {
  std::string name;
  std::function<Dispatcher::Options()> make;
  /** Off: a call waits for its first token until its deadline. */
  bool detects_stalls = false;
};

/** The placement that ships, with its queues, levels and early refusal. */
Contender Shipped();

/** Round robin, first come first served, no early refusal. */
Contender RoundRobin();

/** Least loaded on lagging reports, first come first served. */
Contender LeastLoaded();

/** Least loaded with time-outs and up to three attempts, without a budget. */
Contender NaiveRetries();

}  // namespace chicory

#endif  // BENCH_BASELINES_H_
