#ifndef MODULES_PEERS_MEMBERSHIP_H_
#define MODULES_PEERS_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "modules/decisions/instance_roster.h"
#include "modules/peers/placement_message.h"
#include "modules/routing/upstream_change_log.h"

namespace chicory {

/** What an instance knows of the other instances, and what it receives from
    them about the configuration and the upstreams.

    A few instances watch the source; the others learn from the headers of all
    messages that something is newer, and from the responses to their hellos
   what it is. An instance watches the source by itself when it is among the
   first kWatchers of the roster's order, or hears from none that does. Free of
   clocks and sockets. Not thread-safe.

    @see InstanceRoster, UpstreamChangeLog, PlacementNode */
class Membership {
 public:
  /** Instances that watch the source. */
  static constexpr size_t kWatchers = 3;

  struct Options {
    InstanceIp self = 0;
    std::vector<InstanceIp> seeds;
    /** Longest time without word from an instance that watches the source. */
    absl::Duration watcher_timeout = absl::Milliseconds(1000);
  };

  explicit Membership(Options options);

  void SetSeeds(std::vector<InstanceIp> seeds);
  /** The configuration version in force here. */
  void SetConfigurationVersion(uint64_t version);
  uint64_t configuration_version() const { return configuration_version_; }
  /** What this instance has to do with the source. */
  void SetSourceState(SourceState state, absl::Time now);
  /** Whether this instance is to watch the source. */
  bool ShouldWatchSource(absl::Time now) const;
  UpstreamChangeLog& upstream_changes() { return upstream_changes_; }
  const UpstreamChangeLog& upstream_changes() const {
    return upstream_changes_;
  }

  /** Fills in the fields that every message has. */
  void FillHeader(PeerMessage* message) const;
  /** Takes note of those fields. */
  void OnHeader(const PeerMessage& message, absl::Time now);
  /** Whether the sender knows of a later change of the upstreams. */
  bool IsBehind(const PeerMessage& message) const;
  /** Whether a hello is to be sent now to a sender that knows more; true at
      most once in a short while. */
  bool TakeCatchUp(const PeerMessage& message, absl::Time now);
  /** The revision of a change that others know of and that none has sent for
      kPeerResponseTime; returned once in that time. */
  std::optional<uint64_t> TakeMissingChange(absl::Time now);

  /** Instances to send a hello to now; none while none is due. */
  std::vector<InstanceIp> TakeHelloTargets(absl::Time now);
  /** Sends the next hello soon, because others need to know something. */
  void HelloSoon(absl::Time now);
  /** The responses to a hello: the live instances, and in as many messages as
     it takes the upstream changes that its sender is missing. */
  std::vector<WelcomeMessage> Welcome(const PeerMessage& hello, absl::Time now);
  void OnWelcome(const WelcomeMessage& welcome, absl::Time now);

  /** `ip` left a question unanswered. */
  void Suspect(InstanceIp ip, absl::Time now) { roster_.Suspect(ip, now); }
  /** This instance is leaving and schedules for nobody. */
  void Leave() { leaving_ = true; }
  bool leaving() const { return leaving_; }

  /** The instance that is asked for upstreams of a group. */
  InstanceIp SchedulingInstance(absl::Time now, uint32_t group = 0) const;
  /** That instance and the one that takes over from it. */
  std::vector<InstanceIp> Schedulers(absl::Time now, uint32_t group) const;
  /** Live instances, this one included, as far as this one or the scheduler
      knows. */
  size_t LiveInstances(absl::Time now) const;
  /** Live instances other than this one. */
  std::vector<InstanceRoster::Member> Members(absl::Time now) const {
    return roster_.Members(now);
  }
  InstanceIp self() const { return options_.self; }

 private:
  std::vector<InstanceRoster::Member> MembersToSend(absl::Time now);
  void OnLiveCount(size_t count, absl::Time now);

  Options options_;
  InstanceRoster roster_;
  UpstreamChangeLog upstream_changes_;
  uint64_t configuration_version_ = 0;
  /** The newest version that any instance has announced. */
  uint64_t configuration_heard_ = 0;
  absl::Time next_catch_up_ = absl::InfinitePast();
  /** The latest change of the upstreams that any instance has announced, and
      since when it is awaited. */
  uint64_t change_heard_ = 0;
  absl::Time awaited_since_ = absl::InfiniteFuture();
  SourceState source_ = SourceState::kPassive;
  /** When an instance that watches the source, or cannot, was heard last. */
  absl::Time watcher_heard_ = absl::InfinitePast();
  /** How much longer than others this instance waits for one. */
  absl::Duration timeout_extra_;
  absl::Time started_ = absl::InfinitePast();
  absl::Time next_hello_ = absl::InfinitePast();
  uint64_t hellos_ = 0;
  /** Hellos without a response since the last one, by instance. */
  std::map<InstanceIp, int> unanswered_;
  size_t next_member_ = 0;
  bool leaving_ = false;
  /** Live instances by this one's roster at its last hello. */
  size_t live_here_ = 1;
  /** The largest count that a scheduler announced lately. */
  size_t live_announced_ = 1;
  absl::Time live_announced_at_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_PEERS_MEMBERSHIP_H_
