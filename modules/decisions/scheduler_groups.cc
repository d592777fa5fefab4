#include "modules/decisions/scheduler_groups.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace chicory {

namespace {

/** Returns the number of groups for a service of `size` upstreams that is
    nearest to `preferred`. It is a power of two, so that a change moves whole
    groups. */
uint32_t GroupCountFor(size_t size, uint32_t preferred) {
  const size_t needed = (size + SchedulerGroups::kMaxGroupSize - 1) /
                        SchedulerGroups::kMaxGroupSize;
  const size_t least = std::bit_ceil(std::max<size_t>(needed, 1));
  const size_t most =
      std::max(least, std::bit_floor(size / SchedulerGroups::kMinGroupSize));
  return static_cast<uint32_t>(
      std::clamp<size_t>(std::bit_floor(size_t{preferred}), least, most));
}

}  // namespace

void SchedulerGroups::SetUpstreams(const std::vector<UpstreamSpec>& upstreams) {
  const uint32_t preferred = group_count();
  upstreams_ = upstreams;
  Partition(preferred);
}

void SchedulerGroups::AdoptGroupCount(uint32_t count) {
  if (count != group_count() && !upstreams_.empty())
    Partition(count);
}

void SchedulerGroups::Partition(uint32_t preferred) {
  absl::flat_hash_map<std::string, size_t> sizes;
  for (const UpstreamSpec& upstream : upstreams_)
    ++sizes[upstream.service];
  group_counts_.clear();
  for (const auto& [service, size] : sizes)
    group_counts_[service] = GroupCountFor(size, preferred);
  const uint32_t groups = group_count();
  std::erase_if(schedulers_, [groups](const auto& entry) {
    return entry.first >= groups && entry.second.waiting() == 0 &&
           entry.second.running() == 0;
  });
  for (auto& [group, scheduler] : schedulers_)
    scheduler.SetUpstreams(UpstreamsOf(group));
}

void SchedulerGroups::SetAdmissionControl(bool enabled) {
  admission_control_ = enabled;
  for (auto& [group, scheduler] : schedulers_)
    scheduler.SetAdmissionControl(enabled);
}

void SchedulerGroups::SetEngine(const std::string& service,
                                const EngineProfile& engine) {
  engines_[service] = engine;
  for (auto& [group, scheduler] : schedulers_)
    scheduler.SetEngine(service, engine);
}

uint32_t SchedulerGroups::GroupCountOf(const std::string& service) const {
  auto found = group_counts_.find(service);
  return found == group_counts_.end() ? 1 : found->second;
}

uint32_t SchedulerGroups::group_count() const {
  uint32_t most = 1;
  for (const auto& [service, count] : group_counts_)
    most = std::max(most, count);
  return most;
}

std::vector<UpstreamSpec> SchedulerGroups::UpstreamsOf(uint32_t group) const {
  std::vector<UpstreamSpec> members;
  for (const UpstreamSpec& upstream : upstreams_) {
    if (upstream.key % GroupCountOf(upstream.service) == group)
      members.push_back(upstream);
  }
  return members;
}

FleetScheduler& SchedulerGroups::SchedulerOf(const WorkRequest& request) {
  const uint32_t group = request.group % GroupCountOf(request.service);
  auto [found, is_new] = schedulers_.try_emplace(group, limits_);
  FleetScheduler& scheduler = found->second;
  if (is_new) {
    scheduler.SetPreference(preference_seed_);
    scheduler.SetAdmissionControl(admission_control_);
    // Cold upstreams wait for the next call of SetLimitUse.
    scheduler.SetLimitUse({.cold_share = 0, .cold_share_if_all = 0});
    scheduler.SetUpstreams(UpstreamsOf(group));
    for (const auto& [service, engine] : engines_)
      scheduler.SetEngine(service, engine);
  }
  return scheduler;
}

void SchedulerGroups::Submit(const WorkRequest& request) {
  SchedulerOf(request).Submit(request);
}

void SchedulerGroups::Adopt(const RunningWork& work, absl::Time now) {
  SchedulerOf(work.request).Adopt(work, now);
}

void SchedulerGroups::OnResponseStarted(WorkKey key, absl::Time now) {
  for (auto& [group, scheduler] : schedulers_)
    scheduler.OnResponseStarted(key, now);
}

void SchedulerGroups::OnEnded(WorkKey key,
                              AttemptResult result,
                              UpstreamKey faulty_upstream,
                              absl::Time now) {
  for (auto& [group, scheduler] : schedulers_)
    scheduler.OnEnded(key, result, faulty_upstream, now);
}

void SchedulerGroups::Forget(WorkKey key, absl::Time now) {
  for (auto& [group, scheduler] : schedulers_)
    scheduler.Forget(key, now);
}

void SchedulerGroups::SetLimitUse(
    const std::function<LimitUse(uint32_t)>& of_group) {
  for (auto& [group, scheduler] : schedulers_)
    scheduler.SetLimitUse(of_group(group));
}

std::vector<ScheduleDecision> SchedulerGroups::Run(absl::Time now) {
  std::vector<ScheduleDecision> decisions;
  for (auto& [group, scheduler] : schedulers_) {
    std::vector<ScheduleDecision> more = scheduler.Run(now);
    std::move(more.begin(), more.end(), std::back_inserter(decisions));
  }
  return decisions;
}

bool SchedulerGroups::IsWaiting(WorkKey key) const {
  return std::any_of(
      schedulers_.begin(), schedulers_.end(),
      [key](const auto& entry) { return entry.second.IsWaiting(key); });
}

bool SchedulerGroups::IsRunning(WorkKey key) const {
  return std::any_of(
      schedulers_.begin(), schedulers_.end(),
      [key](const auto& entry) { return entry.second.IsRunning(key); });
}

std::vector<WorkKey> SchedulerGroups::KeysOf(uint32_t owner) const {
  std::vector<WorkKey> keys;
  for (const auto& [group, scheduler] : schedulers_) {
    const std::vector<WorkKey> more = scheduler.KeysOf(owner);
    keys.insert(keys.end(), more.begin(), more.end());
  }
  return keys;
}

size_t SchedulerGroups::waiting() const {
  size_t count = 0;
  for (const auto& [group, scheduler] : schedulers_)
    count += scheduler.waiting();
  return count;
}

size_t SchedulerGroups::running() const {
  size_t count = 0;
  for (const auto& [group, scheduler] : schedulers_)
    count += scheduler.running();
  return count;
}

}  // namespace chicory
