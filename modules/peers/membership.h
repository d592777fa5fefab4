#ifndef MODULES_PEERS_MEMBERSHIP_H_
#define MODULES_PEERS_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "modules/decisions/instance_roster.h"
#include "modules/peers/placement_message.h"
#include "modules/routing/upstream_news.h"

namespace chicory {

/** What an instance knows of the other instances, and what it hears from them
    of the configuration and the upstreams.

    A few instances follow the source; the others learn from the headers of all
    messages that something is newer, and from the answers to their greetings
    what it is. An instance follows the source by itself when it is among the
    first kFollowers of the roster's order, or hears of none that does. Free of
    clocks and sockets. Not thread-safe.

    @see InstanceRoster, UpstreamNews, PlacementNode */
class Membership {
 public:
  /** Instances that follow the source. */
  static constexpr size_t kFollowers = 3;

  struct Options {
    InstanceIp self = 0;
    std::vector<InstanceIp> seeds;
    /** Longest time without word from an instance that follows the source. */
    absl::Duration source_silence = absl::Milliseconds(1000);
  };

  explicit Membership(Options options);

  void SetSeeds(std::vector<InstanceIp> seeds);
  /** The configuration version in force here. */
  void SetConfigurationVersion(uint64_t version);
  uint64_t configuration_version() const { return configuration_version_; }
  /** What this instance has to do with the source. */
  void SetSourceState(SourceState state, absl::Time now);
  /** Whether this instance is to follow the source. */
  bool ShouldFollowSource(absl::Time now) const;
  UpstreamNews& news() { return news_; }
  const UpstreamNews& news() const { return news_; }

  /** Writes what every message tells of its sender. */
  void FillHeader(PeerMessage* message) const;
  /** Reads what a message tells of its sender. */
  void OnHeader(const PeerMessage& message, absl::Time now);
  /** Whether the sender knows of a later change of the upstreams. */
  bool IsBehind(const PeerMessage& message) const;
  /** Whether the sender is to be greeted now for what it knows more; true at
      most once in a short while. */
  bool TakeCatchUp(const PeerMessage& message, absl::Time now);
  /** The revision of a change that others know of and none has told for a
      while; given again after another while. */
  std::optional<uint64_t> TakeUntold(absl::Time now);

  /** Instances to greet now; none while no greeting is due. */
  std::vector<InstanceIp> TakeGreetings(absl::Time now);
  /** Greets again soon, because more is to be told. */
  void GreetSoon(absl::Time now);
  /** The answers to a greeting: the live instances, and in as many messages as
      it takes what the greeting instance has missed. */
  std::vector<WelcomeMessage> Welcome(const PeerMessage& greeting,
                                      absl::Time now);
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
  std::vector<InstanceRoster::Member> MembersToTell(absl::Time now);
  void OnLiveCount(size_t count, absl::Time now);

  Options options_;
  InstanceRoster roster_;
  UpstreamNews news_;
  uint64_t configuration_version_ = 0;
  /** The newest version that any instance has told of. */
  uint64_t configuration_heard_ = 0;
  absl::Time next_catch_up_ = absl::InfinitePast();
  /** The latest change of the upstreams that any instance has told of, and
      since when it is awaited. */
  uint64_t change_heard_ = 0;
  absl::Time awaited_since_ = absl::InfiniteFuture();
  SourceState source_ = SourceState::kHearing;
  /** When an instance that follows the source, or cannot, was heard last. */
  absl::Time follower_heard_ = absl::InfinitePast();
  /** How much longer than others this instance waits for one. */
  absl::Duration silence_extra_;
  absl::Time started_ = absl::InfinitePast();
  absl::Time next_greeting_ = absl::InfinitePast();
  uint64_t greetings_ = 0;
  /** Greetings without an answer since the last one, by instance. */
  std::map<InstanceIp, int> unanswered_;
  size_t next_told_ = 0;
  bool leaving_ = false;
  /** Live instances by this one's roster at its last greeting. */
  size_t live_here_ = 1;
  /** The largest count that a scheduler told lately. */
  size_t live_told_ = 1;
  absl::Time live_told_at_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_PEERS_MEMBERSHIP_H_
