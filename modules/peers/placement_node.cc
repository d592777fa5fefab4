#include "modules/peers/placement_node.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "modules/core/hashing.h"

namespace chicory {

namespace {

/** Time after which a submission without a reply is resent. */
constexpr absl::Duration kSubmitRetryInterval = absl::Milliseconds(60);
/** Submissions without a reply after which the scheduler is suspected. */
constexpr int kMaxUnansweredSubmits = 2;
/** Interval at which a queued request is resubmitted, in case the decision was
    lost. */
constexpr absl::Duration kQueuedPollInterval = absl::Milliseconds(200);
/** Interval at which unchanged evidence is sent again with decisions. */
constexpr absl::Duration kEvidenceInterval = absl::Milliseconds(500);
/** How often an instance computes which part of the limits it may use. */
constexpr absl::Duration kLimitUseInterval = absl::Milliseconds(100);
/** Schedulers of groups that are sent a hello per round, in rotation. */
constexpr size_t kSchedulersPerHelloRound = 3;

/** Returns the group of a request. Spreads requests evenly over the groups. */
uint32_t GroupFor(uint64_t sequence, uint32_t groups) {
  return static_cast<uint32_t>(
      StableHash(std::string_view(reinterpret_cast<const char*>(&sequence),
                                  sizeof(sequence))) %
      groups);
}

}  // namespace

PlacementNode::PlacementNode(Options options,
                             Transport* transport,
                             Listener* listener)
    : self_(options.self),
      transport_(transport),
      listener_(listener),
      membership_({.self = options.self,
                   .seeds = std::move(options.seeds),
                   .max_source_age = options.max_source_age,
                   .uses_directory = options.uses_directory,
                   .uses_evacuations = options.uses_evacuations}),
      next_sequence_(options.first_sequence) {
  scheduler_.SetPreference(self_);
  scheduler_.SetAdmissionControl(options.admission_control);
}

void PlacementNode::SetUpstreams(const std::vector<UpstreamSpec>& upstreams) {
  scheduler_.SetUpstreams(upstreams);
  has_upstreams_ = !upstreams.empty();
  has_cold_rates_ = std::any_of(upstreams.begin(), upstreams.end(),
                                [](const UpstreamSpec& spec) {
                                  return spec.cold_requests_per_second > 0;
                                });
  membership_.SetGroupCount(has_upstreams_ ? scheduler_.group_count() : 0);
}

void PlacementNode::AdoptGroupCount(const PeerMessage& message,
                                    absl::Time now) {
  if (message.group_count == 0 || !has_upstreams_)
    return;
  // The first scheduler decides, so that instances that have seen other changes
  // of the upstreams use the same groups. If it has just started, it adopts
  // what the others use.
  const bool sender_decides =
      message.sender == membership_.SchedulingInstance(now);
  if (!sender_decides && !membership_.IsJoining(now))
    return;
  scheduler_.AdoptGroupCount(message.group_count);
  membership_.SetGroupCount(scheduler_.group_count());
}

void PlacementNode::SetEngine(const std::string& service,
                              const EngineProfile& engine) {
  scheduler_.SetEngine(service, engine);
}

bool PlacementNode::SetEvacuations(const Evacuations& evacuations,
                                   absl::Time now) {
  if (!membership_.AdoptEvacuations(evacuations, now))
    return false;
  membership_.RepeatEvacuations(now);
  JobsByScheduler jobs = RunningJobs(now);
  for (InstanceIp receiver : membership_.HelloReceivers(now)) {
    if (receiver == self_)
      continue;
    HelloMessage hello = MakeHello(jobs[receiver], now);
    hello.wants_welcome = false;
    Send(receiver, {.content = std::move(hello)}, now);
  }
  return true;
}

bool PlacementNode::IsBusy() const {
  if (scheduler_.waiting() > 0 || membership_.IsBehind())
    return true;
  return std::any_of(jobs_.begin(), jobs_.end(), [](const auto& entry) {
    return entry.second.stage != Stage::kRunning;
  });
}

void PlacementNode::Send(InstanceIp to, PeerMessage message, absl::Time now) {
  membership_.FillHeader(&message, now);
  message.crash_digest = crashing_parts_.digest();
  transport_->Send(to, message);
}

WorkKey PlacementNode::Submit(WorkRequest request, absl::Time now) {
  const uint64_t sequence = next_sequence_++;
  request.key = {.owner = self_, .sequence = sequence};
  request.group = GroupFor(sequence, scheduler_.GroupCountOf(request.service));
  const WorkKey key = request.key;
  Job& job = jobs_[sequence];
  job.request = std::move(request);
  SubmitToScheduler(&job, now);
  return key;
}

void PlacementNode::SubmitToScheduler(Job* job, absl::Time now) {
  const InstanceIp scheduler =
      membership_.SchedulingInstance(now, job->request.group);
  if (job->scheduler != scheduler)
    job->unanswered_submits = 0;
  job->scheduler = scheduler;
  job->last_submitted = now;
  if (scheduler == self_) {
    job->stage = Stage::kQueued;
    scheduler_.Submit(job->request);
    RunScheduler(now);
    return;
  }
  ++job->unanswered_submits;
  Send(scheduler, {.content = MakeSubmit(job->request, now)}, now);
}

SubmitMessage PlacementNode::MakeSubmit(const WorkRequest& request,
                                        absl::Time now) const {
  SubmitMessage submit{.work = RelativeWorkRequest::From(request, now)};
  const std::vector<RequestLimit> known =
      scheduler_.limits().OwnObservations(now);
  // A message has room for a few limits; the next request tells the next ones.
  for (size_t i = 0; i < known.size(); ++i) {
    const RequestLimit& limit =
        known[(request.key.sequence + i) % known.size()];
    submit.limits.push_back({.upstream = limit.upstream,
                             .per_second = limit.per_second,
                             .age = now - limit.observed});
  }
  return submit;
}

void PlacementNode::OnResponseStarted(WorkKey key, absl::Time now) {
  auto found = jobs_.find(key.sequence);
  if (found == jobs_.end())
    return;
  Job& job = found->second;
  job.response_started = true;
  if (job.scheduler != self_) {
    Send(job.scheduler, {.content = ResponseStartedMessage{key.sequence}}, now);
    return;
  }
  scheduler_.OnResponseStarted(key, now);
  RunScheduler(now);
}

void PlacementNode::OnEnded(WorkKey key,
                            AttemptResult result,
                            UpstreamKey faulty_upstream,
                            absl::Time now) {
  auto found = jobs_.find(key.sequence);
  if (found == jobs_.end())
    return;
  const InstanceIp scheduler = found->second.scheduler;
  jobs_.erase(found);
  if (scheduler != self_) {
    Send(scheduler,
         {.content = EndedMessage{.sequence = key.sequence,
                                  .result = result,
                                  .faulty_upstream = faulty_upstream}},
         now);
  }
  scheduler_.OnEnded(key, result, faulty_upstream, now);
  RunScheduler(now);
}

void PlacementNode::ReportCrash(const CrashSuspects& suspects,
                                UpstreamIncarnation upstream,
                                absl::Time sent_at,
                                absl::Time now) {
  crashing_parts_.OnCrash(suspects, upstream, sent_at, now);
  ReportEvidence(suspects, now);
}

void PlacementNode::ReportStarted(const CrashSuspects& suspects,
                                  absl::Time now) {
  if (!crashing_parts_.OnStarted(suspects, now))
    return;
  ReportEvidence(suspects, now);
  membership_.ScheduleEarlyHello(now);
}

void PlacementNode::ReportEvidence(const CrashSuspects& suspects,
                                   absl::Time now) {
  for (InstanceIp receiver : membership_.HelloReceivers(now)) {
    if (receiver != self_)
      SendCrashEvidence(receiver, /*wants_reply=*/true, now, suspects);
  }
}

void PlacementNode::SendEvidenceBeforeDecision(InstanceIp to,
                                               uint32_t digest,
                                               absl::Time now) {
  const uint32_t own_digest = crashing_parts_.digest();
  if (own_digest == 0 || own_digest == digest)
    return;
  EvidenceSent& last = evidence_sent_[to];
  const bool is_known = last.theirs == digest && last.ours == own_digest;
  if (is_known && now - last.at < kEvidenceInterval)
    return;
  last = {.theirs = digest, .ours = own_digest, .at = now};
  SendCrashEvidence(to, /*wants_reply=*/false, now);
}

void PlacementNode::SendCrashEvidence(InstanceIp to,
                                      bool wants_reply,
                                      absl::Time now,
                                      const CrashSuspects& first) {
  Send(to,
       {.content = CrashEvidenceMessage{.evidence = crashing_parts_.Evidence(
                                            now, first),
                                        .wants_reply = wants_reply}},
       now);
}

void PlacementNode::OnCrashEvidence(const PeerMessage& message,
                                    absl::Time now) {
  const auto& content = std::get<CrashEvidenceMessage>(message.content);
  crashing_parts_.Merge(content.evidence, now);
  if (content.wants_reply && message.crash_digest != crashing_parts_.digest())
    SendCrashEvidence(message.sender, /*wants_reply=*/false, now);
}

void PlacementNode::UpdateLimitUse(absl::Time now) {
  const bool is_due = has_cold_rates_ && now >= next_limit_use_;
  if (!is_due && scheduler_.limits().limited(now) == 0)
    return;
  next_limit_use_ = now + kLimitUseInterval;
  const LimitShare::Fleet fleet{.all = membership_.SharingInstances(now),
                                .at_least = membership_.KnownInstances(now),
                                .live = membership_.LiveInstances(now)};
  scheduler_.SetLimitUse([&](uint32_t group) {
    // An instance that suspects the scheduler wrongly turns to this one
    // meanwhile; two schedulers would together exceed a limit.
    limit_share_.SetSchedules(
        group, membership_.SchedulingInstance(now, group) == self_, now);
    return limit_share_.UseOf(group, fleet, now);
  });
}

void PlacementNode::RunScheduler(absl::Time now) {
  UpdateLimitUse(now);
  for (const ScheduleDecision& decision : scheduler_.Run(now))
    DeliverDecision(decision, now);
}

void PlacementNode::DeliverDecision(const ScheduleDecision& decision,
                                    absl::Time now) {
  if (decision.key.owner == self_) {
    ApplyDecision(decision, self_);
    return;
  }
  if (decision.kind == ScheduleDecision::Kind::kAssign)
    assignments_[decision.key] = {.decision = decision};
  Send(decision.key.owner, {.content = DecisionMessage{decision}}, now);
}

void PlacementNode::ApplyDecision(const ScheduleDecision& decision,
                                  InstanceIp scheduler) {
  auto found = jobs_.find(decision.key.sequence);
  if (found == jobs_.end() || found->second.stage == Stage::kRunning)
    return;
  if (decision.kind == ScheduleDecision::Kind::kRefuse) {
    jobs_.erase(found);
  } else {
    found->second.stage = Stage::kRunning;
    found->second.scheduler = scheduler;
    found->second.upstream = decision.upstream;
  }
  listener_->OnDecision(decision, scheduler);
}

void PlacementNode::OnMessage(const PeerMessage& message, absl::Time now) {
  if (message.sender == self_)
    return;
  membership_.OnHeader(message, now);
  limit_share_.OnMessage(message.sender, now);
  if (std::holds_alternative<LeaveMessage>(message.content))
    return;
  if (membership_.AdoptEvacuations(message.evacuations, now))
    listener_->OnPeerEvacuations(message.sender);
  AdoptGroupCount(message, now);
  if (message.configuration_version > membership_.configuration_version())
    listener_->OnNewerConfiguration(message.configuration_version);
  if (const auto* welcome = std::get_if<WelcomeMessage>(&message.content)) {
    OnWelcome(*welcome, now);
    return;
  }
  RequestMissedChanges(now);
  if (std::holds_alternative<HelloMessage>(message.content)) {
    OnHello(message, now);
  } else if (const auto* submit =
                 std::get_if<SubmitMessage>(&message.content)) {
    SendEvidenceBeforeDecision(message.sender, message.crash_digest, now);
    OnSubmit(message.sender, *submit, now);
  } else if (const auto* queued =
                 std::get_if<QueuedMessage>(&message.content)) {
    OnQueued(message.sender, *queued);
  } else if (const auto* decision =
                 std::get_if<DecisionMessage>(&message.content)) {
    OnRemoteDecision(message.sender, *decision, now);
  } else if (const auto* first =
                 std::get_if<ResponseStartedMessage>(&message.content)) {
    scheduler_.OnResponseStarted({message.sender, first->sequence}, now);
    RunScheduler(now);
  } else if (const auto* ended = std::get_if<EndedMessage>(&message.content)) {
    const WorkKey key{message.sender, ended->sequence};
    assignments_.erase(key);
    scheduler_.OnEnded(key, ended->result, ended->faulty_upstream, now);
    RunScheduler(now);
  } else if (std::holds_alternative<CrashEvidenceMessage>(message.content)) {
    OnCrashEvidence(message, now);
  }
}

void PlacementNode::RequestMissedChanges(absl::Time now) {
  const auto target = membership_.TakeCatchUpTarget(now);
  if (!target)
    return;
  HelloMessage hello = MakeHello(RunningJobs(now)[*target], now);
  hello.wants_changes = true;
  Send(*target, {.content = std::move(hello)}, now);
}

void PlacementNode::OnHello(const PeerMessage& message, absl::Time now) {
  const auto& hello = std::get<HelloMessage>(message.content);
  std::vector<WorkKey> listed;
  for (const HelloMessage::Item& item : hello.running) {
    RunningWork work{.request = item.work.ToRequest(message.sender, now),
                     .upstream = item.upstream,
                     .response_started = item.response_started};
    listed.push_back(work.request.key);
    if (work.response_started)
      scheduler_.OnResponseStarted(work.request.key, now);
    scheduler_.Adopt(work, now);
  }
  if (listed.size() == hello.total)
    DropUnlisted(message.sender, listed, now);
  if (hello.wants_welcome) {
    for (WelcomeMessage& reply : membership_.MakeWelcomes(message, now))
      Send(message.sender, {.content = std::move(reply)}, now);
  }
  if (message.crash_digest != crashing_parts_.digest())
    SendCrashEvidence(message.sender, /*wants_reply=*/true, now);
  RunScheduler(now);
}

void PlacementNode::OnWelcome(const WelcomeMessage& welcome, absl::Time now) {
  membership_.OnWelcome(welcome, now);
  if (!welcome.missed)
    return;
  UpstreamBatch missed = *welcome.missed;
  for (UpstreamChange& change : missed.changes)
    change.record.cold_until = now + change.cold_for;
  const auto batch = missed_changes_.Add(missed);
  if (batch && membership_.upstream_changes().Add(*batch))
    listener_->OnPeerUpstreamChanges(*batch);
}

void PlacementNode::DropUnlisted(InstanceIp sender,
                                 const std::vector<WorkKey>& listed,
                                 absl::Time now) {
  for (WorkKey key : scheduler_.KeysOf(sender)) {
    // Queued requests are resubmitted by their owner.
    if (scheduler_.IsWaiting(key) ||
        std::find(listed.begin(), listed.end(), key) != listed.end())
      continue;
    auto found = assignments_.find(key);
    // The assignment may have been in transit when the hello was sent.
    if (found != assignments_.end() && !found->second.unlisted) {
      found->second.unlisted = true;
      continue;
    }
    assignments_.erase(key);
    scheduler_.Forget(key, now);
  }
}

void PlacementNode::OnSubmit(InstanceIp sender,
                             const SubmitMessage& submit,
                             absl::Time now) {
  if (membership_.leaving()) {
    Send(sender, {.content = LeaveMessage{}}, now);
    return;
  }
  const WorkRequest request = submit.work.ToRequest(sender, now);
  if (!has_upstreams_ &&
      membership_.SchedulingInstance(now, request.group) != self_) {
    // The header of the reply shows that this instance cannot schedule.
    Send(sender, {.content = WelcomeMessage{}}, now);
    return;
  }
  auto found = assignments_.find(request.key);
  if (found != assignments_.end()) {
    Send(sender, {.content = DecisionMessage{found->second.decision}}, now);
    return;
  }
  std::vector<RequestLimit> limits;
  for (const SubmitMessage::Limit& limit : submit.limits) {
    limits.push_back({.upstream = limit.upstream,
                      .per_second = limit.per_second,
                      .observed = now - limit.age});
  }
  scheduler_.limits().Merge(limits, now);
  scheduler_.Submit(request);
  RunScheduler(now);
  if (scheduler_.IsWaiting(request.key))
    Send(sender, {.content = QueuedMessage{request.key.sequence}}, now);
}

void PlacementNode::OnQueued(InstanceIp sender, const QueuedMessage& queued) {
  auto found = jobs_.find(queued.sequence);
  if (found == jobs_.end() || found->second.scheduler != sender)
    return;
  found->second.unanswered_submits = 0;
  if (found->second.stage == Stage::kSubmitting)
    found->second.stage = Stage::kQueued;
}

void PlacementNode::OnRemoteDecision(InstanceIp sender,
                                     const DecisionMessage& message,
                                     absl::Time now) {
  ScheduleDecision decision = message.decision;
  decision.key.owner = self_;
  auto found = jobs_.find(decision.key.sequence);
  const bool is_awaited =
      found != jobs_.end() && found->second.stage != Stage::kRunning;
  const bool is_known =
      found != jobs_.end() && !is_awaited && found->second.scheduler == sender;
  if (is_awaited) {
    ApplyDecision(decision, sender);
  } else if (!is_known && decision.kind == ScheduleDecision::Kind::kAssign) {
    // Cancelled, or placed by another scheduler in the meantime.
    Send(sender,
         {.content = EndedMessage{.sequence = decision.key.sequence,
                                  .result = AttemptResult::kCancelled}},
         now);
  }
}

void PlacementNode::Tick(absl::Time now) {
  std::vector<uint64_t> overdue;
  for (const auto& [sequence, job] : jobs_) {
    if (job.stage == Stage::kRunning || job.scheduler == self_)
      continue;
    const absl::Duration timeout =
        job.stage == Stage::kSubmitting || job.unanswered_submits > 0
            ? kSubmitRetryInterval
            : kQueuedPollInterval;
    if (now - job.last_submitted >= timeout)
      overdue.push_back(sequence);
  }
  for (uint64_t sequence : overdue) {
    auto found = jobs_.find(sequence);
    if (found == jobs_.end())
      continue;
    Job& job = found->second;
    if (job.unanswered_submits >= kMaxUnansweredSubmits) {
      membership_.Suspect(job.scheduler, now);
      job.stage = Stage::kSubmitting;
    }
    SubmitToScheduler(&job, now);
  }
  RunScheduler(now);
  RequestMissedChanges(now);
  if (const auto missing = membership_.TakeOverdueChange(now))
    listener_->OnMissingUpstreamChange(*missing);
  SendHellos(now);
}

PlacementNode::JobsByScheduler PlacementNode::RunningJobs(
    absl::Time now) const {
  JobsByScheduler jobs;
  absl::flat_hash_map<uint32_t, std::vector<InstanceIp>> schedulers;
  for (const auto& [sequence, job] : jobs_) {
    if (job.stage != Stage::kRunning)
      continue;
    const uint32_t group = job.request.group;
    auto [found, is_new] = schedulers.try_emplace(group);
    if (is_new) {
      found->second = membership_.Schedulers(now, group);
      // With many groups only the current scheduler is informed, to limit the
      // traffic.
      if (scheduler_.has_groups())
        found->second.resize(1);
    }
    for (InstanceIp scheduler : found->second)
      jobs[scheduler].push_back(sequence);
  }
  return jobs;
}

HelloMessage PlacementNode::MakeHello(const std::vector<uint64_t>& running,
                                      absl::Time now) const {
  HelloMessage hello{.total = running.size()};
  for (uint64_t sequence : running) {
    const Job& job = jobs_.at(sequence);
    hello.running.push_back(
        {.work = RelativeWorkRequest::From(job.request, now),
         .upstream = job.upstream,
         .response_started = job.response_started});
  }
  return hello;
}

std::vector<InstanceIp> PlacementNode::SchedulersForHello(
    const JobsByScheduler& jobs) {
  std::vector<InstanceIp> schedulers;
  for (const auto& [scheduler, running] : jobs)
    schedulers.push_back(scheduler);
  if (schedulers.size() <= kSchedulersPerHelloRound)
    return schedulers;
  std::rotate(schedulers.begin(),
              schedulers.begin() + static_cast<int64_t>(next_hello_scheduler_ %
                                                        schedulers.size()),
              schedulers.end());
  next_hello_scheduler_ += kSchedulersPerHelloRound;
  schedulers.resize(kSchedulersPerHelloRound);
  return schedulers;
}

void PlacementNode::SendHellos(absl::Time now) {
  std::vector<InstanceIp> targets = membership_.TakeHelloTargets(now);
  if (targets.empty())
    return;
  absl::erase_if(assignments_, [this](const auto& entry) {
    return !scheduler_.IsRunning(entry.first);
  });
  scheduler_.limits().Expire(now);
  JobsByScheduler jobs = RunningJobs(now);
  for (InstanceIp target : targets)
    Send(target, {.content = MakeHello(jobs[target], now)}, now);
  if (!scheduler_.has_groups())
    return;
  for (InstanceIp scheduler : SchedulersForHello(jobs)) {
    HelloMessage hello = MakeHello(jobs[scheduler], now);
    hello.wants_welcome = false;
    if (scheduler != self_)
      Send(scheduler, {.content = std::move(hello)}, now);
  }
}

void PlacementNode::Leave(absl::Time now) {
  membership_.Leave();
  for (const InstanceRoster::Member& member : membership_.Members(now))
    Send(member.ip, {.content = LeaveMessage{}}, now);
}

}  // namespace chicory
