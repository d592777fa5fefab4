#include "modules/gateway/source_follower.h"

#include "modules/net/loop_time.h"

namespace chicory {

namespace {

/** The source is followed for this long after it was last needed. */
constexpr absl::Duration kFollowOn = absl::Seconds(2);
/** A source that did not answer is worth another try after this time. */
constexpr absl::Duration kLostMemory = absl::Seconds(5);

}  // namespace

SourceFollower::SourceFollower(GatewaySource* source,
                               Membership* membership,
                               EventLog& log,
                               absl::Duration refresh_interval)
    : source_(source),
      membership_(membership),
      log_(log),
      refresh_interval_(refresh_interval) {}

void SourceFollower::OnReachable(const std::string& part, bool reachable) {
  if (reachable) {
    lost_parts_.erase(part);
    return;
  }
  lost_parts_.insert(part);
  lost_ = SteadyNow();
}

std::optional<Freshness> SourceFollower::TakeRefresh(Refresh* refresh,
                                                     uint64_t wanted,
                                                     uint64_t known) {
  const absl::Time now = SteadyNow();
  if (now - refresh->asked < refresh_interval_)
    return std::nullopt;
  // When the last answer fell short, it was too old.
  const bool fell_short = known < refresh->wanted;
  *refresh = {.asked = now, .wanted = wanted};
  return fell_short ? Freshness::kNewest : Freshness::kMayBeStale;
}

void SourceFollower::OnNewerConfiguration(uint64_t version, uint64_t in_force) {
  const auto freshness = TakeRefresh(&configuration_, version, in_force);
  if (!freshness)
    return;
  log_.Write("configuration_behind_peer",
             {{"version", version}, {"in_force", in_force}});
  source_->RefreshConfiguration(*freshness);
}

void SourceFollower::OnUpstreamsBehind(uint64_t last_change) {
  const uint64_t known = membership_->news().complete_until();
  const auto freshness = TakeRefresh(&upstreams_, last_change, known);
  if (!freshness)
    return;
  log_.Write("upstreams_behind_peer",
             {{"last_change", last_change}, {"known", known}});
  source_->RefreshUpstreams(*freshness);
}

SourceState SourceFollower::StateOfSource(absl::Time now) const {
  const bool is_lost =
      !lost_parts_.empty() && (follows_ || now - lost_ < kLostMemory);
  if (is_lost)
    return SourceState::kLost;
  return follows_ ? SourceState::kFollowing : SourceState::kHearing;
}

void SourceFollower::Tick(absl::Time now) {
  membership_->SetSourceState(StateOfSource(now), now);
  if (membership_->ShouldFollowSource(now))
    needed_ = now;
  const bool follow = now - needed_ < kFollowOn;
  if (follow == follows_)
    return;
  follows_ = follow;
  log_.Write(follow ? "source_followed" : "source_left_to_others",
             {{"live_instances", membership_->LiveInstances(now)},
              {"lost_parts", lost_parts_.size()}});
  source_->Follow(follow);
}

}  // namespace chicory
