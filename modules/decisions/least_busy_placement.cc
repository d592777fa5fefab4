#include "modules/decisions/least_busy_placement.h"

#include "absl/random/distributions.h"

namespace chicory {

PlacementChoice LeastBusyPlacement::Choose(const PlacementContext& question) {
  constexpr int kChoices = 2;
  const RequestSpec& spec = question.request.spec;
  const std::vector<UpstreamId>& eligible =
      question.upstreams.Eligible(spec.pool, spec.model);
  PlacementChoice choice;
  absl::BitGenRef random = question.random;
  size_t fewest = 0;
  for (int i = 0; i < kChoices && !eligible.empty(); ++i) {
    const UpstreamRow* row = question.upstreams.Find(
        eligible[absl::Uniform<size_t>(random, 0, eligible.size())]);
    if (question.request.suspect && row->suspects > 0)
      continue;
    if (!choice.upstreams.empty() && row->placements.size() >= fewest)
      continue;
    choice.upstreams = {row->id};
    fewest = row->placements.size();
  }
  return choice;
}

}  // namespace chicory
