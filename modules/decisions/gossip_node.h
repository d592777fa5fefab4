#ifndef MODULES_DECISIONS_GOSSIP_NODE_H_
#define MODULES_DECISIONS_GOSSIP_NODE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

namespace chicory {

/** Membership state of an instance.

    Within one version a later enumerator overrides an earlier one. */
enum class MemberState { kAlive, kSuspect, kDead, kLeft };

/** Returns the name of a state as logs and the operator API have it. */
const char* MemberStateName(MemberState state);

/** Kind of state that a gossip update carries. */
enum class GossipUpdateKind {
  /** State of an instance; the value is a MemberState. */
  kMember,
  /** State of an upstream; the value is an UpstreamState. */
  kUpstream,
  /** Upstream crashes that `origin` attributes to a request fingerprint; the
      value is their number. */
  kCrashCount,
};

/** One versioned piece of state that instances disseminate by gossip. */
struct GossipUpdate {
  GossipUpdateKind kind = GossipUpdateKind::kMember;
  /** Name of the instance or upstream, or text form of the request
      fingerprint. */
  std::string subject;
  /** The instance that issued the value; empty when the subject alone
      identifies the state. */
  std::string origin;
  /** Newer updates of the same subject and origin have higher versions. */
  uint64_t version = 0;
  /** Within one version the higher value takes precedence. */
  int64_t value = 0;
  /** Address and data centre; set only for members that are alive. */
  std::string address;
  std::string data_centre;
};

/** Request or response of a gossip exchange between two instances. */
struct GossipMessage {
  std::string sender;
  std::string address;
  std::string data_centre;
  /** Version of the sender's own membership state; see MemberVersion. */
  uint64_t version = 0;
  /** Revision of the configuration that the sender applies. */
  uint64_t configuration_revision = 0;
  /** Lamport timestamp of the sender's event timeline. */
  uint64_t stamp = 0;
  std::vector<GossipUpdate> updates;
};

/** What this instance knows about one other instance. */
struct MemberRow {
  std::string name;
  std::string address;
  std::string data_centre;
  /** Incarnation and refutation count, see MemberVersion; 0 until the member
      has been reported by gossip. */
  uint64_t version = 0;
  MemberState state = MemberState::kAlive;
  /** When `state` was entered. */
  absl::Time since;
  /** When the platform's instance list last contained it. */
  absl::Time listed_at = absl::InfinitePast();
};

/** Returns the version of a member's state. It grows with each start of the
    process and, within one process, with each refuted suspicion. */
uint64_t MemberVersion(uint64_t incarnation, uint64_t refutations);

/** Returns the process incarnation that a version contains. */
uint64_t IncarnationOf(uint64_t version);

/** A gossip exchange that the owner of the GossipNode has to carry out. */
struct OutgoingExchange {
  std::string name;
  std::string address;
  GossipMessage message;
};

/** Gossip membership of one instance, after SWIM: probes in random order,
    suspicions that the suspected member can refute, and updates piggybacked on
    every message.

    An exchange is one message and its response. Each instance starts one per
    period, so that its cost does not depend on the number of instances. An
    update is sent on a number of messages that grows with the logarithm of the
    number of members. An exchange without response is repeated as an indirect
    probe through two other members. If these get no response either, the member
    is suspected, and later declared dead unless it announces a higher version.

    The class does no I/O: the owner sends the messages and reports their
    outcome. Not thread-safe. */
class GossipNode {
 public:
  /** Time between two exchanges that this instance starts. */
  static constexpr absl::Duration kPeriod = absl::Seconds(1);
  /** Time after which an exchange counts as unanswered. */
  static constexpr absl::Duration kExchangeTimeout = absl::Milliseconds(700);
  /** Time that a suspected member has to refute, per doubling of the number of
      members: the suspicion must reach it, and its refutation the others. */
  static constexpr absl::Duration kSuspicionTimeoutPerDoubling =
      absl::Seconds(2);
  /** Interval of the additional exchanges with members that are considered
      dead and still in the platform's instance list. */
  static constexpr absl::Duration kDeadProbePeriod = absl::Seconds(5);
  /** Number of members through which an unanswered exchange is probed again. */
  static constexpr size_t kIndirectProbes = 2;
  /** Maximum number of updates in one message, not counting sampled members. */
  static constexpr size_t kMaxUpdatesPerMessage = 8;
  /** Members whose state is added to each message, in rotation. */
  static constexpr size_t kSampledMembersPerMessage = 2;

  struct Options {
    std::string instance;
    std::string address;
    std::string data_centre;
    uint64_t incarnation = 0;
  };

  /** Receives changes of the state that gossip disseminates. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** Called when a member joined or changed its state. */
    virtual void OnMember(const MemberRow& member) = 0;
    /** Called with each new update that is not about a member. */
    virtual void OnGossipUpdate(const GossipUpdate& update) = 0;
    /** Called when the peer at `address` applies a newer configuration. */
    virtual void OnNewerConfiguration(const std::string& address,
                                      uint64_t revision) = 0;
  };

  explicit GossipNode(const Options& options);

  /** Sets the listener, which must outlive this object; null for none. */
  void set_listener(Listener* listener) { listener_ = listener; }

  /** Sets the configuration revision that every message announces. */
  void set_configuration_revision(uint64_t revision) {
    configuration_revision_ = revision;
  }

  /** Adds an instance that the platform's instance list or the settings name.
      The state of a known member is not changed. */
  void AddSeed(const std::string& name,
               const std::string& address,
               const std::string& data_centre,
               absl::Time now);

  /** Disseminates an update that this instance issues. Its version is raised
      above that of the stored update of the same subject and origin. */
  void Spread(GossipUpdate update, absl::Time now);

  /** Announces to the other members that this instance leaves. */
  void Leave(absl::Time now);

  /** Declares members dead whose suspicion timed out, drops expired entries,
      and returns the exchanges to make in this period: at most one with the
      next member and one with a listed dead one. Call once per kPeriod. */
  std::vector<OutgoingExchange> Tick(absl::Time now, absl::BitGenRef random);

  /** Processes the message of a peer that started an exchange and returns the
      response: the full state for a newcomer. */
  GossipMessage OnMessage(const GossipMessage& message, absl::Time now);

  /** Processes the response to an exchange that this instance started. */
  void OnResponse(const GossipMessage& message, absl::Time now);

  /** Called when an exchange got no response. Returns the members through which
      to probe indirectly; empty when the member is unknown or not alive, or
      when there is no other member, in which case it is suspected at once. */
  std::vector<std::string> OnExchangeUnanswered(const std::string& name,
                                                absl::Time now,
                                                absl::BitGenRef random);

  /** Called when no indirect probe got a response either: the member is
      suspected. */
  void OnIndirectProbesUnanswered(const std::string& name, absl::Time now);

  /** Returns a message with all members and stored updates, for a newcomer. */
  GossipMessage FullState() const;

  /** Returns a member, or null if it is unknown. This instance is not a member
      of its own list. */
  const MemberRow* Find(const std::string& name) const;

  /** Returns all other instances; dead and departed ones are kept for a
      while. */
  const std::map<std::string, MemberRow>& members() const { return members_; }

  /** Returns the sorted names of the instances that are not dead or departed,
      this one included. */
  std::vector<std::string> LiveNames() const;

  /** Returns true if this instance is one of the `count` instances of its data
      centre that watch the object API on behalf of all. */
  bool IsWatcher(size_t count) const;

 private:
  /** Dead and departed members and stored updates are dropped after this. */
  static constexpr absl::Duration kRetention = absl::Minutes(10);
  /** Transmissions of an update, per doubling of the number of members. */
  static constexpr int kTransmissionsPerDoubling = 3;
  static constexpr size_t kMaxStoredUpdates = 20000;

  struct StoredUpdate {
    GossipUpdate update;
    absl::Time received_at;
  };

  struct QueuedUpdate {
    std::string key;
    int transmissions_left = 0;
  };

  static std::string UpdateKey(const GossipUpdate& update);
  void Merge(const GossipMessage& message, absl::Time now);
  void MergeUpdate(const GossipUpdate& update, absl::Time now);
  void MergeMember(const GossipUpdate& update, absl::Time now);
  void SetMemberState(MemberRow* row, MemberState state, absl::Time now);
  void SpreadMember(const MemberRow& row, absl::Time now);
  void Queue(GossipUpdate update, absl::Time now);
  /** Returns a message for `to`. If this instance does not consider the
      receiver alive, the message contains that state for it to refute. */
  GossipMessage MakeMessageFor(const std::string& to);
  const MemberRow& NextSampledMember();
  void QueueOwnState(MemberState state, absl::Time now);
  GossipMessage Header() const;
  int TransmissionLimit() const;
  absl::Duration SuspicionTimeout() const;
  /** Returns a random dead member that is still in the platform's list, or
      null. */
  const MemberRow* PickListedDead(absl::Time now, absl::BitGenRef random) const;
  OutgoingExchange MakeExchange(const MemberRow& row);

  Options self_;
  Listener* listener_ = nullptr;
  uint64_t version_ = 0;
  uint64_t configuration_revision_ = 0;
  bool is_leaving_ = false;
  // Ordered, so that equal events produce equal messages in every run.
  std::map<std::string, MemberRow> members_;
  std::map<std::string, StoredUpdate> stored_updates_;
  std::vector<QueuedUpdate> queue_;
  std::string last_sampled_;
  std::vector<std::string> probe_order_;
  absl::Time next_dead_probe_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_GOSSIP_NODE_H_
