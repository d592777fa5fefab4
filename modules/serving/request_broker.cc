#include "modules/serving/request_broker.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "modules/core/log.h"
#include "modules/decisions/least_busy_placement.h"
#include "modules/decisions/length_aware_placement.h"

namespace chicory {

namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(10);
constexpr absl::Duration kCallerCheckInterval = absl::Milliseconds(100);

/** Attempts that the dispatcher does not number are numbered from here on, so
    that their ids cannot collide with those that it does. */
constexpr uint64_t kFirstUndispatchedSequence = uint64_t{1} << 48;

Dispatcher::Options DispatcherOptions(const std::string& instance) {
  Dispatcher::Options options;
  options.instance = instance;
  options.model_placement = std::make_unique<LengthAwarePlacement>();
  options.service_placement = std::make_unique<LeastBusyPlacement>();
  return options;
}

}  // namespace

RequestBroker::RequestBroker(Options options,
                             UpstreamClient* client,
                             Counters* counters,
                             Timeline* timeline)
    : options_(std::move(options)),
      client_(client),
      counters_(counters),
      timeline_(timeline),
      dispatcher_(DispatcherOptions(options_.instance)) {
  dispatcher_.set_listener(this);
}

RequestBroker::~RequestBroker() {
  Stop();
}

void RequestBroker::set_sinks(DeathCountSink deaths, UpstreamStateSink states) {
  death_count_sink_ = std::move(deaths);
  upstream_state_sink_ = std::move(states);
}

void RequestBroker::Start() {
  timer_thread_ = std::thread([this] { RunTimers(); });
  cancellation_thread_ = std::thread([this] { RunCancellations(); });
}

void RequestBroker::Stop() {
  is_stopping_ = true;
  if (timer_thread_.joinable())
    timer_thread_.join();
  if (cancellation_thread_.joinable())
    cancellation_thread_.join();
}

void RequestBroker::OnDeathCountChanged(uint64_t fingerprint, uint32_t deaths) {
  mutex_.AssertHeld();
  if (death_count_sink_)
    pending_notifications_.push_back(
        [=, this] { death_count_sink_(fingerprint, deaths); });
}

void RequestBroker::OnUpstreamStateObserved(const std::string& name,
                                            UpstreamState state) {
  mutex_.AssertHeld();
  if (upstream_state_sink_)
    pending_notifications_.push_back(
        [=, this] { upstream_state_sink_(name, state); });
}

void RequestBroker::NotifySinks() {
  std::vector<std::function<void()>> notifications;
  {
    absl::MutexLock lock(&mutex_);
    notifications.swap(pending_notifications_);
  }
  for (const auto& notification : notifications)
    notification();
}

std::string RequestBroker::FormatAttemptId(uint64_t sequence) const {
  return AttemptId{options_.instance, options_.incarnation, sequence}
      .ToString();
}

std::string RequestBroker::NewAttemptId() {
  return FormatAttemptId(kFirstUndispatchedSequence +
                         next_undispatched_attempt_++);
}

AttemptSpec RequestBroker::MakeAttemptSpec(const Command& command) {
  AttemptSpec attempt_spec{.attempt = FormatAttemptId(command.attempt),
                           .request = command.request,
                           .sequence = command.attempt,
                           .level = command.level,
                           .resume_from = command.resume_from};
  for (UpstreamId id : command.upstreams) {
    const UpstreamRow* row = dispatcher_.upstreams().Find(id);
    attempt_spec.upstreams.emplace_back(row->name, row->address);
  }
  return attempt_spec;
}

void RequestBroker::TickLocked() {
  std::vector<Command> commands;
  dispatcher_.Tick(absl::Now(), random_, &commands);
  for (Command& command : commands) {
    if (command.kind == CommandKind::kCancel) {
      running_.erase(command.attempt);
      for (UpstreamId id : command.upstreams) {
        const UpstreamRow* row = dispatcher_.upstreams().Find(id);
        // Plain services have no attempts to cancel.
        if (!row->models.empty())
          pending_cancellations_.Add(
              row->address, FormatAttemptId(command.attempt), absl::Now());
      }
      continue;
    }
    auto found = mailboxes_.find(command.request);
    if (found == mailboxes_.end())
      continue;
    Mailbox& mailbox = *found->second;
    if (command.kind == CommandKind::kStart) {
      running_[command.attempt] = command.request;
      mailbox.start = std::move(command);
    } else {
      mailbox.refusal = command.refusal;
      mailbox.interrupt.Raise();
    }
    mailbox.changed.Signal();
  }
}

void RequestBroker::RunOnDispatcher(
    const std::function<void(Dispatcher&, absl::Time)>& function) {
  {
    absl::MutexLock lock(&mutex_);
    function(dispatcher_, absl::Now());
    TickLocked();
  }
  NotifySinks();
}

RequestEnd RequestBroker::Run(RequestSpec spec,
                              const std::optional<CallerConnection>& connection,
                              const AttemptFunction& run_attempt) {
  auto mailbox = std::make_shared<Mailbox>();
  mailbox->connection = connection;
  {
    absl::MutexLock lock(&mutex_);
    spec.id = RequestId{next_request_++};
    mailboxes_[spec.id] = mailbox;
    dispatcher_.OnArrival(spec, spec.arrived);
    TickLocked();
  }
  RequestEnd end;
  while (true) {
    AttemptSpec attempt_spec;
    {
      absl::MutexLock lock(&mutex_);
      while (!mailbox->start && !mailbox->refusal &&
             !mailbox->is_caller_disconnected)
        mailbox->changed.Wait(&mutex_);
      if (mailbox->refusal) {
        end = {.kind = RequestEnd::Kind::kRefused,
               .refusal = *mailbox->refusal};
        break;
      }
      if (mailbox->is_caller_disconnected) {
        end.kind = RequestEnd::Kind::kCallerDisconnected;
        break;
      }
      attempt_spec = MakeAttemptSpec(*mailbox->start);
      mailbox->start.reset();
      mailbox->interrupt.Reset();
      mailbox->upstreams.clear();
      for (const auto& [name, address] : attempt_spec.upstreams)
        mailbox->upstreams.push_back(name);
    }
    timeline_->Record(
        absl::Now(), TimelineEventKind::kAttemptStarted, attempt_spec.attempt,
        {{"upstream", attempt_spec.upstreams.back().first},
         {"resume_from", absl::StrCat(attempt_spec.resume_from)}});
    const AttemptEnd attempt_end =
        run_attempt(attempt_spec, &mailbox->interrupt);
    counters_->Add(absl::StrCat("chicory_attempts_total{outcome=\"",
                                AttemptOutcomeName(attempt_end.outcome),
                                "\"}"));
    timeline_->Record(absl::Now(), TimelineEventKind::kAttemptEnded,
                      attempt_spec.attempt,
                      {{"upstream", attempt_spec.upstreams.back().first},
                       {"outcome", AttemptOutcomeName(attempt_end.outcome)}});
    absl::MutexLock lock(&mutex_);
    mailbox->upstreams.clear();
    running_.erase(attempt_spec.sequence);
    dispatcher_.OnAttemptEnded(spec.id, attempt_spec.sequence, attempt_end,
                               absl::Now(), random_);
    TickLocked();
    if (mailbox->refusal)
      continue;
    if (attempt_end.outcome == AttemptOutcome::kCompleted)
      break;
    if (attempt_end.outcome == AttemptOutcome::kCallerDisconnected) {
      end.kind = RequestEnd::Kind::kCallerDisconnected;
      break;
    }
  }
  {
    absl::MutexLock lock(&mutex_);
    mailboxes_.erase(spec.id);
  }
  NotifySinks();
  return end;
}

void RequestBroker::OnFirstToken(const AttemptSpec& attempt_spec) {
  absl::MutexLock lock(&mutex_);
  dispatcher_.OnFirstToken(attempt_spec.request, attempt_spec.sequence);
}

void RequestBroker::OnDelivered(const AttemptSpec& attempt_spec,
                                int64_t tokens) {
  absl::MutexLock lock(&mutex_);
  dispatcher_.OnDelivered(attempt_spec.request, tokens);
}

bool RequestBroker::OnLoadPollFailed(const std::string& name) {
  absl::MutexLock lock(&mutex_);
  if (!dispatcher_.OnLoadPollFailed(name, absl::Now(), random_))
    return false;
  for (const auto& [id, mailbox] : mailboxes_) {
    if (std::count(mailbox->upstreams.begin(), mailbox->upstreams.end(),
                   name) != 0) {
      mailbox->interrupt.Raise();
    }
  }
  return true;
}

bool RequestBroker::IsRunning(uint64_t sequence) const {
  absl::MutexLock lock(&mutex_);
  return running_.contains(sequence);
}

void RequestBroker::Cancel(const std::string& upstream,
                           const std::string& attempt) {
  absl::MutexLock lock(&mutex_);
  pending_cancellations_.Add(upstream, attempt, absl::Now());
}

size_t RequestBroker::in_flight() const {
  absl::MutexLock lock(&mutex_);
  return mailboxes_.size();
}

void RequestBroker::CheckCallerConnections() {
  for (const auto& [id, mailbox] : mailboxes_) {
    if (!mailbox->connection || !mailbox->connection->IsDisconnected())
      continue;
    if (mailbox->is_caller_disconnected)
      continue;
    mailbox->is_caller_disconnected = true;
    mailbox->interrupt.Raise();
    mailbox->changed.Signal();
    dispatcher_.OnCallerDisconnected(id, absl::Now());
    counters_->Add("chicory_callers_gone_total");
  }
}

void RequestBroker::RunTimers() {
  absl::Time next_caller_check = absl::Now();
  while (!is_stopping_) {
    absl::SleepFor(kTickInterval);
    {
      absl::MutexLock lock(&mutex_);
      if (absl::Now() >= next_caller_check) {
        next_caller_check = absl::Now() + kCallerCheckInterval;
        CheckCallerConnections();
      }
      TickLocked();
    }
    NotifySinks();
  }
}

void RequestBroker::RunCancellations() {
  while (true) {
    std::vector<PendingCancellations::Cancellation> due;
    {
      absl::MutexLock lock(&mutex_);
      due = pending_cancellations_.Due(absl::Now());
    }
    for (const PendingCancellations::Cancellation& cancellation : due) {
      const auto done = Capture([&] {
        return client_->Cancel(cancellation.upstream, cancellation.attempt);
      });
      if (!done.ok)
        continue;
      timeline_->Record(absl::Now(), TimelineEventKind::kAttemptCancelled,
                        cancellation.attempt,
                        {{"upstream", cancellation.upstream}});
      absl::MutexLock lock(&mutex_);
      pending_cancellations_.Confirm(cancellation.upstream,
                                     cancellation.attempt);
    }
    if (is_stopping_)
      return;
    absl::SleepFor(kTickInterval);
  }
}

}  // namespace chicory
