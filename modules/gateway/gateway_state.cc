#include "modules/gateway/gateway_state.h"

#include <algorithm>

namespace chicory {

const UpstreamRecord* GatewayState::FindOpen(UpstreamKey upstream,
                                             absl::Time now) const {
  const UpstreamRecord* record = upstreams.FindReady(upstream);
  if (!record || announcements.empty())
    return record;
  const absl::Time opens_at = announcements.OpensAt(
      upstream, UpstreamDirectory::IncarnationOf(*record), now);
  return opens_at <= now ? record : nullptr;
}

GatewayState::ClosedUpstreams GatewayState::FindClosed(
    absl::string_view service,
    absl::Time now) const {
  ClosedUpstreams closed;
  absl::Time first = absl::InfiniteFuture();
  for (const auto& row : announcements.ClosedAt(now)) {
    const UpstreamRecord* record = upstreams.FindReady(row.upstream);
    const bool is_meant =
        record && record->service == service &&
        UpstreamDirectory::IncarnationOf(*record) == row.incarnation;
    if (!is_meant)
      continue;
    closed.keys.push_back(row.upstream);
    first = std::min(first, row.opens_at);
  }
  const auto count = ready_upstreams.find(service);
  const bool are_all = !closed.keys.empty() && count != ready_upstreams.end() &&
                       closed.keys.size() >= count->second;
  if (are_all)
    closed.service_opens_at = first;
  return closed;
}

}  // namespace chicory
