#include "modules/decisions/long_prompt_reserve.h"

#include <algorithm>
#include <cmath>

namespace chicory {

namespace {

/** Time constant of the demand. */
constexpr absl::Duration kDemandTime = absl::Seconds(4);
/** Time for which engines stay reserved after the last contention. */
constexpr absl::Duration kContentionTime = absl::Seconds(1);
/** A prompt is long if it needs this multiple of the mean engine time. */
constexpr double kLongFactor = 5;
/** Share of the engine time that can be used; the rest is lost between uneven
    requests. */
constexpr double kUsableShare = 0.85;
/** How well long prompts are served in comparison with all. Below 1, because
    one of them takes the engine time of dozens of others. */
constexpr double kLongWeight = 0.75;
/** An engine that is no longer needed is released only after this time: one
   that short prompts have filled is not free again for the length of a stream.
 */
constexpr absl::Duration kReleaseInterval = absl::Seconds(1);
/** Share of the engines that can be reserved at most. */
constexpr double kMaxReserved = 0.5;

}  // namespace

absl::Duration LongPromptReserve::EngineTime(const EngineProfile& engine,
                                             const WorkRequest& request) {
  return PrefillTime(engine, request.prompt_tokens) +
         DecodeTime(engine, request.output_tokens) / std::max(engine.slots, 1);
}

void LongPromptReserve::Decay(Service* service, absl::Time now) {
  const double factor = std::exp(-std::max(
      0.0, absl::FDivDuration(now - service->counted_at, kDemandTime)));
  service->all_time *= factor;
  service->long_time *= factor;
  service->requests *= factor;
  service->counted_at = now;
}

bool LongPromptReserve::IsLong(const Service& service,
                               absl::Duration engine_time) {
  return engine_time * service.requests > service.all_time * kLongFactor;
}

void LongPromptReserve::OnSubmitted(const WorkRequest& request,
                                    absl::Duration engine_time,
                                    absl::Time now) {
  Service& service = services_[request.service];
  Decay(&service, now);
  service.all_time += engine_time;
  service.requests += 1;
  if (IsLong(service, engine_time))
    service.long_time += engine_time;
}

void LongPromptReserve::OnContended(const std::string& service,
                                    absl::Time now) {
  services_[service].contended_until = now + kContentionTime;
}

size_t LongPromptReserve::Wanted(const Service& service, size_t engines) {
  const double wanted = absl::FDivDuration(service.all_time, kDemandTime);
  if (wanted <= 0)
    return 0;
  const double count = static_cast<double>(engines);
  const double served = std::min(1.0, kUsableShare * count / wanted);
  const double reserved =
      kLongWeight * served * absl::FDivDuration(service.long_time, kDemandTime);
  return static_cast<size_t>(std::min(reserved, kMaxReserved * count));
}

void LongPromptReserve::Adjust(Service* service,
                               const std::vector<ScheduledUpstream*>& usable,
                               absl::Time now) {
  std::vector<UpstreamKey>& reserved = service->reserved;
  std::erase_if(reserved, [&](UpstreamKey key) {
    return std::none_of(usable.begin(), usable.end(),
                        [key](const ScheduledUpstream* state) {
                          return state->info.key == key;
                        });
  });
  const size_t wanted = Wanted(*service, usable.size());
  if (reserved.size() <= wanted)
    service->next_release = now + kReleaseInterval;
  if (now >= service->next_release) {
    reserved.pop_back();
    service->next_release = now + kReleaseInterval;
  }
  while (reserved.size() < wanted) {
    const ScheduledUpstream* best = nullptr;
    for (const ScheduledUpstream* state : usable) {
      const bool is_reserved = std::find(reserved.begin(), reserved.end(),
                                         state->info.key) != reserved.end();
      if (!is_reserved && (!best || state->loads.size() < best->loads.size()))
        best = state;
    }
    if (!best)
      return;
    reserved.push_back(best->info.key);
  }
}

void LongPromptReserve::RemoveReserved(
    const WorkRequest& request,
    absl::Duration engine_time,
    absl::Time now,
    std::vector<ScheduledUpstream*>* usable) {
  Service& service = services_[request.service];
  if (service.contended_until <= now) {
    service.reserved.clear();
    return;
  }
  Decay(&service, now);
  Adjust(&service, *usable, now);
  if (service.reserved.empty())
    return;
  const bool is_long = IsLong(service, engine_time);
  std::erase_if(*usable, [&](const ScheduledUpstream* state) {
    const bool is_reserved =
        std::find(service.reserved.begin(), service.reserved.end(),
                  state->info.key) != service.reserved.end();
    return is_long ? !is_reserved && !state->loads.empty() : is_reserved;
  });
}

}  // namespace chicory
