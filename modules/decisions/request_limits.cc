#include "modules/decisions/request_limits.h"

#include <algorithm>
#include <utility>

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
  row->tokens = was_limited ? TokensAt(*row, now, {}) : 0;
  row->counted_at = now;
  row->per_second = per_second;
  return true;
}

RequestLimits::Bucket RequestLimits::BucketOf(const Row& row,
                                              absl::Time now,
                                              const LimitShares& shares) {
  Bucket bucket;
  if (row.names_limit(now)) {
    bucket.rate = std::max(row.per_second, kMinRate) * shares.named;
    bucket.most = std::max(1.0, bucket.rate * absl::ToDoubleSeconds(kBurst));
  }
  if (row.is_cold(now)) {
    bucket.rate = std::min(bucket.rate, row.cold_per_second * shares.cold);
    bucket.most =
        std::min(bucket.most, std::max(1.0, row.cold_burst * shares.cold));
  }
  return bucket;
}

double RequestLimits::TokensAt(const Row& row,
                               absl::Time now,
                               const LimitShares& shares) {
  const Bucket bucket = BucketOf(row, now, shares);
  if (bucket.rate == RequestLimit::kNone)
    return row.tokens;
  const double gained =
      bucket.rate * absl::ToDoubleSeconds(
                        std::max(now - row.counted_at, absl::ZeroDuration()));
  return std::min(bucket.most, row.tokens + gained);
}

void RequestLimits::SetCold(const std::vector<UpstreamSpec>& upstreams) {
  for (const UpstreamSpec& upstream : upstreams) {
    const bool is_cold = upstream.cold_requests_per_second > 0 &&
                         upstream.cold_until != absl::InfinitePast();
    const auto found = rows_.find(upstream.key);
    if (!is_cold && found == rows_.end())
      continue;
    Row& row = found == rows_.end() ? rows_[upstream.key] : found->second;
    // Another scheduler may have used the rate up to now.
    const bool is_new = row.counted_at == absl::InfinitePast();
    if (is_new)
      row.counted_at = absl::InfiniteFuture();
    has_new_buckets_ |= is_new;
    row.cold_until = is_cold ? upstream.cold_until : absl::InfinitePast();
    row.cold_per_second = upstream.cold_requests_per_second;
    row.cold_burst = upstream.cold_burst;
  }
}

void RequestLimits::BeginBuckets(absl::Time now) {
  if (!std::exchange(has_new_buckets_, false))
    return;
  for (auto& [upstream, row] : rows_)
    row.counted_at = std::min(row.counted_at, now);
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
    const bool is_only_cold = row.observed == absl::InfinitePast();
    if (is_only_cold)
      return false;
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
    const bool is_unlimited =
        is_new || found->second.observed == absl::InfinitePast();
    if (is_unlimited && limit.per_second == RequestLimit::kNone)
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
  if (found == rows_.end())
    return nullptr;
  const Row& row = found->second;
  return row.names_limit(now) || row.is_cold(now) ? &row : nullptr;
}

double RequestLimits::RateOf(UpstreamKey upstream,
                             absl::Time now,
                             const LimitShares& shares) const {
  const Row* row = Find(upstream, now);
  return row ? BucketOf(*row, now, shares).rate : RequestLimit::kNone;
}

bool RequestLimits::Allows(UpstreamKey upstream,
                           absl::Time now,
                           const LimitShares& shares) const {
  const Row* row = Find(upstream, now);
  if (!row)
    return true;
  const bool has_share = shares.cold > 0 || !row->is_cold(now);
  const bool allows = has_share && TokensAt(*row, now, shares) >= kOneToken;
  cold_held_back_ += !allows && row->is_cold(now) ? 1 : 0;
  return allows;
}

void RequestLimits::OnPlaced(UpstreamKey upstream,
                             absl::Time now,
                             const LimitShares& shares,
                             int requests) {
  if (!Find(upstream, now))
    return;
  Row& row = rows_[upstream];
  // The first one had its turn.
  const double left = std::max(1.0, TokensAt(row, now, shares));
  row.tokens = left - requests;
  row.counted_at = now;
}

bool RequestLimits::IsCold(UpstreamKey upstream, absl::Time now) const {
  const Row* row = Find(upstream, now);
  return row && row->is_cold(now);
}

size_t RequestLimits::limited(absl::Time now) const {
  return static_cast<size_t>(std::count_if(
      rows_.begin(), rows_.end(),
      [now](const auto& entry) { return entry.second.names_limit(now); }));
}

size_t RequestLimits::cold(absl::Time now) const {
  return static_cast<size_t>(std::count_if(
      rows_.begin(), rows_.end(),
      [now](const auto& entry) { return entry.second.is_cold(now); }));
}

void RequestLimits::Expire(absl::Time now) {
  absl::erase_if(rows_, [now](const auto& entry) {
    return now - entry.second.observed >= kMemory && !entry.second.is_cold(now);
  });
}

}  // namespace chicory
