#ifndef BENCH_BASELINES_H_
#define BENCH_BASELINES_H_

#include <functional>
#include <string>
#include <vector>

#include "modules/decisions/dispatcher.h"
#include "modules/decisions/placement_policy.h"

namespace chicory {

/** Baseline placement that cycles through the eligible upstreams. */
class RoundRobinPlacement : public PlacementPolicy {
 public:
  PlacementChoice Choose(const PlacementContext& context) override;

 private:
  size_t next_index_ = 0;
};

/** Baseline placement that chooses the eligible upstream with the smallest
    prefill backlog in its last load report. It ignores the requests that it has
    placed itself since that report. */
class LeastLoadedPlacement : public PlacementPolicy {
 public:
  PlacementChoice Choose(const PlacementContext& context) override;
};

/** A configuration of the Dispatcher that experiments compare with others. */
struct DispatchStrategy {
  /** Name in printed results and plots. */
  std::string name;
  /** Creates the options for one dispatcher. */
  std::function<Dispatcher::Options()> make_dispatcher_options;
  /** True if attempts at stalled upstreams time out. If false, a call waits for
      its first token until its deadline. */
  bool detects_stalls = false;
};

/** Returns the production strategy: length-aware placement with queues,
    priority levels and early refusal. */
DispatchStrategy ShippedStrategy();

/** Returns a baseline: round robin, first come first served, without early
    refusal. */
DispatchStrategy RoundRobinStrategy();

/** Returns a baseline: least loaded according to delayed load reports, first
    come first served, no early refusal. */
DispatchStrategy LeastLoadedStrategy();

/** Returns a baseline: like LeastLoadedStrategy(), but attempts at stalled
    upstreams time out and a call has up to three attempts without a retry
    budget. */
DispatchStrategy NaiveRetryStrategy();

}  // namespace chicory

#endif  // BENCH_BASELINES_H_
