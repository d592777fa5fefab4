#include "stand_ins/virtual_fleet.h"

#include <algorithm>
#include <utility>

#include "absl/random/distributions.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "modules/core/attempt_id.h"
#include "modules/core/hashing.h"
#include "modules/decisions/least_busy_placement.h"
#include "modules/decisions/length_aware_placement.h"

namespace chicory {

namespace {

constexpr char kPool[] = "engines";
constexpr char kModel[] = "model";
constexpr absl::Duration kStallCheckPeriod = absl::Milliseconds(100);
constexpr absl::Duration kCancellationPeriod = absl::Milliseconds(100);
constexpr absl::Duration kSweepPeriod = absl::Seconds(2);

/** A request id is the index of the call times this, plus the number of the
    submission. */
constexpr uint64_t kMaxSubmissionsPerCall = 1000;

}  // namespace

struct VirtualFleet::Engine {
  std::string name;
  std::unique_ptr<EngineModel> model;
  /** Changes whenever the process ends or starts; scheduled actions of an
      earlier epoch are ignored. */
  uint64_t epoch = 0;
  bool is_alive = true;
  bool is_leaving = false;
  bool is_stepping = false;
  absl::Time frozen_until = absl::InfinitePast();
  /** Actions that are deferred until the engine resumes. */
  std::vector<std::function<void()>> inbox;
  /** The load report that entries see when they poll. */
  LoadReport published;
};

/** An attempt that an entry is running.

    With more than one upstream, the last is the lead engine and the others are
    helpers, which reserve memory and prefill parts of the prompt in order. */
struct VirtualFleet::RunningAttempt {
  RequestId request;
  std::vector<UpstreamId> upstreams;
  size_t record = 0;
  int submission = 0;
  int level = 0;
  int64_t resume_from = 0;
  bool has_token = false;
  size_t parts_reserved = 0;
  size_t parts_prefilled = 0;
  bool lead_engine_started = false;
  StallLimits limits;
  absl::Time last_event_time;
};

struct VirtualFleet::Entry : public Dispatcher::Listener,
                             public GossipNode::Listener {
  Entry(const std::string& name,
        uint64_t incarnation,
        Dispatcher::Options options)
      : name(name),
        incarnation(incarnation),
        dispatcher(std::move(options)),
        gossip({.instance = name,
                .address = name,
                .data_centre = "dc",
                .incarnation = incarnation}),
        orphans(name, incarnation) {
    dispatcher.set_listener(this);
    gossip.set_listener(this);
  }

  void OnDeathCountChanged(uint64_t fingerprint, uint32_t deaths) override {
    gossip.Spread({.kind = GossipUpdateKind::kCrashCount,
                   .subject = absl::StrCat(fingerprint),
                   .origin = name,
                   .version = 1,
                   .value = deaths},
                  *now);
  }
  void OnUpstreamStateObserved(const std::string& upstream,
                               UpstreamState state) override {
    gossip.Spread({.kind = GossipUpdateKind::kUpstream,
                   .subject = upstream,
                   .version = 1,
                   .value = static_cast<int64_t>(state)},
                  *now);
  }
  void OnMember(const MemberRow&) override {}
  void OnNewerConfiguration(const std::string&, uint64_t) override {}
  void OnGossipUpdate(const GossipUpdate& update) override {
    if (update.kind == GossipUpdateKind::kUpstream) {
      dispatcher.OnUpstreamState(update.subject,
                                 static_cast<UpstreamState>(update.value));
      return;
    }
    uint64_t fingerprint = 0;
    if (absl::SimpleAtoi(update.subject, &fingerprint)) {
      dispatcher.OnDeathCountReceived(fingerprint, update.origin,
                                      static_cast<uint32_t>(update.value),
                                      *now);
    }
  }

  /** The virtual time of the fleet; set before the entry runs. */
  const absl::Time* now = nullptr;

  std::string name;
  uint64_t incarnation;
  bool is_alive = true;
  absl::Time frozen_until = absl::InfinitePast();
  /** Actions that are deferred until the entry resumes. */
  std::vector<std::function<void()>> inbox;
  std::mt19937_64 random;
  Dispatcher dispatcher;
  GossipNode gossip;
  OrphanCollector orphans;
  PendingCancellations pending_cancellations;
  std::map<uint64_t, RunningAttempt> running;
  /** Index of the call record and number of the submission, by request. */
  absl::flat_hash_map<RequestId, std::pair<size_t, int>> requests;
  std::map<std::string, UpstreamId> upstreams;
  absl::Time next_tick = absl::InfiniteFuture();
};

VirtualFleet::VirtualFleet(Options options)
    : options_(std::move(options)), random_(options_.seed) {
  if (!options_.make_dispatcher) {
    options_.make_dispatcher = [] {
      Dispatcher::Options dispatcher_options;
      dispatcher_options.model_placement =
          std::make_unique<LengthAwarePlacement>();
      dispatcher_options.service_placement =
          std::make_unique<LeastBusyPlacement>();
      return dispatcher_options;
    };
  }
  if (options_.length_classes.empty()) {
    options_.length_classes = {{"short", 4000, absl::Milliseconds(480)},
                               {"medium", 32000, absl::Seconds(3)},
                               {"long", 400000, absl::Seconds(60)},
                               {"archive", 1200000, absl::Seconds(180)}};
  }
  for (int i = 0; i < options_.engines; ++i) {
    auto engine = std::make_unique<Engine>();
    engine->name = absl::StrCat("engine", 100 + i);
    engines_.push_back(std::move(engine));
    RestartEngine(i + 1);
  }
  entries_.resize(options_.entries);
  for (int i = 0; i < options_.entries; ++i)
    StartEntry(i);
}

VirtualFleet::~VirtualFleet() = default;

void VirtualFleet::ScheduleAt(absl::Time at, std::function<void()> action) {
  events_.push({std::max(at, now_), next_order_++, std::move(action)});
}

void VirtualFleet::RunUntil(absl::Time until) {
  while (!events_.empty() && events_.top().at <= until) {
    Event event = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_ = event.at;
    event.action();
  }
  now_ = until;
}

// Callers.

void VirtualFleet::AddCall(const VirtualCall& call) {
  const size_t record = records_.size();
  CallRecord added{.call = call};
  const auto& classes = options_.length_classes;
  while (added.length_class + 1 < classes.size() &&
         call.estimated_tokens > classes[added.length_class].up_to_tokens) {
    ++added.length_class;
  }
  records_.push_back(added);
  ScheduleAt(call.at,
             [this, record] { SubmitCall(record, absl::ZeroDuration()); });
}

void VirtualFleet::SubmitCall(size_t index, absl::Duration delay) {
  if (delay > absl::ZeroDuration()) {
    ScheduleAt(now_ + delay,
               [=, this] { SubmitCall(index, absl::ZeroDuration()); });
    return;
  }
  CallRecord& record = records_[index];
  const int submission = ++record.submissions;
  record.awaited_submission = submission;
  record.delivered = 0;
  std::vector<Entry*> live;
  for (const auto& entry : entries_) {
    if (entry != nullptr && entry->is_alive)
      live.push_back(entry.get());
  }
  if (live.empty()) {
    OnSubmissionFailed(index, CallRecord::End::kBroken,
                       {.reason = RefusalReason::kNoUpstream});
    return;
  }
  Entry* entry = live[absl::Uniform<size_t>(random_, 0, live.size())];
  const RequestId id{index * kMaxSubmissionsPerCall +
                     static_cast<uint64_t>(submission)};
  ScheduleAt(now_ + options_.message_delay, [=, this] {
    RunOnEntry(entry, [=, this] {
      const VirtualCall& call = records_[index].call;
      RequestSpec spec;
      spec.id = id;
      spec.account = call.account;
      spec.weight = call.weight;
      spec.route = "route";
      spec.pool = kPool;
      spec.model = kModel;
      spec.rank = call.rank;
      spec.length_class = records_[index].length_class;
      spec.first_token_within =
          options_.length_classes[spec.length_class].first_token_within;
      spec.prompt_tokens = call.estimated_tokens;
      spec.response_tokens = call.max_tokens;
      spec.fingerprint = call.fingerprint;
      spec.prefix_blocks = call.prefix_blocks;
      spec.arrived = now_;
      spec.deadline = now_ + call.timeout;
      entry->requests[id] = {index, submission};
      entry->dispatcher.OnArrival(spec, now_);
      TickEntry(entry);
    });
  });
  // The caller's own time-out fires shortly after the request's deadline, so
  // that a refusal by the entry can still arrive.
  const absl::Duration margin = absl::Milliseconds(20);
  ScheduleAt(now_ + record.call.timeout + margin, [=, this] {
    CallRecord& timed_out = records_[index];
    if (timed_out.awaited_submission != submission)
      return;
    if (options_.cancels_disconnected_requests) {
      RunOnEntry(entry, [=, this] {
        entry->dispatcher.OnCallerDisconnected(id, now_);
        TickEntry(entry);
      });
    }
    OnSubmissionFailed(index, CallRecord::End::kTimedOut,
                       {.reason = RefusalReason::kDeadlineExceeded,
                        .run_state = RunState::kOutcomeUnknown});
  });
}

void VirtualFleet::OnSubmissionFailed(size_t index,
                                      CallRecord::End end,
                                      const Refusal& refusal) {
  CallRecord& record = records_[index];
  if (record.end == CallRecord::End::kCompleted)
    return;
  record.refusal = refusal;
  // Late events of this submission are ignored from here on.
  record.awaited_submission = 0;
  if (record.submissions > options_.max_client_retries) {
    record.end = end;
    record.ended = now_ - record.call.at;
    return;
  }
  absl::Duration delay =
      options_.client_retry_delay * absl::Uniform(random_, 0.5, 1.5);
  if (options_.follows_retry_after)
    delay =
        std::max(delay, refusal.retry_after * absl::Uniform(random_, 1.0, 1.5));
  SubmitCall(index, std::max(delay, absl::Milliseconds(1)));
}

// Entries.

void VirtualFleet::StartEntry(int index) {
  const std::string name = absl::StrCat("entry", 100 + index);
  Dispatcher::Options dispatcher_options = options_.make_dispatcher();
  dispatcher_options.instance = name;
  auto entry = std::make_unique<Entry>(
      name, static_cast<uint64_t>(absl::ToUnixMillis(now_)) + 1,
      std::move(dispatcher_options));
  entry->random.seed(options_.seed * 7919 + static_cast<uint64_t>(index) +
                     entry->incarnation);
  entry->now = &now_;
  Entry* added = entry.get();
  if (entries_[index] != nullptr)
    dead_entries_.push_back(std::move(entries_[index]));
  entries_[index] = std::move(entry);
  for (const auto& engine : engines_) {
    UpstreamRow row;
    row.name = engine->name;
    row.address = engine->name;
    row.pool = kPool;
    row.models = {kModel};
    added->upstreams[engine->name] = added->dispatcher.OnUpstreamListed(row);
    if (engine->is_alive) {
      added->dispatcher.OnLoadReport(added->upstreams[engine->name],
                                     PublishedLoad(*engine));
    }
  }
  for (int other = 0; other < options_.entries; ++other) {
    added->gossip.AddSeed(absl::StrCat("entry", 100 + other),
                          absl::StrCat("entry", 100 + other), "dc", now_);
  }
  RunPeriodically(added, options_.load_period, &VirtualFleet::PollLoads);
  RunPeriodically(added, kStallCheckPeriod, &VirtualFleet::CheckStalls);
  RunPeriodically(added, kCancellationPeriod, &VirtualFleet::SendCancellations);
  if (options_.has_gossip) {
    RunPeriodically(added, GossipNode::kPeriod, &VirtualFleet::Gossip);
    RunPeriodically(added, kSweepPeriod, &VirtualFleet::Sweep);
  }
}

void VirtualFleet::RunPeriodically(Entry* entry,
                                   absl::Duration period,
                                   void (VirtualFleet::*task)(Entry*)) {
  // A random phase keeps the tasks of all entries from running in lockstep.
  const absl::Duration phase = period * absl::Uniform(random_, 0.0, 1.0);
  ScheduleAt(now_ + phase, [=, this] {
    if (!entry->is_alive)
      return;
    RunOnEntry(entry, [=, this] { (this->*task)(entry); });
    ScheduleAt(now_ + period - phase, [=, this] {
      if (entry->is_alive)
        RunPeriodically(entry, period, task);
    });
  });
}

void VirtualFleet::RunOnEntry(Entry* entry, std::function<void()> action) {
  if (!entry->is_alive)
    return;
  if (now_ < entry->frozen_until) {
    entry->inbox.push_back(std::move(action));
    return;
  }
  action();
}

void VirtualFleet::TickEntry(Entry* entry) {
  std::vector<Command> commands;
  entry->dispatcher.Tick(now_, entry->random, &commands);
  for (const Command& command : commands)
    ExecuteCommand(entry, command);
  const absl::Time next = entry->dispatcher.NextTimer();
  if (next >= entry->next_tick && entry->next_tick > now_)
    return;
  if (next == absl::InfiniteFuture())
    return;
  entry->next_tick = std::max(next, now_ + absl::Milliseconds(1));
  ScheduleAt(entry->next_tick,
             [=, this] { RunOnEntry(entry, [=, this] { TickEntry(entry); }); });
}

void VirtualFleet::ExecuteCommand(Entry* entry, const Command& command) {
  if (command.kind == CommandKind::kCancel) {
    entry->running.erase(command.attempt);
    const std::string attempt_id =
        AttemptId{entry->name, entry->incarnation, command.attempt}.ToString();
    for (UpstreamId upstream : command.upstreams)
      entry->pending_cancellations.Add(FindEngine(entry, upstream)->name,
                                       attempt_id, now_);
    SendCancellations(entry);
    return;
  }
  auto found = entry->requests.find(command.request);
  if (found == entry->requests.end())
    return;
  const size_t index = found->second.first;
  const int submission = found->second.second;
  if (command.kind == CommandKind::kRefuse) {
    entry->requests.erase(found);
    const Refusal refusal = command.refusal;
    ScheduleAt(now_ + options_.message_delay, [=, this] {
      if (records_[index].awaited_submission != submission)
        return;
      OnSubmissionFailed(index, CallRecord::End::kRefused, refusal);
    });
    return;
  }
  ++attempts_;
  ++records_[index].attempts;
  records_[index].last_attempt_start = now_ - records_[index].call.at;
  RunningAttempt& running = entry->running[command.attempt];
  const RequestSpec& spec =
      entry->dispatcher.requests().at(command.request).spec;
  running = {.request = command.request,
             .upstreams = command.upstreams,
             .record = index,
             .submission = submission,
             .level = command.level,
             .resume_from = command.resume_from,
             .limits = StallLimits::Of(spec, now_),
             .last_event_time = now_};
  if (command.upstreams.size() > 1)
    ReserveNextPart(entry, command.attempt);
  else
    StartLeadEngine(entry, command.attempt);
}

void VirtualFleet::ReserveNextPart(Entry* entry, uint64_t sequence) {
  RunningAttempt& running = entry->running.at(sequence);
  const auto size = static_cast<int64_t>(running.upstreams.size());
  if (running.parts_reserved + 1 == running.upstreams.size()) {
    if (running.parts_prefilled == running.parts_reserved)
      StartLeadEngine(entry, sequence);
    return;
  }
  const VirtualCall& call = records_[running.record].call;
  EngineJob job;
  job.prompt_tokens = (call.prompt_tokens + call.max_tokens) / size;
  job.level = running.level;
  job.is_reservation = true;
  SubmitToEngine(entry, sequence, running.upstreams[running.parts_reserved],
                 job, false);
}

void VirtualFleet::StartLeadEngine(Entry* entry, uint64_t sequence) {
  RunningAttempt& running = entry->running.at(sequence);
  running.lead_engine_started = true;
  const VirtualCall& call = records_[running.record].call;
  const auto size = static_cast<int64_t>(running.upstreams.size());
  EngineJob job;
  job.prompt_tokens = call.prompt_tokens / size;
  job.response_tokens = std::min(call.response_tokens, call.max_tokens);
  job.max_tokens = call.max_tokens;
  job.resume_from = running.resume_from;
  job.level = running.level;
  job.prefix_blocks = call.prefix_blocks;
  SubmitToEngine(entry, sequence, running.upstreams.back(), job, call.crashes);
}

void VirtualFleet::SubmitToEngine(Entry* entry,
                                  uint64_t sequence,
                                  UpstreamId upstream,
                                  EngineJob job,
                                  bool crashes) {
  job.attempt = AttemptId{entry->name, entry->incarnation, sequence}.ToString();
  Engine* engine = FindEngine(entry, upstream);
  const size_t record = entry->running.at(sequence).record;
  if (engine->is_leaving && engine->is_alive) {
    ++attempts_on_leaving_engines_;
    last_attempt_on_leaving_engine_ = now_;
  }
  auto end = [=, this](AttemptOutcome outcome, bool leaving) {
    ScheduleAt(now_ + options_.message_delay, [=, this] {
      RunOnEntry(entry, [=, this] {
        EndAttempt(entry, sequence, outcome, upstream, leaving);
      });
    });
  };
  ScheduleAt(now_ + options_.message_delay, [=, this] {
    if (!engine->is_alive)
      return end(AttemptOutcome::kUnreachable, false);
    RunOnEngine(engine, [=, this] {
      if (engine->is_leaving)
        return end(AttemptOutcome::kRefused, true);
      if (!engine->model->Submit(job))
        return end(AttemptOutcome::kRefused, false);
      records_[record].has_run = true;
      if (crashes) {
        ++crashes_;
        MarkEngineDead(engine);
        // The engine is restarted after 5 s, as a supervisor would.
        const int number =
            static_cast<int>(std::find_if(engines_.begin(), engines_.end(),
                                          [&](const auto& owned) {
                                            return owned.get() == engine;
                                          }) -
                             engines_.begin());
        ScheduleAt(now_ + absl::Seconds(5),
                   [=, this] { RestartEngine(number + 1); });
        return;
      }
      StepIfIdle(engine);
    });
  });
}

void VirtualFleet::EndAttempt(Entry* entry,
                              uint64_t sequence,
                              AttemptOutcome outcome,
                              UpstreamId faulty_upstream,
                              bool leaving) {
  auto found = entry->running.find(sequence);
  if (found == entry->running.end())
    return;
  const RequestId request = found->second.request;
  entry->running.erase(found);
  entry->dispatcher.OnAttemptEnded(
      request, sequence,
      {.outcome = outcome, .upstream = faulty_upstream, .leaving = leaving},
      now_, entry->random);
  TickEntry(entry);
}

void VirtualFleet::CheckStalls(Entry* entry) {
  if (!options_.detects_stalls)
    return;
  std::vector<std::pair<uint64_t, UpstreamId>> stalled;
  for (const auto& [sequence, running] : entry->running) {
    const bool is_group = running.upstreams.size() > 1;
    const absl::Duration limit = running.has_token ? running.limits.later
                                 : is_group        ? absl::InfiniteDuration()
                                                   : running.limits.first;
    if (now_ - running.last_event_time > limit)
      stalled.emplace_back(sequence, running.upstreams.back());
  }
  for (const auto& [sequence, upstream] : stalled)
    EndAttempt(entry, sequence, AttemptOutcome::kStalled, upstream, false);
}

LoadReport VirtualFleet::PublishedLoad(const Engine& engine) const {
  return engine.published;
}

void VirtualFleet::PollLoads(Entry* entry) {
  std::vector<std::string> names;
  for (const auto& engine : engines_)
    names.push_back(engine->name);
  if (options_.polled_engines > 0)
    names = RendezvousTop(entry->name, names, options_.polled_engines);
  for (const std::string& name : names) {
    const UpstreamId upstream = entry->upstreams.at(name);
    Engine* engine = FindEngine(entry, upstream);
    if (engine->is_alive && now_ >= engine->frozen_until) {
      entry->dispatcher.OnLoadReport(upstream, PublishedLoad(*engine));
      continue;
    }
    if (!entry->dispatcher.OnLoadPollFailed(name, now_, entry->random))
      continue;
    std::vector<uint64_t> broken;
    for (const auto& [sequence, running] : entry->running) {
      if (std::count(running.upstreams.begin(), running.upstreams.end(),
                     upstream) != 0) {
        broken.push_back(sequence);
      }
    }
    for (uint64_t sequence : broken)
      EndAttempt(entry, sequence, AttemptOutcome::kStalled, upstream, false);
  }
  TickEntry(entry);
}

void VirtualFleet::SendCancellations(Entry* entry) {
  for (const PendingCancellations::Cancellation& cancellation :
       entry->pending_cancellations.Due(now_)) {
    for (const auto& owned : engines_) {
      Engine* engine = owned.get();
      if (engine->name != cancellation.upstream)
        continue;
      ScheduleAt(now_ + options_.message_delay, [=, this] {
        if (!engine->is_alive)
          return;
        RunOnEngine(engine, [=, this] {
          uint64_t sequence = 0;
          Entry* owner = FindAttemptOwner(cancellation.attempt, &sequence);
          if (owner != nullptr && owner != entry && owner->is_alive &&
              owner->running.count(sequence) != 0 &&
              now_ >= owner->frozen_until) {
            ++live_owner_cancellations_;
          }
          engine->model->Cancel(cancellation.attempt);
          StepIfIdle(engine);
          ScheduleAt(now_ + options_.message_delay, [=, this] {
            RunOnEntry(entry, [=] {
              entry->pending_cancellations.Confirm(cancellation.upstream,
                                                   cancellation.attempt);
            });
          });
        });
      });
    }
  }
}

void VirtualFleet::Gossip(Entry* entry) {
  for (const OutgoingExchange& exchange :
       entry->gossip.Tick(now_, entry->random)) {
    Entry* peer = nullptr;
    for (const auto& other : entries_) {
      if (other->name == exchange.name)
        peer = other.get();
    }
    auto response_received = std::make_shared<bool>(false);
    ScheduleAt(now_ + options_.message_delay, [=, this] {
      if (peer == nullptr || !peer->is_alive)
        return;
      RunOnEntry(peer, [=, this] {
        const GossipMessage response =
            peer->gossip.OnMessage(exchange.message, now_);
        ScheduleAt(now_ + options_.message_delay, [=, this] {
          RunOnEntry(entry, [=, this] {
            *response_received = true;
            entry->gossip.OnResponse(response, now_);
          });
        });
      });
    });
    ScheduleAt(now_ + GossipNode::kExchangeTimeout, [=, this] {
      RunOnEntry(entry, [=, this] {
        if (*response_received)
          return;
        entry->gossip.OnExchangeUnanswered(exchange.name, now_, entry->random);
        // Indirect probes through other entries fail as well when the peer is
        // dead or frozen.
        const bool is_reachable =
            peer != nullptr && peer->is_alive && now_ >= peer->frozen_until;
        if (!is_reachable)
          entry->gossip.OnIndirectProbesUnanswered(exchange.name, now_);
      });
    });
  }
}

void VirtualFleet::Sweep(Entry* entry) {
  const std::vector<std::string> live = entry->gossip.LiveNames();
  for (const auto& engine : engines_) {
    if (!engine->is_alive || now_ < engine->frozen_until)
      continue;
    if (RendezvousTop("sweep/" + engine->name, live, 1).front() != entry->name)
      continue;
    const auto orphans = entry->orphans.Sweep(
        engine->name, engine->model->Attempts(),
        [&](const AttemptId& attempt) {
          const MemberRow* row = entry->gossip.Find(attempt.instance);
          if (row == nullptr || row->version == 0)
            return OwnerState::kNeverSeen;
          if (IncarnationOf(row->version) > attempt.incarnation)
            return OwnerState::kGone;
          return row->state == MemberState::kDead ? OwnerState::kSilent
                                                  : OwnerState::kAlive;
        },
        [&](uint64_t sequence) { return entry->running.count(sequence) != 0; },
        now_);
    for (const AttemptId& orphan : orphans)
      entry->pending_cancellations.Add(engine->name, orphan.ToString(), now_);
  }
}

// Engines.

VirtualFleet::Engine* VirtualFleet::FindEngine(Entry* entry,
                                               UpstreamId upstream) {
  const UpstreamRow* row = entry->dispatcher.upstreams().Find(upstream);
  for (const auto& engine : engines_) {
    if (engine->name == row->name)
      return engine.get();
  }
  return nullptr;
}

VirtualFleet::Entry* VirtualFleet::FindAttemptOwner(const std::string& attempt,
                                                    uint64_t* sequence) {
  const auto id = AttemptId::Parse(attempt);
  if (!id)
    return nullptr;
  *sequence = id->sequence;
  for (const auto& entry : entries_) {
    if (entry->name == id->instance && entry->incarnation == id->incarnation)
      return entry.get();
  }
  return nullptr;
}

void VirtualFleet::RunOnEngine(Engine* engine, std::function<void()> action) {
  if (now_ < engine->frozen_until) {
    engine->inbox.push_back(std::move(action));
    return;
  }
  action();
}

void VirtualFleet::StepIfIdle(Engine* engine) {
  if (!engine->is_stepping && engine->is_alive)
    Step(engine);
}

void VirtualFleet::Step(Engine* engine) {
  engine->is_stepping = false;
  if (now_ < engine->frozen_until)
    return;
  std::vector<EngineEvent> events;
  const absl::Duration duration = engine->model->Step(&events);
  if (duration <= absl::ZeroDuration() && events.empty())
    return;
  engine->is_stepping = true;
  const uint64_t epoch = engine->epoch;
  ScheduleAt(now_ + duration, [=, this, events = std::move(events)] {
    if (engine->epoch != epoch)
      return;
    RunOnEngine(engine, [=, this] {
      if (engine->epoch != epoch)
        return;
      for (const EngineEvent& event : events)
        OnEngineEvent(engine, event);
      Step(engine);
    });
  });
}

void VirtualFleet::OnEngineEvent(Engine* engine, const EngineEvent& event) {
  uint64_t sequence = 0;
  Entry* entry = FindAttemptOwner(event.attempt, &sequence);
  if (entry == nullptr || !entry->is_alive) {
    // The connection to the owner is broken. The engine keeps the memory, so
    // that the response can be resumed.
    engine->model->StopGeneration(event.attempt);
    return;
  }
  const LoadReport load = [&] {
    LoadReport report = engine->model->Load();
    report.measured_at = now_;
    report.leaving = engine->is_leaving;
    return report;
  }();
  const std::string name = engine->name;
  auto deliver = [=, this] {
    auto found = entry->running.find(sequence);
    if (found == entry->running.end())
      return;
    RunningAttempt& running = found->second;
    running.last_event_time = now_;
    CallRecord& record = records_[running.record];
    const bool is_first = !running.has_token;
    switch (event.kind) {
      case EngineEventKind::kGranted:
        ++running.parts_reserved;
        return ReserveNextPart(entry, sequence);
      case EngineEventKind::kPrefilled:
        ++running.parts_prefilled;
        if (!running.lead_engine_started &&
            running.parts_reserved + 1 == running.upstreams.size()) {
          ReserveNextPart(entry, sequence);
        }
        return;
      case EngineEventKind::kToken:
        if (record.awaited_submission == running.submission &&
            event.index == record.delivered) {
          ++record.delivered;
        }
        if (is_first) {
          running.has_token = true;
          if (record.first_token == absl::InfiniteDuration() &&
              record.awaited_submission == running.submission) {
            record.first_token = now_ + options_.message_delay - record.call.at;
          }
          entry->dispatcher.OnFirstToken(running.request, sequence);
          if (options_.load_on_responses)
            entry->dispatcher.OnLoadReport(entry->upstreams.at(name), load);
          TickEntry(entry);
        }
        found = entry->running.find(sequence);
        if (found != entry->running.end()) {
          entry->dispatcher.OnDelivered(found->second.request,
                                        record.delivered);
        }
        return;
      case EngineEventKind::kFinished:
        if (options_.load_on_responses)
          entry->dispatcher.OnLoadReport(entry->upstreams.at(name), load);
        entry->requests.erase(running.request);
        if (record.awaited_submission == running.submission) {
          record.awaited_submission = 0;
          record.end = CallRecord::End::kCompleted;
          record.ended = now_ + options_.message_delay - record.call.at;
        }
        return EndAttempt(entry, sequence, AttemptOutcome::kCompleted,
                          entry->upstreams.at(name), false);
    }
  };
  // Tokens after the first are delivered at once, without a simulated message
  // each, to keep the number of events low.
  const bool is_token = event.kind == EngineEventKind::kToken;
  auto running = entry->running.find(sequence);
  if (is_token && running != entry->running.end() &&
      running->second.has_token) {
    RunOnEntry(entry, deliver);
    return;
  }
  ScheduleAt(now_ + options_.message_delay,
             [=, this] { RunOnEntry(entry, deliver); });
}

void VirtualFleet::MarkEngineDead(Engine* engine) {
  if (!engine->is_alive)
    return;
  engine->is_alive = false;
  ++engine->epoch;
  engine->is_stepping = false;
  engine->inbox.clear();
  engine->frozen_until = absl::InfinitePast();
  dead_engine_busy_ += engine->model->busy();
  // Every entry detects that its connections to the engine are broken.
  for (const auto& owned : entries_) {
    Entry* entry = owned.get();
    std::vector<uint64_t> broken;
    for (const auto& [sequence, running] : entry->running) {
      for (UpstreamId upstream : running.upstreams) {
        if (FindEngine(entry, upstream) == engine)
          broken.push_back(sequence);
      }
    }
    const UpstreamId faulty_upstream = entry->upstreams.at(engine->name);
    for (uint64_t sequence : broken) {
      ScheduleAt(now_ + options_.message_delay, [=, this] {
        RunOnEntry(entry, [=, this] {
          EndAttempt(entry, sequence, AttemptOutcome::kDied, faulty_upstream,
                     false);
        });
      });
    }
  }
}

void VirtualFleet::KillEngine(int engine) {
  MarkEngineDead(engines_.at(engine - 1).get());
}

void VirtualFleet::RestartEngine(int number) {
  Engine* engine = engines_.at(number - 1).get();
  if (engine->model != nullptr && engine->is_alive && !engine->is_leaving)
    return;
  if (engine->model != nullptr && engine->is_alive)
    dead_engine_busy_ += engine->model->busy();
  EngineModel::Options options = options_.engine;
  options.incarnation = static_cast<uint64_t>(absl::ToUnixMillis(now_)) + 1;
  engine->model = std::make_unique<EngineModel>(options);
  engine->is_alive = true;
  engine->is_leaving = false;
  ++engine->epoch;
  const uint64_t epoch = engine->epoch;
  auto publish = std::make_shared<std::function<void()>>();
  // A load report becomes visible `load_lag` after it was measured.
  *publish = [=, this, weak = std::weak_ptr(publish)] {
    if (engine->epoch != epoch)
      return;
    LoadReport report = engine->model->Load();
    report.measured_at = now_;
    report.leaving = engine->is_leaving;
    ScheduleAt(now_ + options_.load_lag, [=] {
      if (engine->epoch == epoch)
        engine->published = report;
    });
    if (auto self = weak.lock())
      ScheduleAt(now_ + options_.load_lag, [self] { (*self)(); });
  };
  engine->published = engine->model->Load();
  engine->published.measured_at = now_;
  (*publish)();
}

void VirtualFleet::FreezeEngine(int number, absl::Duration duration) {
  Engine* engine = engines_.at(number - 1).get();
  engine->frozen_until = now_ + duration;
  ScheduleAt(engine->frozen_until, [=, this] {
    std::vector<std::function<void()>> inbox;
    inbox.swap(engine->inbox);
    for (const auto& action : inbox)
      action();
    StepIfIdle(engine);
  });
}

void VirtualFleet::MarkEngineLeaving(int number) {
  Engine* engine = engines_.at(number - 1).get();
  engine->is_leaving = true;
  ScheduleAt(now_ + options_.registration_lag, [=, this] {
    for (const auto& entry : entries_) {
      entry->dispatcher.OnUpstreamState(engine->name, UpstreamState::kLeaving);
    }
  });
}

void VirtualFleet::KillEntry(int number) {
  Entry* entry = entries_.at(number - 1).get();
  entry->is_alive = false;
  entry->inbox.clear();
  for (const auto& [request, call_submission] : entry->requests) {
    const size_t index = call_submission.first;
    const int submission = call_submission.second;
    ScheduleAt(now_ + options_.message_delay, [=, this] {
      if (records_[index].awaited_submission == submission)
        OnSubmissionFailed(index, CallRecord::End::kBroken,
                           {.reason = RefusalReason::kNoUpstream,
                            .run_state = RunState::kOutcomeUnknown});
    });
  }
  // Engines detect the broken connections and keep the reserved memory.
  for (const auto& [sequence, running] : entry->running) {
    const std::string attempt_id =
        AttemptId{entry->name, entry->incarnation, sequence}.ToString();
    for (UpstreamId upstream : running.upstreams) {
      Engine* engine = FindEngine(entry, upstream);
      if (engine->is_alive)
        RunOnEngine(engine, [=] { engine->model->StopGeneration(attempt_id); });
    }
  }
}

void VirtualFleet::RestartEntry(int number) {
  StartEntry(number - 1);
}

void VirtualFleet::FreezeEntry(int number, absl::Duration duration) {
  Entry* entry = entries_.at(number - 1).get();
  entry->frozen_until = now_ + duration;
  ScheduleAt(entry->frozen_until, [=, this] {
    std::vector<std::function<void()>> inbox;
    inbox.swap(entry->inbox);
    for (const auto& action : inbox)
      RunOnEntry(entry, action);
    TickEntry(entry);
  });
}

int64_t VirtualFleet::reserved_memory() const {
  int64_t reserved = 0;
  for (const auto& engine : engines_) {
    if (engine->is_alive)
      reserved += engine->model->options().memory_tokens -
                  engine->model->free_memory_tokens();
  }
  return reserved;
}

absl::Duration VirtualFleet::busy() const {
  absl::Duration busy = dead_engine_busy_;
  for (const auto& engine : engines_) {
    if (engine->is_alive)
      busy += engine->model->busy();
  }
  return busy;
}

}  // namespace chicory
