#include "bench/baselines.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>

#include "modules/decisions/least_busy_placement.h"
#include "modules/decisions/length_aware_placement.h"

namespace chicory {

namespace {

/** Share of an upstream's memory that a part of a group may take. */
constexpr double kGroupShare = 0.85;

/** Baselines have no rule of their own for prompts beyond one upstream; they
    take neighbours in the list, in the order that the protocol asks for. */
PlacementChoice WithNeighbours(const PlacementContext& question,
                               const std::vector<UpstreamId>& eligible,
                               size_t first) {
  PlacementChoice choice;
  const UpstreamRow* row = question.upstreams.Find(eligible[first]);
  const double usable = kGroupShare * row->report.memory_tokens;
  const auto size = static_cast<size_t>(
      std::max(1.0, std::ceil(MemoryNeedOf(question.request.spec) / usable)));
  if (size > eligible.size()) {
    choice.never_fits = true;
    return choice;
  }
  for (size_t i = 0; i < size; ++i)
    choice.upstreams.push_back(eligible[(first + i) % eligible.size()]);
  std::sort(choice.upstreams.begin(), choice.upstreams.end(),
            [&](UpstreamId a, UpstreamId b) {
              return question.upstreams.Find(a)->name <
                     question.upstreams.Find(b)->name;
            });
  return choice;
}

Dispatcher::Options Baseline(std::unique_ptr<PlacementPolicy> placement) {
  Dispatcher::Options options;
  options.model_placement = std::move(placement);
  options.service_placement = std::make_unique<LeastBusyPlacement>();
  options.refuse_early = false;
  options.use_levels = false;
  return options;
}

}  // namespace

PlacementChoice RoundRobinPlacement::Choose(const PlacementContext& question) {
  const RequestSpec& spec = question.request.spec;
  const auto& eligible = question.upstreams.Eligible(spec.pool, spec.model);
  if (eligible.empty())
    return {};
  return WithNeighbours(question, eligible, next_++ % eligible.size());
}

PlacementChoice LeastLoadedPlacement::Choose(const PlacementContext& question) {
  const RequestSpec& spec = question.request.spec;
  const auto& eligible = question.upstreams.Eligible(spec.pool, spec.model);
  if (eligible.empty())
    return {};
  size_t best = 0;
  int64_t least = std::numeric_limits<int64_t>::max();
  for (size_t i = 0; i < eligible.size(); ++i) {
    const LoadReport& report = question.upstreams.Find(eligible[i])->report;
    int64_t queued = 0;
    for (int64_t tokens : report.queued_prefill_tokens)
      queued += tokens;
    if (queued >= least)
      continue;
    least = queued;
    best = i;
  }
  return WithNeighbours(question, eligible, best);
}

Contender Shipped() {
  return {"shipped",
          [] {
            Dispatcher::Options options;
            options.model_placement = std::make_unique<LengthAwarePlacement>();
            options.service_placement = std::make_unique<LeastBusyPlacement>();
            return options;
          },
          /*detects_stalls=*/true};
}

Contender RoundRobin() {
  return {"round robin",
          [] { return Baseline(std::make_unique<RoundRobinPlacement>()); }};
}

Contender LeastLoaded() {
  return {"least loaded",
          [] { return Baseline(std::make_unique<LeastLoadedPlacement>()); }};
}

Contender NaiveRetries() {
  return {"naive retries",
          [] {
            Dispatcher::Options options =
                Baseline(std::make_unique<LeastLoadedPlacement>());
            options.limit_retries = false;
            return options;
          },
          /*detects_stalls=*/true};
}

}  // namespace chicory
