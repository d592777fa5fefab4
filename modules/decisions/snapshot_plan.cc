#include "modules/decisions/snapshot_plan.h"

#include <algorithm>

namespace chicory {

namespace {

/** Time after which a peer is asked again: one that was busy may soon have
    finished a transfer; one that did not deliver is probably gone; and content
    that was unusable or not newer does not change quickly. */
constexpr absl::Duration kBusyDelay = absl::Milliseconds(50);
constexpr absl::Duration kNoResponseDelay = absl::Milliseconds(500);
constexpr absl::Duration kUselessDelay = absl::Seconds(2);
/** After the first complete content, peers are asked for newer content in this
    interval at most. */
constexpr absl::Duration kUpdateInterval = absl::Milliseconds(200);

/** Time in which a peer's content usually arrives, also if the first peer asked
    does not deliver it. */
constexpr absl::Duration kUsualFetchTime = absl::Milliseconds(250);
/** Bounds of the retry time while no peer has content. An outage that has
   lasted for some time lasts about as long again; a caller whose retry comes
   too early has used it up in vain. */
constexpr absl::Duration kMinOutageRetry = absl::Milliseconds(500);
constexpr absl::Duration kMaxOutageRetry = absl::Seconds(5);
/** Retry times are spread over this share of themselves. */
constexpr double kRetrySpread = 0.5;

absl::Duration DelayAfter(SnapshotPlan::Failure failure) {
  switch (failure) {
    case SnapshotPlan::Failure::kBusy:
      return kBusyDelay;
    case SnapshotPlan::Failure::kNoResponse:
      return kNoResponseDelay;
    case SnapshotPlan::Failure::kInvalid:
      break;
  }
  return kUselessDelay;
}

}  // namespace

void SnapshotPlan::OnSourceAnswered(Part part) {
  (part == Part::kConfiguration ? has_configuration_ : has_upstreams_) = true;
  if (is_open())
    return;
  peers_.clear();
  held_until_ = absl::InfiniteFuture();
}

void SnapshotPlan::OnAnnounced(InstanceIp peer,
                               Content content,
                               uint64_t newest) {
  if (!is_open())
    return;
  announced_version_ = std::max({announced_version_, newest, content.version});
  Peer& known = peers_[peer];
  // Its refusal or failure was about other content.
  if (!(known.content == content) && content.is_complete())
    known.not_before = absl::InfinitePast();
  known.content = content;
  known.has_announced = true;
}

void SnapshotPlan::OnMissingUpstreamChange(uint64_t revision) {
  missing_revision_ = std::max(missing_revision_, revision);
}

bool SnapshotPlan::WantsConfiguration() const {
  return !has_configuration_ &&
         (in_force_.version == 0 || announced_version_ > in_force_.version);
}

bool SnapshotPlan::WantsUpstreams() const {
  return !has_upstreams_ &&
         (in_force_.revision == 0 || missing_revision_ > in_force_.revision);
}

bool SnapshotPlan::IsWanted() const {
  return WantsConfiguration() || WantsUpstreams();
}

bool SnapshotPlan::IsUseful(Content content) const {
  if (!content.is_complete())
    return false;
  return (WantsConfiguration() && content.version > in_force_.version) ||
         (WantsUpstreams() && content.revision > in_force_.revision);
}

std::vector<InstanceIp> SnapshotPlan::NewestPeers(absl::Time now) const {
  std::vector<InstanceIp> newest;
  uint64_t version = IsHolding() ? held_.version + 1 : 0;
  for (const auto& [ip, peer] : peers_) {
    if (peer.is_asked || now < peer.not_before || !IsUseful(peer.content) ||
        peer.content.version < version)
      continue;
    if (peer.content.version > version)
      newest.clear();
    version = peer.content.version;
    newest.push_back(ip);
  }
  return newest;
}

std::vector<InstanceIp> SnapshotPlan::UnknownPeers(
    const std::vector<InstanceIp>& live,
    absl::Time now) const {
  std::vector<InstanceIp> unknown;
  for (InstanceIp ip : live) {
    const auto found = peers_.find(ip);
    const bool may_be_asked =
        found == peers_.end() ||
        (!found->second.has_announced && !found->second.is_asked &&
         now >= found->second.not_before);
    if (may_be_asked)
      unknown.push_back(ip);
  }
  return unknown;
}

std::optional<InstanceIp> SnapshotPlan::TakePeer(
    const std::vector<InstanceIp>& live,
    absl::Time now) {
  const absl::Duration since_last = now - last_fetch_;
  const bool is_due =
      IsWanted() && now - started_ >= kSourceHeadStart &&
      fetches_ < kMaxFetches && (fetches_ == 0 || since_last >= kPatience) &&
      (!in_force_.is_complete() || since_last >= kUpdateInterval);
  if (!is_due)
    return std::nullopt;
  std::vector<InstanceIp> candidates = NewestPeers(now);
  // Nobody is likely to have content if no configuration is announced.
  if (candidates.empty() && !in_force_.is_complete() && announced_version_ > 0)
    candidates = UnknownPeers(live, now);
  if (candidates.empty())
    return std::nullopt;
  const InstanceIp chosen = candidates[random_() % candidates.size()];
  peers_[chosen].is_asked = true;
  ++fetches_;
  last_fetch_ = now;
  return chosen;
}

void SnapshotPlan::OnFetchEnded(InstanceIp peer, absl::Time not_before) {
  --fetches_;
  auto found = peers_.find(peer);
  if (found == peers_.end())
    return;
  found->second.is_asked = false;
  found->second.not_before = not_before;
}

bool SnapshotPlan::IsExpected(absl::Time now) const {
  const bool source_may_answer =
      now - started_ < kSourceHeadStart && !has_source_failed_;
  const bool has_one_part =
      has_configuration_ != has_upstreams_ && !has_source_failed_;
  if (source_may_answer || has_one_part || IsHolding())
    return true;
  return std::any_of(peers_.begin(), peers_.end(), [now](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.content.is_complete() &&
           (peer.is_asked || peer.not_before <= now + kBusyDelay);
  });
}

absl::Duration SnapshotPlan::RetryAfter(absl::Time now) {
  const absl::Duration expected =
      IsExpected(now)
          ? kUsualFetchTime
          : std::clamp(now - started_, kMinOutageRetry, kMaxOutageRetry);
  return expected *
         (1 + std::uniform_real_distribution<double>(0, kRetrySpread)(random_));
}

SnapshotPlan::Verdict SnapshotPlan::OnContent(InstanceIp peer,
                                              Content content,
                                              absl::Time now) {
  OnFetchEnded(peer, now + kUselessDelay);
  if (!IsUseful(content))
    return Verdict::kIgnore;
  const bool is_newest = content.version >= announced_version_ ||
                         content.version <= in_force_.version;
  if (is_newest) {
    held_until_ = absl::InfiniteFuture();
    return Verdict::kAdopt;
  }
  if (IsHolding() && content.version <= held_.version)
    return Verdict::kIgnore;
  if (!IsHolding())
    held_until_ = now + kHoldTime;
  held_ = content;
  return Verdict::kHold;
}

void SnapshotPlan::OnFailed(InstanceIp peer, Failure failure, absl::Time now) {
  const auto known = peers_.find(peer);
  // One that has announced nothing and refuses has probably no content.
  const bool is_unknown = known != peers_.end() && !known->second.has_announced;
  OnFetchEnded(peer,
               now + (is_unknown ? kNoResponseDelay : DelayAfter(failure)));
}

bool SnapshotPlan::TakeHeld(absl::Time now) {
  if (now < held_until_)
    return false;
  held_until_ = absl::InfiniteFuture();
  return IsUseful(held_);
}

}  // namespace chicory
