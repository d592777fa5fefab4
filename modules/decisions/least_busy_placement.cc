#include "modules/decisions/least_busy_placement.h"

#include "absl/random/distributions.h"

namespace chicory {

PlacementChoice LeastBusyPlacement::Choose(const PlacementContext& context) {
  constexpr int kSampleSize = 2;
  const RequestSpec& spec = context.request.spec;
  const std::vector<UpstreamId>& eligible =
      context.upstreams.Eligible(spec.pool, spec.model);
  PlacementChoice choice;
  absl::BitGenRef random = context.random;
  size_t fewest = 0;
  for (int i = 0; i < kSampleSize && !eligible.empty(); ++i) {
    const UpstreamRow* row = context.upstreams.Find(
        eligible[absl::Uniform<size_t>(random, 0, eligible.size())]);
    if (context.request.crash_suspect && row->crash_suspects > 0)
      continue;
    if (!choice.upstreams.empty() && row->placements.size() >= fewest)
      continue;
    choice.upstreams = {row->id};
    fewest = row->placements.size();
  }
  return choice;
}

}  // namespace chicory
