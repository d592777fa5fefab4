#include "modules/gateway/source_watcher.h"

#include "modules/net/loop_time.h"

namespace chicory {

namespace {

/** The source is watched for this long after it was last needed. */
constexpr absl::Duration kKeepWatching = absl::Seconds(2);
/** A source that did not answer is worth another try after this time. */
constexpr absl::Duration kLostMemory = absl::Seconds(5);

}  // namespace

SourceWatcher::SourceWatcher(GatewaySource* source,
                             Membership* membership,
                             EventLog& log,
                             absl::Duration refresh_interval)
    : source_(source),
      membership_(membership),
      log_(log),
      refresh_interval_(refresh_interval) {}

void SourceWatcher::OnReachable(const std::string& part, bool reachable) {
  if (reachable) {
    lost_parts_.erase(part);
    return;
  }
  lost_parts_.insert(part);
  lost_ = SteadyNow();
}

std::optional<Freshness> SourceWatcher::TakeRefresh(Refresh* refresh,
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

void SourceWatcher::OnNewerConfiguration(uint64_t version, uint64_t in_force) {
  const auto freshness = TakeRefresh(&configuration_, version, in_force);
  if (!freshness)
    return;
  log_.Write("configuration_behind_peer",
             {{"version", version}, {"in_force", in_force}});
  source_->RefreshConfiguration(*freshness);
}

void SourceWatcher::OnMissingUpstreamChange(uint64_t last_change) {
  const uint64_t known = membership_->upstream_changes().complete_until();
  const auto freshness = TakeRefresh(&upstreams_, last_change, known);
  if (!freshness)
    return;
  log_.Write("upstreams_behind_peer",
             {{"last_change", last_change}, {"known", known}});
  source_->RefreshUpstreams(*freshness);
}

SourceState SourceWatcher::StateOfSource(absl::Time now) const {
  const bool is_lost =
      !lost_parts_.empty() && (is_watching_ || now - lost_ < kLostMemory);
  if (is_lost)
    return SourceState::kLost;
  return is_watching_ ? SourceState::kWatching : SourceState::kPassive;
}

void SourceWatcher::Tick(absl::Time now) {
  membership_->SetSourceState(StateOfSource(now), now);
  if (membership_->ShouldWatchSource(now))
    needed_ = now;
  const bool watch = now - needed_ < kKeepWatching;
  if (watch == is_watching_)
    return;
  is_watching_ = watch;
  log_.Write(watch ? "source_watched" : "source_unwatched",
             {{"live_instances", membership_->LiveInstances(now)},
              {"lost_parts", lost_parts_.size()}});
  source_->SetWatching(watch);
}

}  // namespace chicory
