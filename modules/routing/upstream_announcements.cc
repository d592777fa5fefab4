#include "modules/routing/upstream_announcements.h"

#include <algorithm>

namespace chicory {

UpstreamAnnouncements::Row* UpstreamAnnouncements::RowOf(
    UpstreamKey upstream,
    UpstreamIncarnation incarnation) {
  Row& row = rows_[upstream];
  if (row.incarnation != incarnation)
    row = {.incarnation = incarnation};
  return &row;
}

const UpstreamAnnouncements::Row* UpstreamAnnouncements::Find(
    UpstreamKey upstream,
    UpstreamIncarnation incarnation) const {
  const auto found = rows_.find(upstream);
  const bool is_known =
      found != rows_.end() && found->second.incarnation == incarnation;
  return is_known ? &found->second : nullptr;
}

bool UpstreamAnnouncements::OnLeaving(UpstreamKey upstream,
                                      UpstreamIncarnation incarnation,
                                      absl::Time now) {
  Row* row = RowOf(upstream, incarnation);
  const bool is_new = row->leaving_until <= now;
  row->leaving_until = now + kLeavingMemory;
  return is_new;
}

void UpstreamAnnouncements::OnRest(UpstreamKey upstream,
                                   UpstreamIncarnation incarnation,
                                   absl::Duration rest,
                                   absl::Time now) {
  Row* row = RowOf(upstream, incarnation);
  row->rests_until = std::max(row->rests_until, now + rest);
}

bool UpstreamAnnouncements::IsLeaving(UpstreamKey upstream,
                                      UpstreamIncarnation incarnation,
                                      absl::Time now) const {
  const Row* row = Find(upstream, incarnation);
  return row && now < row->leaving_until;
}

absl::Time UpstreamAnnouncements::OpensAt(UpstreamKey upstream,
                                          UpstreamIncarnation incarnation,
                                          absl::Time now) const {
  const Row* row = Find(upstream, incarnation);
  if (!row)
    return absl::InfinitePast();
  return now < row->leaving_until ? absl::InfiniteFuture() : row->rests_until;
}

std::vector<UpstreamAnnouncements::Closed> UpstreamAnnouncements::ClosedAt(
    absl::Time now) const {
  std::vector<Closed> closed;
  for (const auto& [upstream, row] : rows_) {
    const absl::Time opens_at = OpensAt(upstream, row.incarnation, now);
    if (opens_at <= now)
      continue;
    closed.push_back({.upstream = upstream,
                      .incarnation = row.incarnation,
                      .opens_at = opens_at});
  }
  return closed;
}

bool UpstreamAnnouncements::Expire(absl::Time now) {
  bool has_changed = false;
  absl::erase_if(rows_, [&](const auto& entry) {
    const Row& row = entry.second;
    if (now < row.leaving_until || now < row.rests_until)
      return false;
    has_changed |= row.leaving_until != absl::InfinitePast();
    return true;
  });
  return has_changed;
}

}  // namespace chicory
