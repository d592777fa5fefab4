#include "modules/gateway/source_watcher.h"

#include <algorithm>

#include "modules/net/loop_time.h"

namespace chicory {

namespace {

/** How long the source is still watched after the need has ended, by an
   instance that watches it for all. */
constexpr absl::Duration kWatchLinger = absl::Seconds(2);
/** The same while it does not respond: time for a few calls, so that a single
    failed one is no reason to rely on others. */
constexpr absl::Duration kLostWatchLinger = absl::Milliseconds(500);
/** Time after which a source that became unreachable no longer counts as lost
    if it is not being watched, so that this instance may contact it again. */
constexpr absl::Duration kLostStateLifetime = absl::Seconds(5);

}  // namespace

SourceWatcher::SourceWatcher(GatewaySource* source,
                             Membership* membership,
                             EventLog& log,
                             absl::Duration refresh_interval,
                             absl::Duration max_silence,
                             bool reads_evacuations)
    : source_(source),
      membership_(membership),
      log_(log),
      refresh_interval_(refresh_interval),
      max_silence_(max_silence),
      reads_evacuations_(reads_evacuations) {}

void SourceWatcher::OnReachable(const std::string& part, bool reachable) {
  if (reachable) {
    has_contact_ = true;
    lost_parts_.erase(part);
    return;
  }
  lost_parts_.insert(part);
  last_lost_at_ = SteadyNow();
}

void SourceWatcher::OnConfirmed(absl::Time as_of) {
  confirmed_at_ = std::max(confirmed_at_, as_of);
}

void SourceWatcher::CheckSilence(absl::Time now) {
  const absl::Time last = std::max(confirmed_at_, watching_since_);
  if (!is_watching_ || !has_contact_ || now - last < max_silence_)
    return;
  if (silent_at_ <= last) {
    log_.Write("source_silent",
               {{"age_ms", absl::ToInt64Milliseconds(now - last)},
                {"live_instances", membership_->LiveInstances(now)}});
  }
  silent_at_ = now;
}

std::optional<Freshness> SourceWatcher::TakeRefresh(Refresh* refresh,
                                                    uint64_t wanted,
                                                    uint64_t known) {
  const absl::Time now = SteadyNow();
  if (now - refresh->requested_at < refresh_interval_)
    return std::nullopt;
  // If the last refresh did not return what it was requested for, it returned
  // stale data.
  const bool fell_short = known < refresh->wanted;
  *refresh = {.requested_at = now, .wanted = wanted};
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
      !lost_parts_.empty() &&
      (is_watching_ || now - last_lost_at_ < kLostStateLifetime);
  const bool is_silent =
      silent_at_ > confirmed_at_ && now - silent_at_ < kLostStateLifetime;
  // A source that has not answered since the start is not there for others.
  if (is_lost || is_silent || (is_watching_ && !has_contact_))
    return SourceState::kLost;
  return is_watching_ ? SourceState::kWatching : SourceState::kPassive;
}

bool SourceWatcher::ShouldWatch(SourceState state, absl::Time now) {
  if (membership_->ShouldWatchSource(now)) {
    last_needed_at_ = now;
    was_needed_for_all_ = membership_->IsWatcher(now);
    return true;
  }
  if (state == SourceState::kLost)
    return now - last_needed_at_ < kLostWatchLinger;
  return was_needed_for_all_ && now - last_needed_at_ < kWatchLinger;
}

void SourceWatcher::Tick(absl::Time now) {
  CheckSilence(now);
  const SourceState state = StateOfSource(now);
  membership_->SetSourceState(state, now);
  if (reads_evacuations_ && membership_->ShouldReadEvacuations(now)) {
    reads_evacuations_ = false;
    source_->ReadEvacuations();
  }
  const bool watch = ShouldWatch(state, now);
  if (watch == is_watching_)
    return;
  is_watching_ = watch;
  watching_since_ = now;
  log_.Write(
      watch ? "source_watched" : "source_unwatched",
      {{"live_instances", membership_->LiveInstances(now)},
       {"lost_parts", lost_parts_.size()},
       {"among_first", membership_->IsWatcher(now) ? 1 : 0},
       {"age_ms", absl::ToInt64Milliseconds(membership_->SourceAge(now))}});
  source_->SetWatching(watch);
}

}  // namespace chicory
