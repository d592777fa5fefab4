// What Gateway does with the content of other instances.
#include <algorithm>
#include <utility>

#include "modules/gateway/gateway.h"
#include "modules/net/loop_time.h"

namespace chicory {

void Gateway::ListenForSnapshots() {
  const auto listening =
      Capture([this] { return snapshot_server_.Listen(options_.peers); });
  if (!listening.ok)
    log_.Write("snapshots_not_served", {{"reason", listening.error.message}});
}

void Gateway::OnSourceAnswered(SnapshotPlan::Part part) {
  confirmed_at_ = SteadyNow();
  snapshot_fetcher_.plan().OnSourceAnswered(part);
}

void Gateway::AnnounceFirstContent() {
  if (has_announced_content_ || !ContentInForce().is_complete())
    return;
  has_announced_content_ = true;
  placement_.membership().AnnounceContent(SteadyNow());
  // The next idle tick may be late for the others.
  ScheduleTick();
}

bool Gateway::RecordList(const std::vector<UpstreamRecord>& upstreams,
                         uint64_t revision,
                         bool after_outage) {
  UpstreamChangeLog& changes = placement_.membership().upstream_changes();
  const uint64_t known = changes.complete_until();
  if (known == 0 || revision < known)
    return changes.OnListed(revision);
  if (revision == known)
    return true;
  std::vector<UpstreamChange> changed = state_.upstreams.ChangesTo(upstreams);
  // More are never sent to others, which would wait for them in vain and then
  // list the source.
  if (changed.size() > UpstreamChangeLog::kMaxChangesPerReply)
    return changes.OnListed(revision);
  return changes.Add({.from = known,
                      .to = revision,
                      .last_change = revision,
                      .after_outage = after_outage,
                      .changes = std::move(changed)});
}

SnapshotPlan::Content Gateway::ContentInForce() const {
  return {
      .version = state_.table ? state_.table->version() : 0,
      .revision = placement_.membership().upstream_changes().complete_until()};
}

Snapshot Gateway::MakeSnapshot(absl::Time now) const {
  return {
      .configuration = state_.table->options(),
      .upstreams = state_.upstreams.All(),
      .revision = placement_.membership().upstream_changes().complete_until(),
      .evacuations = placement_.membership().evacuations(),
      .age = now - confirmed_at_};
}

void Gateway::AdoptSnapshot(Snapshot snapshot, InstanceIp peer) {
  const absl::Time now = SteadyNow();
  // Before the upstreams, so that none in an evacuated data centre is used.
  if (placement_.membership().AdoptEvacuations(snapshot.evacuations, now))
    ApplyEvacuations(IpText(peer));
  UpstreamChangeLog& changes = placement_.membership().upstream_changes();
  // Before the configuration, so that no request finds routes without
  // upstreams.
  if (snapshot.revision > changes.complete_until() &&
      changes.OnListed(snapshot.revision)) {
    has_peer_upstreams_ = true;
    state_.upstreams_updated_at = now;
    std::vector<UpstreamRecord> records;
    for (const UpstreamDirectory::Registration& row : snapshot.upstreams)
      records.push_back(row.record);
    state_.upstreams.Replace(records, /*after_outage=*/false, now);
    for (const UpstreamDirectory::Registration& row : snapshot.upstreams) {
      if (row.is_missing)
        state_.upstreams.Remove(row.record.id, /*after_outage=*/true, now);
    }
    log_.Write("upstreams_listed", {{"listed", records.size()},
                                    {"held", state_.upstreams.size()},
                                    {"revision", snapshot.revision},
                                    {"after_outage", 0},
                                    {"source", IpText(peer)}});
    PublishUpstreams();
  }
  confirmed_at_ = std::max(confirmed_at_, now - snapshot.age);
  ApplyConfiguration(std::move(snapshot.configuration), IpText(peer),
                     snapshot.age);
}

}  // namespace chicory
