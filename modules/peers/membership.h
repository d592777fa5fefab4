#ifndef MODULES_PEERS_MEMBERSHIP_H_
#define MODULES_PEERS_MEMBERSHIP_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "modules/core/recent_maximum.h"
#include "modules/decisions/instance_roster.h"
#include "modules/peers/placement_message.h"
#include "modules/peers/source_part.h"
#include "modules/routing/evacuations.h"
#include "modules/routing/upstream_change_log.h"

namespace chicory {

/** Membership of the gateway instances, and distribution of configuration
    versions and upstream changes among them.

    Only a few instances watch the source. The header of every message announces
    the newest known configuration version and upstream change; an instance that
    is behind obtains the missing upstream changes from the reply to a hello.

    The header also carries the time since the source last confirmed that this
    is the newest: an instance that says it watches may be cut off without
    knowing it. An instance watches the source itself when it is among the first
    kWatchers of the roster's order, or when the last confirmation that it knows
    of is too old.

    Performs no I/O and reads no clock: callers pass the time. Not thread-safe.

    @see InstanceRoster, UpstreamChangeLog, PlacementNode */
class Membership {
 public:
  /** Number of instances that watch the source. */
  static constexpr size_t kWatchers = 3;
  /** How long each message carries the evacuated data centres once that is
      needed: some hellos may be lost. */
  static constexpr absl::Duration kEvacuationsRepeated = absl::Seconds(2);
  /** How long a number of live instances is remembered. */
  static constexpr absl::Duration kCountRetention = absl::Minutes(10);

  struct Options {
    InstanceIp self = 0;
    /** Instances to contact before others are known. */
    std::vector<InstanceIp> seeds;
    /** Age of the last confirmation by the source, from whichever instance,
        at which this instance watches the source itself. */
    absl::Duration max_source_age = absl::Milliseconds(1400);
    /** Whether the source keeps a list of instances, in which instances that
        know no others are found. */
    bool uses_directory = false;
    /** Whether operators evacuate data centres. Without it what other instances
        send of evacuations is ignored, since nobody would read their end. */
    bool uses_evacuations = true;
  };

  explicit Membership(Options options);

  void SetSeeds(std::vector<InstanceIp> seeds);
  /** Returns whether this instance is to be in the source's list of instances,
      and to read it: if it knows no others, and a few instances of each part of
      the fleet, so that parts which do not know each other meet. */
  bool ShouldBeListed(absl::Time now) const;
  /** Sets the other instances that the source lists. To be called only once it
      lists this one too, so that instances which read it later find this one.
   */
  void SetListedInstances(std::vector<InstanceIp> others);
  /** Returns whether this instance is the one that removes those from the list
      which are gone. */
  bool KeepsList(absl::Time now) const;
  /** Returns whether a message from `ip` has been received or reported lately.
   */
  bool IsLive(InstanceIp ip, absl::Time now) const;
  /** Sets the number of groups of upstreams, each of which has a scheduler; 0
      if no upstreams are known, in which case other instances are preferred as
      schedulers. */
  void SetGroupCount(uint32_t count);
  /** Sets the configuration version in force on this instance. */
  void SetConfigurationVersion(uint64_t version);
  uint64_t configuration_version() const { return configuration_version_; }
  /** Sets the relation of this instance to the source. Losing the source
      brings the next hello forward. */
  void SetSourceState(SourceState state, absl::Time now);
  /** Called when the source has confirmed to this instance, as of `as_of`, that
      it has nothing newer of `part` than what this instance knows. */
  void OnSourceConfirmed(SourcePart part, absl::Time as_of);
  /** Returns the time since the source last confirmed, to this or another
      instance, that all parts known here are the newest; at most the time since
      the start. */
  absl::Duration SourceAge(absl::Time now) const;
  /** Returns whether this instance is one of those that watch the source for
      all. */
  bool IsWatcher(absl::Time now) const;
  /** Returns whether this instance is to watch the source. */
  bool ShouldWatchSource(absl::Time now) const;
  /** Replaces the evacuated data centres if `evacuations` is of a newer
     revision of the source. Returns whether the set has changed, or was
     unknown. */
  bool AdoptEvacuations(const Evacuations& evacuations, absl::Time now);
  /** Lets all messages carry the evacuated data centres for
      kEvacuationsRepeated: they have changed, or another instance does not know
      them. At other times only some hellos do, to keep the traffic small. */
  void RepeatEvacuations(absl::Time now);
  /** The newest set known here, of revision 0 if none is. */
  const Evacuations& evacuations() const { return evacuations_; }
  /** Returns whether this instance is to read the evacuated data centres before
      it watches the source: no other has sent them, and it is among the first
      kWatchers of those known here. Otherwise a fleet that starts as a whole
      would not know them until it watches the source. */
  bool ShouldReadEvacuations(absl::Time now) const;
  UpstreamChangeLog& upstream_changes() { return upstream_changes_; }
  const UpstreamChangeLog& upstream_changes() const {
    return upstream_changes_;
  }

  /** Fills in the header fields of an outgoing message. */
  void FillHeader(PeerMessage* message, absl::Time now) const;
  /** Processes the header fields of a received message. */
  void OnHeader(const PeerMessage& message, absl::Time now);
  /** Returns whether this instance lacks an upstream change that another one
      has announced. */
  bool IsBehind() const;
  /** Returns the instance to send a hello to now, to obtain upstream changes
      that are missing here; nullopt if none are missing or the last such hello
      is too recent. In a large fleet it is mostly a random instance, so that
      those that announce a change to all others do not also send it to all. */
  std::optional<InstanceIp> TakeCatchUpTarget(absl::Time now);
  /** Returns the revision of an announced upstream change that no instance has
      delivered for kPeerResponseTime, at most once per that time; nullopt
      otherwise. */
  std::optional<uint64_t> TakeOverdueChange(absl::Time now);

  /** Returns the instances to send a hello to now; empty until the next hello
      is due. Marks instances that did not reply to hellos as suspected. */
  std::vector<InstanceIp> TakeHelloTargets(absl::Time now);
  /** Brings the next hello forward. Used for changes that others must learn of
      quickly. */
  void ScheduleEarlyHello(absl::Time now);
  /** Makes the next hello go at once, and to a few random instances as well.
      To be called when this instance has its first complete content, which
      others that start at the same time may lack. */
  void AnnounceContent(absl::Time now);
  bool announces_content() const { return announces_content_; }
  /** Returns the replies to a hello. The first carries live instances, the
      others carry the upstream changes that the sender is missing. */
  std::vector<WelcomeMessage> MakeWelcomes(const PeerMessage& hello,
                                           absl::Time now);
  /** Merges the live instances named in a welcome into the roster. */
  void OnWelcome(const WelcomeMessage& welcome, absl::Time now);

  /** Returns whether this instance has started so recently that it may not know
      the others yet. */
  bool IsJoining(absl::Time now) const;
  /** Marks `ip` as suspected after it failed to respond. */
  void Suspect(InstanceIp ip, absl::Time now) { roster_.Suspect(ip, now); }
  /** Marks this instance as shutting down; it no longer acts as a scheduler. */
  void Leave() { leaving_ = true; }
  bool leaving() const { return leaving_; }

  /** Returns the instance that schedules a group of upstreams. An instance that
      is shutting down avoids itself if it knows another. */
  InstanceIp SchedulingInstance(absl::Time now, uint32_t group = 0) const;
  /** Returns the scheduler of a group, followed by the instance next in order
      to take over from it. */
  std::vector<InstanceIp> Schedulers(absl::Time now, uint32_t group) const;
  /** Returns the instances that all others send hellos to. */
  std::vector<InstanceIp> HelloReceivers(absl::Time now) const;
  /** Returns the number of live instances including this one: the larger of the
      roster's count and the count recently announced in replies to hellos. */
  size_t LiveInstances(absl::Time now) const;
  /** Returns the number of instances among which a limit is divided that all of
      them share: the most that have been known to live within
      kCountRetention, since those that are gone from here may live on out of
      reach, or may have used their share. Returns nullopt while this instance
      does not know the others. */
  std::optional<size_t> SharingInstances(absl::Time now) const;
  /** Returns the fewest instances that there are as far as is known, seeds
      included. */
  size_t KnownInstances(absl::Time now) const;
  /** Returns the live instances other than this one. */
  std::vector<InstanceRoster::Member> Members(absl::Time now) const {
    return roster_.Members(now);
  }
  InstanceIp self() const { return options_.self; }

 private:
  /** Returns the instances to contact before others are known: the seeds and
      those that the source lists. */
  std::vector<InstanceIp> Contacts() const;
  /** Adds the contacts that are due for a hello. */
  void AddContacts(std::vector<InstanceIp>* targets) const;
  /** Returns how many of the listed instances are not known to live. */
  size_t CountListedNotLive(absl::Time now) const;
  /** Returns the number of seeds without this instance. */
  size_t OtherSeeds() const;
  /** Returns the live instances to list in a welcome. */
  std::vector<InstanceRoster::Member> MembersToSend(absl::Time now);
  /** Returns the instances that all others must know to agree on the scheduler
      of every group. Computed at most once per kCandidateInterval. */
  const absl::flat_hash_set<InstanceIp>& SchedulerCandidates(absl::Time now);
  /** Repeats the evacuated data centres if the sender does not know them. */
  void CompareEvacuations(const PeerMessage& message, absl::Time now);
  /** Adopts what the sender knows of the last confirmations by the source, as
      far as this instance knows what was confirmed. */
  void AdoptSourceAges(const PeerMessage& message, absl::Time now);
  /** Returns whether the source seems to be away for all instances, so that
      those that do not watch it need not try. */
  bool IsSourceAway(absl::Time now) const;
  /** Returns whether the source has confirmed something to this instance of
      which the instances that all others send hellos to are to learn now. */
  bool HasNewConfirmation(absl::Time now) const;
  /** Processes the live count announced in a reply to a hello. */
  void OnLiveCount(size_t count, absl::Time now);

  Options options_;
  InstanceRoster roster_;
  /** The other instances in the source's list; nullopt until it lists this
      one. */
  std::optional<std::vector<InstanceIp>> listed_;
  UpstreamChangeLog upstream_changes_;
  Evacuations evacuations_;
  absl::Time evacuations_repeated_until_ = absl::InfinitePast();
  /** Whether all messages, or all hellos, carry the evacuated data centres. */
  bool repeats_evacuations_ = false;
  bool hellos_carry_evacuations_ = false;
  uint64_t configuration_version_ = 0;
  /** Newest version announced by any instance. */
  uint64_t announced_configuration_version_ = 0;
  absl::Time next_catch_up_ = absl::InfinitePast();
  uint64_t catch_up_rounds_ = 0;
  /** The instance that announced `announced_change_` last. */
  InstanceIp change_announcer_ = 0;
  /** Revision of the latest upstream change announced by any instance, and the
      time since which its delivery is pending. */
  uint64_t announced_change_ = 0;
  absl::Time change_awaited_since_ = absl::InfiniteFuture();
  SourceState source_ = SourceState::kPassive;
  /** By SourcePart: when the source last confirmed it to any instance, and to
      this one. */
  using ConfirmationTimes = std::array<absl::Time, kSourceParts>;
  ConfirmationTimes confirmed_at_ = {absl::InfinitePast(),
                                     absl::InfinitePast()};
  ConfirmationTimes confirmed_here_at_ = confirmed_at_;
  /** Time of the last hello. */
  absl::Time last_hello_ = absl::InfinitePast();
  /** Addition to Options::max_source_age; differs between instances. */
  absl::Duration age_offset_;
  /** Time of the first call of TakeHelloTargets. */
  absl::Time started_ = absl::InfinitePast();
  absl::Time next_hello_ = absl::InfinitePast();
  uint64_t hello_rounds_ = 0;
  /** The next hello also goes to random instances. */
  bool announces_content_ = false;
  /** The latest upstream change known at the last hello. */
  uint64_t hello_change_ = 0;
  /** Hellos sent since the last reply, by instance. */
  std::map<InstanceIp, int> unanswered_hellos_;
  size_t next_member_to_send_ = 0;
  uint32_t group_count_ = 0;
  absl::flat_hash_set<InstanceIp> candidates_;
  absl::Time candidates_computed_at_ = absl::InfinitePast();
  bool leaving_ = false;
  /** Live instances in the roster at the last hello. */
  size_t roster_live_count_ = 1;
  /** Largest live count recently announced in a reply to a hello. */
  size_t announced_live_count_ = 1;
  absl::Time live_count_announced_at_ = absl::InfinitePast();
  RecentMaximum<size_t> most_live_instances_{kCountRetention};
};

}  // namespace chicory

#endif  // MODULES_PEERS_MEMBERSHIP_H_
