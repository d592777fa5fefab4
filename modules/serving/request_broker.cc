#include "modules/serving/request_broker.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "modules/core/log.h"
#include "modules/decisions/least_busy_placement.h"
#include "modules/decisions/length_aware_placement.h"

namespace chicory {

namespace {

constexpr absl::Duration kTick = absl::Milliseconds(10);
constexpr absl::Duration kCallerCheck = absl::Milliseconds(100);

/** Attempt sequences from here on are given out beside the dispatcher. */
constexpr uint64_t kOutsideSequences = uint64_t{1} << 48;

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
                             Timeline* time_line)
    : options_(std::move(options)),
      client_(client),
      counters_(counters),
      time_line_(time_line),
      dispatcher_(DispatcherOptions(options_.instance)) {
  dispatcher_.set_listener(this);
}

RequestBroker::~RequestBroker() {
  Stop();
}

void RequestBroker::set_sinks(DeathSink deaths, StateSink states) {
  death_sink_ = std::move(deaths);
  state_sink_ = std::move(states);
}

void RequestBroker::Start() {
  timer_thread_ = std::thread([this] { RunTimers(); });
  cancel_thread_ = std::thread([this] { RunCancels(); });
}

void RequestBroker::Stop() {
  is_stopping_ = true;
  if (timer_thread_.joinable())
    timer_thread_.join();
  if (cancel_thread_.joinable())
    cancel_thread_.join();
}

void RequestBroker::OnDeathCountChanged(uint64_t fingerprint, uint32_t deaths) {
  mutex_.AssertHeld();
  if (death_sink_)
    notes_.push_back([=, this] { death_sink_(fingerprint, deaths); });
}

void RequestBroker::OnUpstreamStateObserved(const std::string& name,
                                            UpstreamState state) {
  mutex_.AssertHeld();
  if (state_sink_)
    notes_.push_back([=, this] { state_sink_(name, state); });
}

void RequestBroker::TellSinks() {
  std::vector<std::function<void()>> notes;
  {
    absl::MutexLock lock(&mutex_);
    notes.swap(notes_);
  }
  for (const auto& note : notes)
    note();
}

std::string RequestBroker::AttemptText(uint64_t sequence) const {
  return AttemptId{options_.instance, options_.incarnation, sequence}
      .ToString();
}

std::string RequestBroker::NewAttemptId() {
  return AttemptText(kOutsideSequences + next_outside_attempt_++);
}

AttemptSpec RequestBroker::OrderOf(const Command& command) {
  AttemptSpec order{.attempt = AttemptText(command.attempt),
                    .request = command.request,
                    .sequence = command.attempt,
                    .level = command.level,
                    .resume_from = command.resume_from};
  for (UpstreamId id : command.upstreams) {
    const UpstreamRow* row = dispatcher_.upstreams().Find(id);
    order.upstreams.emplace_back(row->name, row->address);
  }
  return order;
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
          debts_.Add(row->address, AttemptText(command.attempt), absl::Now());
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
  TellSinks();
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
    AttemptSpec order;
    {
      absl::MutexLock lock(&mutex_);
      while (!mailbox->start && !mailbox->refusal && !mailbox->is_caller_gone)
        mailbox->changed.Wait(&mutex_);
      if (mailbox->refusal) {
        end = {.kind = RequestEnd::Kind::kRefused,
               .refusal = *mailbox->refusal};
        break;
      }
      if (mailbox->is_caller_gone) {
        end.kind = RequestEnd::Kind::kCallerGone;
        break;
      }
      order = OrderOf(*mailbox->start);
      mailbox->start.reset();
      mailbox->interrupt.Reset();
      mailbox->upstreams.clear();
      for (const auto& [name, address] : order.upstreams)
        mailbox->upstreams.push_back(name);
    }
    time_line_->Record(absl::Now(), TimelineEventKind::kAttemptStarted,
                       order.attempt,
                       {{"upstream", order.upstreams.back().first},
                        {"resume_from", absl::StrCat(order.resume_from)}});
    const AttemptEnd attempt_end = run_attempt(order, &mailbox->interrupt);
    counters_->Add(absl::StrCat("chicory_attempts_total{outcome=\"",
                                AttemptOutcomeName(attempt_end.outcome),
                                "\"}"));
    time_line_->Record(absl::Now(), TimelineEventKind::kAttemptEnded,
                       order.attempt,
                       {{"upstream", order.upstreams.back().first},
                        {"outcome", AttemptOutcomeName(attempt_end.outcome)}});
    absl::MutexLock lock(&mutex_);
    mailbox->upstreams.clear();
    running_.erase(order.sequence);
    dispatcher_.OnAttemptEnded(spec.id, order.sequence, attempt_end,
                               absl::Now(), random_);
    TickLocked();
    if (mailbox->refusal)
      continue;
    if (attempt_end.outcome == AttemptOutcome::kCompleted)
      break;
    if (attempt_end.outcome == AttemptOutcome::kCallerGone) {
      end.kind = RequestEnd::Kind::kCallerGone;
      break;
    }
  }
  {
    absl::MutexLock lock(&mutex_);
    mailboxes_.erase(spec.id);
  }
  TellSinks();
  return end;
}

void RequestBroker::OnFirstToken(const AttemptSpec& order) {
  absl::MutexLock lock(&mutex_);
  dispatcher_.OnFirstToken(order.request, order.sequence);
}

void RequestBroker::OnDelivered(const AttemptSpec& order, int64_t tokens) {
  absl::MutexLock lock(&mutex_);
  dispatcher_.OnDelivered(order.request, tokens);
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
  debts_.Add(upstream, attempt, absl::Now());
}

size_t RequestBroker::in_flight() const {
  absl::MutexLock lock(&mutex_);
  return mailboxes_.size();
}

void RequestBroker::WatchCallers() {
  for (const auto& [id, mailbox] : mailboxes_) {
    if (!mailbox->connection || !mailbox->connection->IsDisconnected())
      continue;
    if (mailbox->is_caller_gone)
      continue;
    mailbox->is_caller_gone = true;
    mailbox->interrupt.Raise();
    mailbox->changed.Signal();
    dispatcher_.OnCallerGone(id, absl::Now());
    counters_->Add("chicory_callers_gone_total");
  }
}

void RequestBroker::RunTimers() {
  absl::Time next_caller_check = absl::Now();
  while (!is_stopping_) {
    absl::SleepFor(kTick);
    {
      absl::MutexLock lock(&mutex_);
      if (absl::Now() >= next_caller_check) {
        next_caller_check = absl::Now() + kCallerCheck;
        WatchCallers();
      }
      TickLocked();
    }
    TellSinks();
  }
}

void RequestBroker::RunCancels() {
  while (true) {
    std::vector<PendingCancellations::Cancellation> due;
    {
      absl::MutexLock lock(&mutex_);
      due = debts_.Due(absl::Now());
    }
    for (const PendingCancellations::Cancellation& debt : due) {
      const auto done =
          Capture([&] { return client_->Cancel(debt.upstream, debt.attempt); });
      if (!done.ok)
        continue;
      time_line_->Record(absl::Now(), TimelineEventKind::kAttemptCancelled,
                         debt.attempt, {{"upstream", debt.upstream}});
      absl::MutexLock lock(&mutex_);
      debts_.Confirm(debt.upstream, debt.attempt);
    }
    if (is_stopping_)
      return;
    absl::SleepFor(kTick);
  }
}

}  // namespace chicory
