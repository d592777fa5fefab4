#include "modules/decisions/instance_roster.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <tuple>
#include <utility>

#include "modules/core/hashing.h"

namespace chicory {

namespace {

uint64_t Rank(InstanceIp ip, uint32_t group = 0) {
  const std::array<uint32_t, 2> pair = {ip, group};
  return StableHash(std::string_view(reinterpret_cast<const char*>(pair.data()),
                                     sizeof(pair)));
}

}  // namespace

void InstanceRoster::OnLivenessReport(InstanceIp ip,
                                      absl::Time now,
                                      absl::Duration age) {
  if (ip == self_ || age >= kLivenessTimeout)
    return;
  Row& row = rows_[ip];
  row.last_seen = std::max(row.last_seen, now - age);
}

void InstanceRoster::OnMessageReceived(InstanceIp ip, absl::Time now) {
  if (ip == self_)
    return;
  Row& row = rows_[ip];
  row.last_seen = now;
  row.suspected_until = absl::InfinitePast();
}

void InstanceRoster::SetLostSource(InstanceIp ip, bool lost, absl::Time now) {
  auto found = rows_.find(ip);
  if (found == rows_.end())
    return;
  Row& row = found->second;
  if (lost && !row.lost_source)
    row.lost_source_at = now;
  row.lost_source = lost;
}

void InstanceRoster::SetCanSchedule(InstanceIp ip, bool can_schedule) {
  if (ip == self_)
    self_can_schedule_ = can_schedule;
  else if (auto found = rows_.find(ip); found != rows_.end())
    found->second.can_schedule = can_schedule;
}

void InstanceRoster::Suspect(InstanceIp ip, absl::Time now) {
  auto found = rows_.find(ip);
  if (found != rows_.end())
    found->second.suspected_until = now + kSuspicionDuration;
}

void InstanceRoster::Remove(InstanceIp ip) {
  rows_.erase(ip);
}

bool InstanceRoster::IsLive(InstanceIp ip, absl::Time now) const {
  const auto found = rows_.find(ip);
  return found != rows_.end() &&
         now - found->second.last_seen < kLivenessTimeout;
}

std::vector<InstanceRoster::Member> InstanceRoster::Members(
    absl::Time now) const {
  std::vector<Member> members;
  for (const auto& [ip, row] : rows_) {
    if (now - row.last_seen >= kLivenessTimeout)
      continue;
    members.push_back(
        {.ip = ip, .age = now - row.last_seen, .lost_source = row.lost_source});
  }
  return members;
}

std::vector<InstanceIp> InstanceRoster::Order(absl::Time now,
                                              size_t count,
                                              uint32_t group,
                                              bool able_first) const {
  using Place = std::tuple<bool, uint64_t, InstanceIp>;
  std::vector<Place> places = {
      {able_first && !self_can_schedule_, Rank(self_, group), self_}};
  for (const auto& [ip, row] : rows_) {
    if (now - row.last_seen >= kLivenessTimeout || row.suspected_until > now)
      continue;
    places.emplace_back(able_first && !row.can_schedule, Rank(ip, group), ip);
  }
  const size_t wanted = std::min(count, places.size());
  std::partial_sort(places.begin(),
                    places.begin() + static_cast<int64_t>(wanted),
                    places.end());
  std::vector<InstanceIp> order;
  for (size_t i = 0; i < wanted; ++i)
    order.push_back(std::get<InstanceIp>(places[i]));
  return order;
}

std::vector<InstanceIp> InstanceRoster::SchedulerOrder(absl::Time now,
                                                       size_t count,
                                                       uint32_t group) const {
  return Order(now, count, group, /*able_first=*/true);
}

std::vector<InstanceIp> InstanceRoster::CommonOrder(absl::Time now,
                                                    size_t count) const {
  return Order(now, count, /*group=*/0, /*able_first=*/false);
}

bool InstanceRoster::IsAmongFirst(size_t count,
                                  bool self_lost,
                                  absl::Time now) const {
  const uint64_t own_rank = Rank(self_);
  size_t before = 0;
  size_t before_connected = 0;
  bool any_connected = !self_lost;
  for (const auto& [ip, row] : rows_) {
    if (now - row.last_seen >= kLivenessTimeout || row.suspected_until > now)
      continue;
    any_connected |= !row.lost_source;
    if (Rank(ip) >= own_rank)
      continue;
    ++before;
    before_connected += row.lost_source ? 0 : 1;
  }
  if (!any_connected)
    return before < count;
  return !self_lost && before_connected < count;
}

size_t InstanceRoster::CountLostSince(absl::Time since, absl::Time now) const {
  return static_cast<size_t>(
      std::count_if(rows_.begin(), rows_.end(), [&](const auto& entry) {
        const Row& row = entry.second;
        return row.lost_source && row.lost_source_at > since &&
               now - row.last_seen < kLivenessTimeout;
      }));
}

size_t InstanceRoster::LiveCount(absl::Time now) const {
  return Members(now).size() + 1;
}

}  // namespace chicory
