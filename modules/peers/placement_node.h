#ifndef MODULES_PEERS_PLACEMENT_NODE_H_
#define MODULES_PEERS_PLACEMENT_NODE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/crashing_parts.h"
#include "modules/decisions/limit_share.h"
#include "modules/decisions/scheduler_groups.h"
#include "modules/peers/membership.h"
#include "modules/peers/placement_message.h"

namespace chicory {

/** Obtains placements for an instance's requests from the instance that acts as
    the scheduler, and schedules for the others when this instance is it.

    The first instance of the roster's order is the scheduler. Its state is
    soft: each instance reports its running requests to the first two, resends
    messages that get no reply, turns to the next instance when one does not
    respond, and schedules by itself when no other is left. The upstreams of a
    large service are split into groups, which different instances schedule.

    Also spreads the evidence on requests that crash upstreams. A crash is
    reported at once to the instances that all others send hellos to, and so is
   a response that clears a request of a crash. They reply to a hello with their
    evidence if the sender's differs.

    Performs no I/O and reads no clock: callers pass the time, and datagrams are
    sent through Transport. Not thread-safe.

    @see SchedulerGroups, Membership, CrashingParts */
class PlacementNode {
 public:
  /** Sends datagrams to other instances. Delivery is not guaranteed. */
  class Transport {
   public:
    virtual ~Transport() = default;
    virtual void Send(InstanceIp to, const PeerMessage& message) = 0;
  };

  /** Receives the decisions about this instance's requests, and announcements
      of other instances. Called from within the member functions of
      PlacementNode. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** Called when a request of this instance was placed or refused. */
    virtual void OnDecision(const ScheduleDecision& decision,
                            InstanceIp scheduler) = 0;
    /** Called when another instance announces a newer configuration. */
    virtual void OnNewerConfiguration(uint64_t version) = 0;
    /** Called when another instance delivered upstream changes that are new
        here. */
    virtual void OnPeerUpstreamChanges(const UpstreamBatch& batch) = 0;
    /** Called when `from` has sent another set of evacuated data centres, newer
        than the one known here, before the rest of its message is processed.
        @see Membership::evacuations */
    virtual void OnPeerEvacuations(InstanceIp /*from*/) {}
    /** Called when the upstreams changed at revision `last_change` and no
        instance has delivered the change in time. */
    virtual void OnMissingUpstreamChange(uint64_t last_change) = 0;
  };

  struct Options {
    InstanceIp self = 0;
    std::vector<InstanceIp> seeds;
    /** @see Membership::Options */
    absl::Duration max_source_age = absl::Milliseconds(1400);
    bool uses_directory = false;
    bool uses_evacuations = true;
    /** First sequence number. Must differ between starts of the instance, so
        that its requests are not taken for those of a former start. */
    uint64_t first_sequence = 1;
    /** @see SchedulerGroups::SetAdmissionControl */
    bool admission_control = false;
  };

  PlacementNode(Options options, Transport* transport, Listener* listener);

  void SetUpstreams(const std::vector<UpstreamSpec>& upstreams);
  void SetEngine(const std::string& service, const EngineProfile& engine);
  Membership& membership() { return membership_; }
  const Membership& membership() const { return membership_; }

  /** Adopts the evacuated data centres as read from the source, and announces a
      change to the instances that all others send hellos to. Returns whether
     the set has changed, or was unknown. */
  bool SetEvacuations(const Evacuations& evacuations, absl::Time now);

  /** Returns the key that the next call of Submit will assign. */
  WorkKey NextKey() const { return {self_, next_sequence_}; }
  /** Requests a placement. Assigns `request.key` and returns it. The listener
      may receive the decision before this returns. */
  WorkKey Submit(WorkRequest request, absl::Time now);
  /** Reports that the upstream has started to respond. */
  void OnResponseStarted(WorkKey key, absl::Time now);
  /** Reports that the attempt has ended, or that the request is cancelled.
      `faulty_upstream` is another upstream that caused the failure, 0 for none.
      */
  void OnEnded(WorkKey key,
               AttemptResult result,
               UpstreamKey faulty_upstream,
               absl::Time now);

  /** Reports that `upstream` crashed before it began to respond to a request
      of this instance with `suspects`, sent at `sent_at`. */
  void ReportCrash(const CrashSuspects& suspects,
                   UpstreamIncarnation upstream,
                   absl::Time sent_at,
                   absl::Time now);
  /** Reports that an upstream began to respond to a request of this instance
      with `suspects`. */
  void ReportStarted(const CrashSuspects& suspects, absl::Time now);
  /** Reports the limit that a response of `upstream` to a request sent at
      `sent_at` names, if any. Returns whether it differs from the limit known
      before. @see RequestLimits::OnResponse */
  bool ReportLimit(UpstreamKey upstream,
                   UpstreamIncarnation incarnation,
                   std::optional<double> per_second,
                   absl::Time sent_at,
                   absl::Time now) {
    return scheduler_.limits().OnResponse(upstream, incarnation, per_second,
                                          sent_at, now);
  }

  /** What all instances have reported of crashes. */
  CrashingParts& crashing_parts() { return crashing_parts_; }

  /** Processes a received datagram. */
  void OnMessage(const PeerMessage& message, absl::Time now);
  /** Resends what got no reply, runs the scheduler and sends hellos. To be
      called every kTick while IsBusy, and every few hundred milliseconds
      otherwise. */
  void Tick(absl::Time now);
  /** Announces to the other instances that this one is shutting down. */
  void Leave(absl::Time now);

  /** Interval of Tick calls while IsBusy. */
  static constexpr absl::Duration kTick = absl::Milliseconds(20);

  /** Returns whether Tick is to be called every kTick: requests are queued here
      or at another scheduler, or upstream changes are missing here. */
  bool IsBusy() const;
  const SchedulerGroups& scheduler() const { return scheduler_; }

 private:
  /** Whether the scheduler has yet to acknowledge a request, has queued it, or
      has placed it. */
  enum class Stage { kSubmitting, kQueued, kRunning };
  /** A request of this instance. */
  struct Job {
    WorkRequest request;
    Stage stage = Stage::kSubmitting;
    InstanceIp scheduler = 0;
    /** Time of the last submission, and number of submissions since the
        scheduler's last reply. */
    absl::Time last_submitted;
    int unanswered_submits = 0;
    UpstreamKey upstream = 0;
    bool response_started = false;
  };

  /** Submits the request to the scheduler of its group, which may be this
      instance. */
  void SubmitToScheduler(Job* job, absl::Time now);
  SubmitMessage MakeSubmit(const WorkRequest& request, absl::Time now) const;
  void Send(InstanceIp to, PeerMessage message, absl::Time now);
  /** Sequence numbers of running requests, by the instances that schedule them
      or are next in order to take over. */
  using JobsByScheduler = std::map<InstanceIp, std::vector<uint64_t>>;
  JobsByScheduler RunningJobs(absl::Time now) const;
  /** Returns the schedulers of groups to send a hello to in this round. */
  std::vector<InstanceIp> SchedulersForHello(const JobsByScheduler& jobs);
  HelloMessage MakeHello(const std::vector<uint64_t>& running,
                         absl::Time now) const;
  void RunScheduler(absl::Time now);
  /** Sets how far this instance may use the limits of upstreams. Computed at
      most once per kLimitUseInterval unless an upstream names a limit. */
  void UpdateLimitUse(absl::Time now);
  /** Passes a decision made here to the owner of the request. */
  void DeliverDecision(const ScheduleDecision& decision, absl::Time now);
  /** Applies a decision about a request of this instance. */
  void ApplyDecision(const ScheduleDecision& decision, InstanceIp scheduler);
  /** Uses the number of groups that the first scheduler announces. */
  void AdoptGroupCount(const PeerMessage& message, absl::Time now);
  /** Sends a hello to obtain upstream changes that are missing here, if one is
      due. */
  void RequestMissedChanges(absl::Time now);
  void OnHello(const PeerMessage& message, absl::Time now);
  void OnWelcome(const WelcomeMessage& welcome, absl::Time now);
  /** Drops placements of `sender` that its hello does not list. Those assigned
      here are kept until the second such hello. */
  void DropUnlisted(InstanceIp sender,
                    const std::vector<WorkKey>& listed,
                    absl::Time now);
  void OnSubmit(InstanceIp sender, const SubmitMessage& submit, absl::Time now);
  void OnQueued(InstanceIp sender, const QueuedMessage& queued);
  void OnRemoteDecision(InstanceIp sender,
                        const DecisionMessage& message,
                        absl::Time now);
  void OnCrashEvidence(const PeerMessage& message, absl::Time now);
  void SendCrashEvidence(InstanceIp to,
                         bool wants_reply,
                         absl::Time now,
                         const CrashSuspects& first = {});
  /** Sends the evidence to an instance that requests a placement and has other
      evidence, as its `digest` shows, so that it knows of it when it receives
      the decision. */
  void SendEvidenceBeforeDecision(InstanceIp to,
                                  uint32_t digest,
                                  absl::Time now);
  /** Sends the evidence, that of `suspects` first, to the instances that all
      others send hellos to. */
  void ReportEvidence(const CrashSuspects& suspects, absl::Time now);
  void SendHellos(absl::Time now);

  const InstanceIp self_;
  Transport* transport_;
  Listener* listener_;
  Membership membership_;
  BatchAssembler missed_changes_;
  SchedulerGroups scheduler_;
  LimitShare limit_share_;
  absl::Time next_limit_use_ = absl::InfinitePast();
  /** An upstream's service has a rate for cold upstreams. */
  bool has_cold_rates_ = false;
  CrashingParts crashing_parts_;
  /** The digests of an instance and of this one when it was last sent evidence
      with a decision. */
  struct EvidenceSent {
    uint32_t theirs = 0;
    uint32_t ours = 0;
    absl::Time at = absl::InfinitePast();
  };
  absl::flat_hash_map<InstanceIp, EvidenceSent> evidence_sent_;
  uint64_t next_sequence_;
  bool has_upstreams_ = false;
  size_t next_hello_scheduler_ = 0;
  std::map<uint64_t, Job> jobs_;
  /** An assignment made here for another instance; kept to resend it when the
      message was lost. */
  struct Assignment {
    ScheduleDecision decision;
    /** A hello of the owner did not list it. */
    bool unlisted = false;
  };
  absl::flat_hash_map<WorkKey, Assignment> assignments_;
};

}  // namespace chicory

#endif  // MODULES_PEERS_PLACEMENT_NODE_H_
