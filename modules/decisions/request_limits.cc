#include "modules/decisions/request_limits.h"

#include <algorithm>

namespace chicory {

namespace {

/** The requests of this time may be placed at once after a pause. */
constexpr absl::Duration kBurst = absl::Seconds(1);
/** Rounding errors must not delay a request that is due. */
constexpr double kOneToken = 1 - 1e-6;

}  // namespace

bool RequestLimits::SetRate(Row* row, double per_second, absl::Time now) {
  if (row->per_second == per_second)
    return false;
  const bool was_limited = row->per_second != RequestLimit::kNone;
  row->tokens = was_limited ? TokensAt(*row, now) : 0;
  row->counted_at = now;
  row->per_second = per_second;
  return true;
}

double RequestLimits::TokensAt(const Row& row, absl::Time now) {
  const double rate = std::max(row.per_second, kMinRate);
  const double most = std::max(1.0, rate * absl::ToDoubleSeconds(kBurst));
  const double gained = rate * absl::ToDoubleSeconds(now - row.counted_at);
  return std::min(most, row.tokens + gained);
}

bool RequestLimits::OnResponse(UpstreamKey upstream,
                               UpstreamIncarnation incarnation,
                               std::optional<double> per_second,
                               absl::Time sent_at,
                               absl::Time now) {
  if (!per_second && rows_.empty())
    return false;
  auto found = rows_.find(upstream);
  if (!per_second) {
    if (found == rows_.end())
      return false;
    const Row& row = found->second;
    const bool same_incarnation =
        row.incarnation == incarnation || row.incarnation == 0;
    if (same_incarnation && sent_at <= row.observed)
      return false;
  }
  Row& row = found == rows_.end() ? rows_[upstream] : found->second;
  row.incarnation = incarnation;
  row.is_own = true;
  row.observed = now;
  return SetRate(&row, per_second.value_or(RequestLimit::kNone), now);
}

void RequestLimits::Merge(const std::vector<RequestLimit>& limits,
                          absl::Time now) {
  for (const RequestLimit& limit : limits) {
    const auto found = rows_.find(limit.upstream);
    const bool is_new = found == rows_.end();
    if (is_new && limit.per_second == RequestLimit::kNone)
      continue;
    Row& row = is_new ? rows_[limit.upstream] : found->second;
    if (limit.observed <= row.observed)
      continue;
    row.is_own = false;
    row.observed = limit.observed;
    SetRate(&row, limit.per_second, now);
  }
}

std::vector<RequestLimit> RequestLimits::OwnObservations(absl::Time now) const {
  std::vector<RequestLimit> own;
  for (const auto& [upstream, row] : rows_) {
    if (!row.is_own || now - row.observed >= kMemory)
      continue;
    own.push_back({.upstream = upstream,
                   .per_second = row.per_second,
                   .observed = row.observed});
  }
  return own;
}

const RequestLimits::Row* RequestLimits::Find(UpstreamKey upstream,
                                              absl::Time now) const {
  if (rows_.empty())
    return nullptr;
  const auto found = rows_.find(upstream);
  if (found == rows_.end() || now - found->second.observed >= kMemory ||
      found->second.per_second == RequestLimit::kNone)
    return nullptr;
  return &found->second;
}

double RequestLimits::RateOf(UpstreamKey upstream, absl::Time now) const {
  const Row* row = Find(upstream, now);
  return row ? std::max(row->per_second, kMinRate) : RequestLimit::kNone;
}

bool RequestLimits::Allows(UpstreamKey upstream, absl::Time now) const {
  const Row* row = Find(upstream, now);
  return !row || TokensAt(*row, now) >= kOneToken;
}

void RequestLimits::OnPlaced(UpstreamKey upstream, absl::Time now) {
  if (!Find(upstream, now))
    return;
  Row& row = rows_[upstream];
  row.tokens = std::max(0.0, TokensAt(row, now) - 1);
  row.counted_at = now;
}

size_t RequestLimits::limited(absl::Time now) const {
  return static_cast<size_t>(std::count_if(
      rows_.begin(), rows_.end(),
      [&](const auto& entry) { return Find(entry.first, now) != nullptr; }));
}

void RequestLimits::Expire(absl::Time now) {
  absl::erase_if(rows_, [now](const auto& entry) {
    return now - entry.second.observed >= kMemory;
  });
}

}  // namespace chicory
