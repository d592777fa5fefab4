#include "bench/baselines.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>

#include "modules/decisions/least_busy_placement.h"
#include "modules/decisions/length_aware_placement.h"

namespace chicory {

namespace {

/** Share of its memory that each upstream of a group contributes to a prompt.
 */
constexpr double kGroupMemoryShare = 0.85;

/** Chooses as many consecutive upstreams, from index `first` on, as the memory
    of the request needs. The baselines have no rule of their own for prompts
    that exceed one upstream. The result is sorted by name, as PlacementChoice
    requires. */
PlacementChoice ChooseConsecutive(const PlacementContext& context,
                                  const std::vector<UpstreamId>& eligible,
                                  size_t first) {
  PlacementChoice choice;
  const UpstreamRow* upstream = context.upstreams.Find(eligible[first]);
  const double usable_tokens =
      kGroupMemoryShare * upstream->report.memory_tokens;
  const auto size = static_cast<size_t>(std::max(
      1.0, std::ceil(MemoryNeedOf(context.request.spec) / usable_tokens)));
  if (size > eligible.size()) {
    choice.never_fits = true;
    return choice;
  }
  for (size_t i = 0; i < size; ++i)
    choice.upstreams.push_back(eligible[(first + i) % eligible.size()]);
  std::sort(choice.upstreams.begin(), choice.upstreams.end(),
            [&](UpstreamId a, UpstreamId b) {
              return context.upstreams.Find(a)->name <
                     context.upstreams.Find(b)->name;
            });
  return choice;
}

Dispatcher::Options BaselineOptions(
    std::unique_ptr<PlacementPolicy> placement) {
  Dispatcher::Options options;
  options.model_placement = std::move(placement);
  options.service_placement = std::make_unique<LeastBusyPlacement>();
  options.refuse_early = false;
  options.use_levels = false;
  return options;
}

}  // namespace

PlacementChoice RoundRobinPlacement::Choose(const PlacementContext& context) {
  const RequestSpec& spec = context.request.spec;
  const auto& eligible = context.upstreams.Eligible(spec.pool, spec.model);
  if (eligible.empty())
    return {};
  return ChooseConsecutive(context, eligible, next_index_++ % eligible.size());
}

PlacementChoice LeastLoadedPlacement::Choose(const PlacementContext& context) {
  const RequestSpec& spec = context.request.spec;
  const auto& eligible = context.upstreams.Eligible(spec.pool, spec.model);
  if (eligible.empty())
    return {};
  size_t best_index = 0;
  int64_t smallest_backlog = std::numeric_limits<int64_t>::max();
  for (size_t i = 0; i < eligible.size(); ++i) {
    const LoadReport& report = context.upstreams.Find(eligible[i])->report;
    int64_t backlog = 0;
    for (int64_t tokens : report.queued_prefill_tokens)
      backlog += tokens;
    if (backlog >= smallest_backlog)
      continue;
    smallest_backlog = backlog;
    best_index = i;
  }
  return ChooseConsecutive(context, eligible, best_index);
}

DispatchStrategy ShippedStrategy() {
  return {"shipped",
          [] {
            Dispatcher::Options options;
            options.model_placement = std::make_unique<LengthAwarePlacement>();
            options.service_placement = std::make_unique<LeastBusyPlacement>();
            return options;
          },
          /*detects_stalls=*/true};
}

DispatchStrategy RoundRobinStrategy() {
  return {"round robin", [] {
            return BaselineOptions(std::make_unique<RoundRobinPlacement>());
          }};
}

DispatchStrategy LeastLoadedStrategy() {
  return {"least loaded", [] {
            return BaselineOptions(std::make_unique<LeastLoadedPlacement>());
          }};
}

DispatchStrategy NaiveRetryStrategy() {
  return {"naive retries",
          [] {
            Dispatcher::Options options =
                BaselineOptions(std::make_unique<LeastLoadedPlacement>());
            options.limit_retries = false;
            return options;
          },
          /*detects_stalls=*/true};
}

}  // namespace chicory
