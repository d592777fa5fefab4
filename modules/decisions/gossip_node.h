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

/** What the instances believe of one of them. */
enum class MemberState { kAlive, kSuspect, kDead, kLeft };

/** The stable name of a state. */
const char* MemberStateName(MemberState state);

/** What a rumour is about. */
enum class GossipUpdateKind {
  /** An instance; the value is a MemberState. */
  kMember,
  /** An upstream; the value is an UpstreamState. */
  kUpstream,
  /** Deaths charged to a fingerprint by `origin`; the value is a count. */
  kCrashCount,
};

/** One fact that travels from instance to instance. */
struct GossipUpdate {
  GossipUpdateKind kind = GossipUpdateKind::kMember;
  std::string subject;
  /** Who counts; empty when the subject alone identifies the fact. */
  std::string origin;
  /** Newer facts about the same subject and origin have higher versions. */
  uint64_t version = 0;
  /** Breaks ties within a version: the higher wins. */
  int64_t value = 0;
  /** Address and data centre; for members that are alive. */
  std::string address;
  std::string data_centre;
};

/** What one instance tells another in an exchange. */
struct GossipMessage {
  std::string sender;
  std::string address;
  std::string data_centre;
  /** See MemberVersion. */
  uint64_t version = 0;
  /** Revision of the configuration in force at the sender. */
  uint64_t configuration_revision = 0;
  /** Stamp of the sender's time line. */
  uint64_t stamp = 0;
  std::vector<GossipUpdate> updates;
};

/** One other instance. */
struct MemberRow {
  std::string name;
  std::string address;
  std::string data_centre;
  /** Start of its process and its refutations; see MemberVersion. */
  uint64_t version = 0;
  MemberState state = MemberState::kAlive;
  absl::Time since;
  /** When the platform's list last named it. */
  absl::Time listed_at = absl::InfinitePast();
};

/** The version of a member's facts: grows with each start of its process, and
    within one process with each refutation of a wrong suspicion. */
uint64_t MemberVersion(uint64_t incarnation, uint64_t refutations);

/** The process incarnation within a version. */
uint64_t IncarnationOf(uint64_t version);

/** An exchange to make with another instance. */
struct OutgoingExchange {
  std::string name;
  std::string address;
  GossipMessage message;
};

/** Membership and rumours of one instance: probes in random order, suspicion
    that its subject can refute, and rumours on every message.

    An exchange sends one message and gets one back. Each period this instance
    starts one, so the cost does not depend on the number of instances. A
    rumour rides on a number of messages that grows with the logarithm of that
    number. A probe without answer is repeated through two others; if they get
    no answer either, the member is suspected, and dead later unless
    it speaks up with a higher version. Not thread-safe. */
class GossipNode {
 public:
  /** Time between two exchanges started here. */
  static constexpr absl::Duration kPeriod = absl::Seconds(1);
  /** How long an exchange may take before it counts as unanswered. */
  static constexpr absl::Duration kExchangeTimeout = absl::Milliseconds(700);
  /** How long a suspect has to speak up, for each doubling of the members:
      word of the suspicion must reach it, and its answer the others. */
  static constexpr absl::Duration kSuspicionPerDoubling = absl::Seconds(2);
  /** How often one more exchange is tried with a member that is held for dead
      and still stands in the platform's list. */
  static constexpr absl::Duration kDeadProbePeriod = absl::Seconds(5);
  /** Instances through which an unanswered probe is repeated. */
  static constexpr size_t kIndirectProbes = 2;
  /** Rumours on one message. */
  static constexpr size_t kMaxRumours = 8;
  /** Members told besides on each message, in turn. */
  static constexpr size_t kSampledMembers = 2;

  struct Options {
    std::string instance;
    std::string address;
    std::string data_centre;
    uint64_t incarnation = 0;
  };

  /** Is told what became known. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** A member joined or changed its state. */
    virtual void OnMember(const MemberRow& member) = 0;
    /** A rumour about something else than a member is new here. */
    virtual void OnGossipUpdate(const GossipUpdate& rumour) = 0;
    /** A peer has a newer configuration. */
    virtual void OnNewerConfiguration(const std::string& address,
                                      uint64_t revision) = 0;
  };

  explicit GossipNode(const Options& options);

  /** `listener` must outlive this object; null for none. */
  void set_listener(Listener* listener) { listener_ = listener; }

  /** The revision in force here, told on every message. */
  void set_configuration_revision(uint64_t revision) { revision_ = revision; }

  /** An instance stands in the platform's list or the settings. Adds it if it
      is unknown; says nothing of its state. */
  void AddSeed(const std::string& name,
               const std::string& address,
               const std::string& data_centre,
               absl::Time now);

  /** Starts to spread a fact of this instance's own. */
  void Spread(GossipUpdate rumour, absl::Time now);

  /** Says on all later messages that this instance leaves. */
  void Leave(absl::Time now);

  /** The exchange of this period, if there is anyone; also moves suspects on.
      Call once a period. */
  std::vector<OutgoingExchange> Tick(absl::Time now, absl::BitGenRef random);

  /** A peer started an exchange; returns what to answer. */
  GossipMessage OnMessage(const GossipMessage& message, absl::Time now);

  /** An exchange was answered. */
  void OnResponse(const GossipMessage& message, absl::Time now);

  /** An exchange was not answered. Returns the names of instances to ask for
      an indirect probe; none when the member is already suspected. */
  std::vector<std::string> OnExchangeUnanswered(const std::string& name,
                                                absl::Time now,
                                                absl::BitGenRef random);

  /** No indirect probe was answered either. */
  void OnIndirectProbesUnanswered(const std::string& name, absl::Time now);

  /** A message that holds every member, for a newcomer. */
  GossipMessage FullState() const;

  /** The row of a member, or null. This instance has none. */
  const MemberRow* Find(const std::string& name) const;

  /** All other instances, dead ones included for a while. */
  const std::map<std::string, MemberRow>& members() const { return members_; }

  /** Names of live instances with this one, sorted. */
  std::vector<std::string> LiveNames() const;

  /** Whether this instance is among the `count` of its data centre that watch
      the object API for all. */
  bool IsWatcher(size_t count) const;

 private:
  /** Dead members are forgotten after this long. */
  static constexpr absl::Duration kForgetAfter = absl::Minutes(10);
  /** Messages that a rumour rides on, per doubling of the members. */
  static constexpr int kRidesPerDoubling = 3;
  static constexpr size_t kMaxFacts = 20000;

  struct Fact {
    GossipUpdate rumour;
    absl::Time heard;
  };

  struct Riding {
    std::string key;
    int rides_left = 0;
  };

  static std::string KeyOf(const GossipUpdate& rumour);
  void Absorb(const GossipMessage& message, absl::Time now);
  void AbsorbRumour(const GossipUpdate& rumour, absl::Time now);
  void AbsorbMember(const GossipUpdate& rumour, absl::Time now);
  void SetMemberState(MemberRow* row, MemberState state, absl::Time now);
  void SpreadMember(const MemberRow& row, absl::Time now);
  void Queue(GossipUpdate rumour, absl::Time now);
  /** A message for `to`, with what is held against it so that it can refute. */
  GossipMessage MakeMessageFor(const std::string& to);
  const MemberRow& NextSampled();
  void QueueSelf(MemberState state, absl::Time now);
  GossipMessage Header() const;
  int Rides() const;
  absl::Duration Suspicion() const;
  /** A member that is held for dead although the platform lists it. */
  const MemberRow* PickListedDead(absl::Time now, absl::BitGenRef random) const;
  OutgoingExchange OrderFor(const MemberRow& row);

  Options self_;
  Listener* listener_ = nullptr;
  uint64_t version_ = 0;
  uint64_t revision_ = 0;
  bool is_leaving_ = false;
  // Ordered, so that the same events give the same messages in every run.
  std::map<std::string, MemberRow> members_;
  std::map<std::string, Fact> facts_;
  std::vector<Riding> riding_;
  std::string last_sampled_;
  std::vector<std::string> probe_order_;
  absl::Time next_dead_probe_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_GOSSIP_NODE_H_
