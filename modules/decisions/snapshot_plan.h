#ifndef MODULES_DECISIONS_SNAPSHOT_PLAN_H_
#define MODULES_DECISIONS_SNAPSHOT_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "absl/time/time.h"
#include "modules/decisions/instance_roster.h"

namespace chicory {

/** Decides when an instance that the source has not answered since its start
    asks another instance for a snapshot of the content, which instance it asks,
    and what it adopts.

    Addresses instances that start while the source is unavailable: they would
    refuse all requests although their peers hold the content in memory. The
    source is the only one asked as long as it may answer soon, and for the
    parts that it has answered. Of the peers that announce content, one with the
    newest version is asked, at random among equals; a busy, slow or failing one
    is followed by another. Content that is older than what any instance has
    announced is held back for a short time, in which newer content may arrive,
    because it may lack the revocation of a key.

    Performs no I/O and reads no clock: callers pass the time. Not thread-safe.
 */
class SnapshotPlan {
 public:
  /** Time from the start for which only the source is asked. A source that is
      available answers in a few milliseconds. */
  static constexpr absl::Duration kSourceHeadStart = absl::Milliseconds(100);
  /** Time after which another peer is asked as well if one that was asked has
      not delivered yet. A transfer takes less, unless the peer is in trouble.
   */
  static constexpr absl::Duration kPatience = absl::Milliseconds(100);
  /** Time for which content is held back that is older than announced. */
  static constexpr absl::Duration kHoldTime = absl::Milliseconds(120);
  /** Number of peers asked at the same time at most. */
  static constexpr size_t kMaxFetches = 3;

  /** Versions of content; 0 for a part that is missing. */
  struct Content {
    /** Version of the configuration. */
    uint64_t version = 0;
    /** Revision of the upstreams. */
    uint64_t revision = 0;

    bool is_complete() const { return version > 0 && revision > 0; }
    friend bool operator==(const Content&, const Content&) = default;
  };
  enum class Part { kConfiguration, kUpstreams };
  /** Why a fetch delivered no content. */
  enum class Failure {
    /** The peer serves too many others, or has no content itself. */
    kBusy,
    /** No complete response in time. */
    kNoResponse,
    /** The response is malformed or does not match its digest. */
    kInvalid,
  };
  /** What to do with fetched content. */
  enum class Verdict {
    kAdopt,
    /** To be kept until TakeHeld() or until other content is adopted. */
    kHold,
    /** Not newer than what is in force or held. */
    kIgnore,
  };

  /** `seed` selects among equal peers; should differ between instances. */
  explicit SnapshotPlan(uint64_t seed) : random_(seed | 1) {}

  /** To be called once, when this instance begins to read the source. */
  void OnStarted(absl::Time now) { started_ = now; }
  /** Called when the source has delivered a part. */
  void OnSourceAnswered(Part part);
  /** Called when the source has failed to deliver a part. */
  void OnSourceFailed() { has_source_failed_ = true; }
  /** Called when what is in force has changed. */
  void SetInForce(Content content) { in_force_ = content; }
  /** Called for each message of a peer, with what it has in force. `newest`
      is the newest configuration version that it has seen announced. */
  void OnAnnounced(InstanceIp peer, Content content, uint64_t newest);
  /** Called when the upstreams changed at `revision` and neither peers nor the
      source have delivered the change. */
  void OnMissingUpstreamChange(uint64_t revision);
  /** Called when a peer shuts down. */
  void OnLeft(InstanceIp peer) { peers_.erase(peer); }

  /** Returns the peer to ask now, for which OnContent() or OnFailed() must be
      called later; nullopt if none is to be asked. `live` are all instances
      that are believed to be alive; those that have announced nothing to this
      instance are asked if no other is left and a configuration is known to be
      in force at some instance. */
  std::optional<InstanceIp> TakePeer(const std::vector<InstanceIp>& live,
                                     absl::Time now);
  /** Decides on fetched content. */
  Verdict OnContent(InstanceIp peer, Content content, absl::Time now);
  void OnFailed(InstanceIp peer, Failure failure, absl::Time now);
  /** Returns whether the held content is to be adopted now, and forgets it. */
  bool TakeHeld(absl::Time now);

  /** Returns whether the source is still to deliver a part. */
  bool is_open() const { return !has_configuration_ || !has_upstreams_; }
  /** Returns whether this instance lacks content that it may fetch. */
  bool IsWanted() const;
  /** Returns whether this instance will probably have its first configuration
      within a few hundred milliseconds, so that a request may wait for it. */
  bool IsExpected(absl::Time now) const;
  /** Returns the time after which a caller may come back that is refused
     because there is no configuration; differs between calls, so that refused
     callers do not all come back at the same time. */
  absl::Duration RetryAfter(absl::Time now);

 private:
  struct Peer {
    Content content;
    /** Whether it has announced what it has. */
    bool has_announced = false;
    /** Not asked before. */
    absl::Time not_before = absl::InfinitePast();
    bool is_asked = false;
  };

  bool WantsConfiguration() const;
  bool WantsUpstreams() const;
  /** Returns whether `content` has something that is wanted. */
  bool IsUseful(Content content) const;
  /** Returns whether held content is waiting for newer content. */
  bool IsHolding() const { return held_until_ != absl::InfiniteFuture(); }
  /** Returns those to ask of the peers that announce content. */
  std::vector<InstanceIp> NewestPeers(absl::Time now) const;
  /** Returns those to ask of the instances that have announced nothing. */
  std::vector<InstanceIp> UnknownPeers(const std::vector<InstanceIp>& live,
                                       absl::Time now) const;
  void OnFetchEnded(InstanceIp peer, absl::Time not_before);

  std::minstd_rand random_;
  absl::Time started_ = absl::InfiniteFuture();
  /** Parts that the source has delivered. */
  bool has_configuration_ = false;
  bool has_upstreams_ = false;
  bool has_source_failed_ = false;
  Content in_force_;
  /** Newest version that any instance has announced. */
  uint64_t announced_version_ = 0;
  /** Revision of the latest upstream change that is overdue. */
  uint64_t missing_revision_ = 0;
  std::map<InstanceIp, Peer> peers_;
  size_t fetches_ = 0;
  absl::Time last_fetch_ = absl::InfinitePast();
  /** What is held back, and until when. */
  Content held_;
  absl::Time held_until_ = absl::InfiniteFuture();
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_SNAPSHOT_PLAN_H_
