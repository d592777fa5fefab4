#ifndef MODULES_PEERS_PLACEMENT_NODE_H_
#define MODULES_PEERS_PLACEMENT_NODE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/scheduler_groups.h"
#include "modules/peers/membership.h"
#include "modules/peers/placement_message.h"

namespace chicory {

/** Gets upstreams for an instance's requests from the instance that schedules
    for all, and schedules for the others when they ask this one.

    The first instance of the roster's order schedules. It keeps nothing that
    must last: each instance informs the first two of what it has running,
   repeats what is not answered, goes on to the next when one does not respond,
   and decides by itself when none is left. Free of clocks and sockets: time
   comes in as arguments and datagrams go out through Transport. Not
   thread-safe.

    The upstreams of a large service are cut into groups, which different
    instances schedule. @see SchedulerGroups, Membership */
class PlacementNode {
 public:
  /** Sends datagrams to other instances; they may be lost. */
  class Transport {
   public:
    virtual ~Transport() = default;
    virtual void Send(InstanceIp to, const PeerMessage& message) = 0;
  };

  /** Hears of this instance's own requests. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** The request may be sent, or is refused. Called from within any call. */
    virtual void OnDecision(const ScheduleDecision& decision,
                            InstanceIp scheduler) = 0;
    /** Another instance has a newer configuration. */
    virtual void OnNewerConfiguration(uint64_t version) = 0;
    /** Another instance sent changes of the upstreams. */
    virtual void OnPeerUpstreamChanges(const UpstreamBatch& batch) = 0;
    /** Upstreams changed at the revision `last_change`, and no
        instance sent them. */
    virtual void OnMissingUpstreamChange(uint64_t last_change) = 0;
  };

  struct Options {
    InstanceIp self = 0;
    std::vector<InstanceIp> seeds;
    /** Longest time without word from an instance that watches the source. */
    absl::Duration watcher_timeout = absl::Milliseconds(1000);
    /** First sequence number; differs between starts of the instance. */
    uint64_t first_sequence = 1;
  };

  PlacementNode(Options options, Transport* transport, Listener* listener);

  void SetUpstreams(const std::vector<UpstreamSpec>& upstreams);
  void SetEngine(const std::string& service, const EngineProfile& engine);
  Membership& membership() { return membership_; }
  const Membership& membership() const { return membership_; }

  /** The key that the next Submit gives. */
  WorkKey NextKey() const { return {self_, next_sequence_}; }
  /** Asks for an upstream; `request.key` is set here and returned. The decision
      may come before this returns. */
  WorkKey Submit(WorkRequest request, absl::Time now);
  /** The first part of the answer has come. */
  void OnResponseStarted(WorkKey key, absl::Time now);
  /** The request's send ended, or the request is given up. */
  void OnEnded(WorkKey key,
               AttemptResult result,
               UpstreamKey faulty_upstream,
               absl::Time now);

  void OnMessage(const PeerMessage& message, absl::Time now);
  /** Call every kTick while IsBusy, and every few hundred milliseconds
      otherwise. */
  void Tick(absl::Time now);
  /** Tells the others that this instance is leaving. */
  void Leave(absl::Time now);

  /** How often Tick wants to be called while requests wait. */
  static constexpr absl::Duration kTick = absl::Milliseconds(20);

  /** Whether requests wait, so that Tick is to be called every kTick. */
  bool IsBusy() const;
  const SchedulerGroups& scheduler() const { return scheduler_; }

 private:
  enum class Stage { kAsking, kWaiting, kRunning };
  struct Job {
    WorkRequest request;
    Stage stage = Stage::kAsking;
    InstanceIp scheduler = 0;
    /** When the scheduler was asked last, and how often without an answer. */
    absl::Time asked;
    int unanswered = 0;
    UpstreamKey upstream = 0;
    bool response_started = false;
  };

  void Ask(Job* job, absl::Time now);
  void Send(InstanceIp to, PeerMessage message);
  /** The running requests that an instance schedules, or is the next to. */
  using JobsByScheduler = std::map<InstanceIp, std::vector<uint64_t>>;
  JobsByScheduler RunningJobs(absl::Time now) const;
  /** Schedulers of groups that get a hello this time. */
  std::vector<InstanceIp> SchedulersForHello(const JobsByScheduler& jobs);
  HelloMessage Hello(const std::vector<uint64_t>& running,
                     absl::Time now) const;
  void RunScheduler(absl::Time now);
  void Deliver(const ScheduleDecision& decision);
  void Decide(const ScheduleDecision& decision, InstanceIp scheduler);
  void OnHello(const PeerMessage& message, absl::Time now);
  void OnWelcome(const WelcomeMessage& welcome, absl::Time now);
  /** Drops work of `sender` that it no longer lists. */
  void ForgetUnlisted(InstanceIp sender, const std::vector<WorkKey>& listed);
  void OnSubmit(InstanceIp sender, const SubmitMessage& submit, absl::Time now);
  void OnWaits(InstanceIp sender, const QueuedMessage& waits);
  void OnRemoteDecision(InstanceIp sender, const DecisionMessage& message);
  void SayHellos(absl::Time now);

  const InstanceIp self_;
  Transport* transport_;
  Listener* listener_;
  Membership membership_;
  BatchAssembler missed_;
  SchedulerGroups scheduler_;
  uint64_t next_sequence_;
  size_t next_scheduler_ = 0;
  std::map<uint64_t, Job> jobs_;
  /** An assignment made here for another instance, to repeat a lost answer. */
  struct Assignment {
    ScheduleDecision decision;
    /** The owner's last hello did not list it. */
    bool unlisted = false;
  };
  absl::flat_hash_map<WorkKey, Assignment> assigned_;
};

}  // namespace chicory

#endif  // MODULES_PEERS_PLACEMENT_NODE_H_
