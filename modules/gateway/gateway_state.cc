#include "modules/gateway/gateway_state.h"

#include <algorithm>

namespace chicory {

namespace {

/** Share of what a cold upstream may get in a second beyond its rate that it
   may get at once. The rest is for requests that bunch on their way, and for
   the schedulers of parts of the fleet that do not see each other. */
constexpr double kBurstShare = 0.25;

}  // namespace

const UpstreamRecord* GatewayState::FindOpen(UpstreamKey upstream,
                                             absl::Time now) const {
  const UpstreamRecord* record = upstreams.FindReady(upstream);
  if (!record || evacuations.Contains(record->data_centre))
    return nullptr;
  if (announcements.empty())
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
        !evacuations.Contains(record->data_centre) &&
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

void GatewayState::UpdateColdUpstreams(const std::vector<UpstreamSpec>& ready,
                                       absl::Time now) {
  std::vector<ColdUpstreams::Upstream> registered;
  for (const UpstreamSpec& spec : ready) {
    const UpstreamRecord& record = *upstreams.FindReady(spec.key);
    const Service* service = table ? table->FindService(spec.service) : nullptr;
    registered.push_back(
        {.key = spec.key,
         .incarnation = UpstreamDirectory::IncarnationOf(record),
         .announced_until = record.cold_until,
         .cold_duration =
             service ? service->cold_duration : absl::ZeroDuration(),
         .is_evacuated = evacuations.Contains(record.data_centre)});
  }
  for (const ColdUpstreams::Change& change :
       cold_upstreams.Update(registered, now)) {
    const UpstreamRecord& record = *upstreams.FindReady(change.key);
    const Service* service =
        table ? table->FindService(record.service) : nullptr;
    // Where no rate is configured, upstreams are never cold.
    if (!service || service->cold_requests_per_second <= 0)
      continue;
    log.Write("upstream_cold",
              {{"upstream", record.id},
               {"service", record.service},
               {"data_centre", record.data_centre},
               {"cause", ColdCauseName(change.cause)},
               {"for_ms", absl::ToInt64Milliseconds(change.cold_until - now)},
               {"per_second", service->cold_requests_per_second}});
  }
}

void GatewayState::FillColdLimit(UpstreamSpec* spec) const {
  const Service* service = table ? table->FindService(spec->service) : nullptr;
  if (!service)
    return;
  const double rate = service->cold_requests_per_second;
  // In any second a bucket passes its rate and its size. Requests that were
  // assigned one after another may arrive together.
  const double most = rate * cold_excess + cold_slack;
  spec->cold_burst =
      std::clamp((most - rate) * kBurstShare, 1.0, std::max(rate, 1.0));
  spec->cold_requests_per_second =
      std::clamp(most - spec->cold_burst, rate / 2, rate);
  spec->cold_until = cold_upstreams.ColdUntil(spec->key);
}

std::vector<UpstreamSpec> GatewayState::UpdateUsableUpstreams(absl::Time now) {
  ready_upstreams.clear();
  evacuated_upstreams = upstreams.CountIn(evacuations);
  std::vector<UpstreamSpec> usable = upstreams.Ready();
  UpdateColdUpstreams(usable, now);
  for (UpstreamSpec& spec : usable)
    FillColdLimit(&spec);
  std::erase_if(usable, [&](const UpstreamSpec& spec) {
    const UpstreamRecord& record = *upstreams.FindReady(spec.key);
    if (evacuations.Contains(record.data_centre))
      return true;
    ++ready_upstreams[spec.service];
    return announcements.IsLeaving(
        spec.key, UpstreamDirectory::IncarnationOf(record), now);
  });
  return usable;
}

bool GatewayState::IsEvacuated(UpstreamKey upstream) const {
  const UpstreamRecord* record = upstreams.FindReady(upstream);
  return record && evacuations.Contains(record->data_centre);
}

bool GatewayState::IsServiceEvacuated(absl::string_view service) const {
  return evacuated_upstreams.contains(std::string(service)) &&
         !ready_upstreams.contains(service);
}

}  // namespace chicory
